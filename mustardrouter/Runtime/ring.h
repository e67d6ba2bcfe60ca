#pragma once

#include "mustardrouter/Core/failure.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <optional>
#include <semaphore>
#include <utility>

namespace mustardrouter
{

/// Wakes one thread that serves several rings.
class ring_signal
{
public:
    /// Wakes the consumer, now or at its next wait.
    void notify()
    {
        // One wakeup serves all that was pushed before the consumer looks: no system call for each item.
        if (!m_pending.exchange(true)) {
            m_wakeups.release();
        }
    }

    /// Sleeps until notified, at most for `timeout`.
    void wait(std::chrono::microseconds timeout)
    {
        if (m_wakeups.try_acquire_for(timeout)) {
            // Cleared before the rings are read: a push from here on wakes the next wait.
            m_pending.store(false);
        }
    }

private:
    std::atomic<bool> m_pending{false};
    std::counting_semaphore<> m_wakeups{0};
};

/// Bounded ring from one producer thread to one consumer thread.
template<typename Item>
class ring
{
public:
    ring(std::size_t capacity, ring_signal &signal)
        : m_items(capacity)
        , m_signal(signal)
    {
    }

    /// Moves an item in; failure::ringFull when there is no room, and the item is left as it was.
    failure offer(Item &item)
    {
        if (m_items.write_available() == 0) {
            return failure::ringFull;
        }
        m_items.push(std::move(item));
        m_signal.notify();
        return failure::none;
    }

    /// Moves an item in; failure::ringFull when there is no room, and the item is gone.
    failure push(Item item)
    {
        return offer(item);
    }

    /// Takes the oldest item.
    std::optional<Item> pop()
    {
        std::optional<Item> taken;
        m_items.consume_one([&](Item &item) {
            taken.emplace(std::move(item));
        });
        return taken;
    }

    /// Items that wait, as the consumer sees it.
    std::size_t size() const
    {
        return m_items.read_available();
    }

private:
    boost::lockfree::spsc_queue<Item> m_items;
    ring_signal &m_signal;
};

} // namespace mustardrouter
