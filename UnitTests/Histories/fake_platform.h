#pragma once

#include "fake_network.h"

#include "mustardrouter/Ownership/ownership_event.h"
#include "mustardrouter/Ownership/ownership_record.h"

#include <functional>

namespace mustardrouter::histories
{

/// Platform that stores one group's ownership record with conditional updates, and simulates outages and lost answers.
class fake_platform
{
public:
    using handler = std::function<void(const ownership_event &)>;

    fake_platform(event_queue &queue, fake_network &network)
        : m_queue(queue)
        , m_network(network)
    {
    }

    void read(endpoint_index from, handler onAnswer)
    {
        call(from, std::move(onAnswer), [this]() -> ownership_event {
            return record_read{record};
        });
    }

    void write(endpoint_index from, const ownership_record &wanted, handler onAnswer)
    {
        call(from, std::move(onAnswer), [this, wanted]() -> ownership_event {
            if (wanted.version != record.version) {
                return record_conflict{};
            }
            record = wanted;
            record.version = ++m_version;
            return record_written{record};
        });
    }

    bool down = false;
    bool losesAnswers = false;
    duration answerDelay{};
    ownership_record record;

private:
    struct pending_call {
        bool answered = false;
        handler onAnswer;
    };

    void call(endpoint_index from, handler onAnswer, std::function<ownership_event()> effect)
    {
        const auto pending = std::make_shared<pending_call>();
        pending->onAnswer = std::move(onAnswer);
        const channel_ptr outbound = m_network.open(from, platformEndpoint);
        const channel_ptr inbound = m_network.open(platformEndpoint, from);
        m_network.send(outbound, [this, pending, inbound, effect = std::move(effect)] {
            if (down) {
                return;
            }
            const ownership_event result = effect();
            if (losesAnswers) {
                return;
            }
            m_network.send(
                inbound,
                [pending, result] {
                    finish(*pending, result);
                },
                answerDelay);
        });
        constexpr auto callTimeout = std::chrono::milliseconds(60);
        expire(from, pending, callTimeout);
    }

    /// Ends the call with a failure after the timeout; a paused instance sees the timeout only once it has resumed.
    void expire(endpoint_index from, const std::shared_ptr<pending_call> &pending, duration after)
    {
        m_queue.after(after, [this, from, pending] {
            if (m_network.paused[from]) {
                expire(from, pending, std::chrono::milliseconds(5));
                return;
            }
            finish(*pending, record_request_failed{});
        });
    }

    static void finish(pending_call &call, const ownership_event &result)
    {
        if (call.answered) {
            return;
        }
        call.answered = true;
        call.onAnswer(result);
    }

    event_queue &m_queue;
    fake_network &m_network;
    std::uint64_t m_version = 0;
};

} // namespace mustardrouter::histories
