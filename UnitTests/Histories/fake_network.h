#pragma once

#include "event_queue.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace mustardrouter::histories
{

/// Instances, databases and the platform by number.
using endpoint_index = std::size_t;

constexpr std::size_t maxInstances = 3;
constexpr std::size_t databaseCount = 3;
constexpr endpoint_index firstDatabase = maxInstances;
constexpr endpoint_index platformEndpoint = firstDatabase + databaseCount;
/// Callers are never cut off from entries; they lose whole connections instead.
constexpr endpoint_index callersEndpoint = platformEndpoint + 1;
constexpr std::size_t endpointCount = callersEndpoint + 1;

/// One direction of a connection: messages arrive in order, late while an end is cut off or paused.
struct fake_link {
    endpoint_index from = 0;
    endpoint_index to = 0;
    bool closed = false;
    /// Loses everything without telling either end.
    bool silent = false;
    bool polling = false;
    time_point last{};
    std::deque<std::function<void()>> held;
};

using link_ptr = std::shared_ptr<fake_link>;

/// Links with seeded delays between endpoints that can be cut off from one another or paused.
class fake_network
{
public:
    fake_network(event_queue &queue, std::mt19937 &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    link_ptr open(endpoint_index from, endpoint_index to)
    {
        auto link = std::make_shared<fake_link>();
        link->from = from;
        link->to = to;
        return link;
    }

    void send(const link_ptr &link, std::function<void()> work, duration extra = {})
    {
        if (link->closed || link->silent) {
            return;
        }
        const time_point arrival = std::max(link->last, m_queue.now() + randomDelay() + extra);
        link->last = arrival;
        m_queue.after(arrival - m_queue.now(), [this, link, work = std::move(work)]() mutable {
            deliver(link, std::move(work));
        });
    }

    duration randomDelay()
    {
        return duration(std::uniform_int_distribution<int>(100, 1500)(m_random));
    }

    bool stalled(endpoint_index from, endpoint_index to) const
    {
        return cut[from][to] || paused[to];
    }

    std::array<std::array<bool, endpointCount>, endpointCount> cut{};
    std::array<bool, endpointCount> paused{};

private:
    void deliver(const link_ptr &link, std::function<void()> work)
    {
        if (link->closed || link->silent) {
            return;
        }
        if (!link->held.empty() || stalled(link->from, link->to)) {
            link->held.push_back(std::move(work));
            poll(link);
            return;
        }
        work();
    }

    void poll(const link_ptr &link)
    {
        if (link->polling) {
            return;
        }
        link->polling = true;
        m_queue.after(std::chrono::milliseconds(4), [this, link] {
            link->polling = false;
            while (!link->held.empty() && !link->closed && !stalled(link->from, link->to)) {
                const auto work = std::move(link->held.front());
                link->held.pop_front();
                work();
            }
            if (!link->held.empty() && !link->closed) {
                poll(link);
            }
        });
    }

    event_queue &m_queue;
    std::mt19937 &m_random;
};

} // namespace mustardrouter::histories
