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

/// Wakes the consumer thread of one or more rings.
class ring_signal
{
public:
    /// Wakes the consumer, now or at its next wait.
    void notify()
    {
        // One wakeup covers all items pushed before the consumer runs, which avoids a system call for each item.
        if (!m_pending.exchange(true)) {
            m_wakeups.release();
        }
    }

    /// Blocks until notified, at most for `timeout`.
    void wait(std::chrono::microseconds timeout)
    {
        if (m_wakeups.try_acquire_for(timeout)) {
            // Cleared before the rings are read, so that a later push ends the next wait.
            m_pending.store(false);
        }
    }

private:
    std::atomic<bool> m_pending{false};
    std::counting_semaphore<> m_wakeups{0};
};

/// Bounded lock-free queue from one producer thread to one consumer thread.
template<typename Item>
class ring
{
public:
    ring(std::size_t capacity, ring_signal &signal)
        : m_items(capacity)
        , m_signal(signal)
    {
    }

    /// Pushes an item; failure::ringFull when the ring is full, in which case the item is unchanged.
    failure offer(Item &item)
    {
        if (m_items.write_available() == 0) {
            return failure::ringFull;
        }
        m_items.push(std::move(item));
        m_signal.notify();
        return failure::none;
    }

    /// Pushes an item; failure::ringFull when the ring is full, in which case the item is lost.
    failure push(Item item)
    {
        return offer(item);
    }

    /// Removes and returns the oldest item; empty when there is none.
    std::optional<Item> pop()
    {
        std::optional<Item> taken;
        m_items.consume_one([&](Item &item) {
            taken.emplace(std::move(item));
        });
        return taken;
    }

    /// Number of queued items, as seen by the consumer.
    std::size_t size() const
    {
        return m_items.read_available();
    }

private:
    boost::lockfree::spsc_queue<Item> m_items;
    ring_signal &m_signal;
};

} // namespace mustardrouter
