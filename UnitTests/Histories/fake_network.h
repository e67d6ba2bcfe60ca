#pragma once

#include "event_queue.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace mustardrouter::histories
{

/// Index of an instance, a database, the platform or the callers in the network.
using endpoint_index = std::size_t;

constexpr std::size_t maxInstances = 3;
constexpr std::size_t databaseCount = 3;
constexpr endpoint_index firstDatabase = maxInstances;
constexpr endpoint_index platformEndpoint = firstDatabase + databaseCount;
/// The network between callers and entries is never partitioned; callers lose whole connections instead.
constexpr endpoint_index callersEndpoint = platformEndpoint + 1;
constexpr std::size_t endpointCount = callersEndpoint + 1;

/// One direction of a connection. Messages arrive in order; they are held back while the two endpoints are partitioned
/// or the receiver is paused.
struct fake_channel {
    endpoint_index from = 0;
    endpoint_index to = 0;
    bool closed = false;
    /// Drops all messages without notifying either endpoint.
    bool silent = false;
    bool polling = false;
    time_point last{};
    std::deque<std::function<void()>> heldMessages;
};

using channel_ptr = std::shared_ptr<fake_channel>;

/// Network with delays drawn from the seeded generator, partitions between endpoints and paused endpoints.
class fake_network
{
public:
    fake_network(event_queue &queue, std::mt19937 &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    channel_ptr open(endpoint_index from, endpoint_index to)
    {
        auto channel = std::make_shared<fake_channel>();
        channel->from = from;
        channel->to = to;
        return channel;
    }

    void send(const channel_ptr &channel, std::function<void()> work, duration extra = {})
    {
        if (channel->closed || channel->silent) {
            return;
        }
        const time_point arrival = std::max(channel->last, m_queue.now() + randomDelay() + extra);
        channel->last = arrival;
        m_queue.after(arrival - m_queue.now(), [this, channel, work = std::move(work)]() mutable {
            deliver(channel, std::move(work));
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
    void deliver(const channel_ptr &channel, std::function<void()> work)
    {
        if (channel->closed || channel->silent) {
            return;
        }
        if (!channel->heldMessages.empty() || stalled(channel->from, channel->to)) {
            channel->heldMessages.push_back(std::move(work));
            poll(channel);
            return;
        }
        work();
    }

    void poll(const channel_ptr &channel)
    {
        if (channel->polling) {
            return;
        }
        channel->polling = true;
        m_queue.after(std::chrono::milliseconds(4), [this, channel] {
            channel->polling = false;
            while (!channel->heldMessages.empty() && !channel->closed && !stalled(channel->from, channel->to)) {
                const auto work = std::move(channel->heldMessages.front());
                channel->heldMessages.pop_front();
                work();
            }
            if (!channel->heldMessages.empty() && !channel->closed) {
                poll(channel);
            }
        });
    }

    event_queue &m_queue;
    std::mt19937 &m_random;
};

} // namespace mustardrouter::histories
