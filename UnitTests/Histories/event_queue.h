#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace mustardrouter::histories
{

/// Discrete event queue with a virtual clock. Events due at the same time run in the order in which they were added.
class event_queue
{
public:
    time_point now() const
    {
        return m_now;
    }

    void after(duration delay, std::function<void()> work)
    {
        m_items.push({m_now + delay, m_next++, std::move(work)});
    }

    /// Runs all events due until `end` and sets the clock to `end`.
    void runUntil(time_point end)
    {
        while (!m_items.empty() && m_items.top().due <= end) {
            // priority_queue::top() is const; moving from it is safe because the item is popped right away.
            item next = std::move(const_cast<item &>(m_items.top()));
            m_items.pop();
            m_now = next.due;
            next.work();
        }
        m_now = end;
    }

private:
    struct item {
        time_point due;
        std::uint64_t order;
        std::function<void()> work;

        bool operator<(const item &other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    // Starts after the epoch, because the decision modules use the epoch as "never".
    time_point m_now{std::chrono::seconds(1)};
    std::uint64_t m_next = 0;
    std::priority_queue<item> m_items;
};

} // namespace mustardrouter::histories
