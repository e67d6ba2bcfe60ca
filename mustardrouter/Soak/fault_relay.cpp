#include "mustardrouter/Soak/fault_relay.h"

#include "mustardrouter/Network/tcp_options.h"
#include "mustardrouter/PlatformStandIn/loopback_listener.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace mustardrouter
{

namespace
{

constexpr std::size_t bufferBytes = 16U << 10;
/// Interval between checks whether bytes are still held back.
constexpr auto holdInterval = std::chrono::milliseconds(10);
/// A trickling relay forwards this many bytes at a time, at this interval.
constexpr std::size_t trickleBytes = 7;
constexpr auto trickleInterval = std::chrono::milliseconds(1);
/// A host resets connections to an unreachable peer after this time (PROTOCOL.md, "Databases").
constexpr auto unreachableTimeout = std::chrono::seconds(3);

void reset(asio::ip::tcp::socket &socket)
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/// A connection through the relay.
class fault_relay::relayed_connection : public std::enable_shared_from_this<relayed_connection>
{
public:
    relayed_connection(asio::io_context &context, asio::ip::tcp::socket caller, std::shared_ptr<relay_faults> faults)
        : m_faults(std::move(faults))
        , m_timer(context)
        , m_caller(std::move(caller))
        , m_target(context)
        , m_requestState(context)
        , m_answerState(context)
    {
    }

    void start(const std::string &target)
    {
        asio::error_code ignored;
        m_caller.set_option(asio::ip::tcp::no_delay(true), ignored);
        m_target.async_connect(endpointOrUnspecified(target), [self = shared_from_this()](const asio::error_code &problem) {
            if (problem) {
                self->resetBoth();
                return;
            }
            asio::error_code unused;
            self->m_target.set_option(asio::ip::tcp::no_delay(true), unused);
            self->receive(true);
            self->receive(false);
        });
    }

    void resetBoth()
    {
        m_timer.cancel();
        reset(m_caller);
        reset(m_target);
    }

    void blackhole()
    {
        m_blackholed = true;
        m_timer.expires_after(unreachableTimeout);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
            if (!problem) {
                reset(self->m_target);
            }
        });
    }

private:
    /// Bytes that were read in one direction and are not all forwarded yet.
    struct direction_state {
        asio::steady_timer timer;
        std::array<char, bufferBytes> buffer{};
        std::size_t size = 0;
        std::size_t forwarded = 0;

        explicit direction_state(asio::io_context &context)
            : timer(context)
        {
        }
    };

    direction_state &stateOf(bool requests)
    {
        return requests ? m_requestState : m_answerState;
    }
    asio::ip::tcp::socket &sourceOf(bool requests)
    {
        return requests ? m_caller : m_target;
    }
    asio::ip::tcp::socket &sinkOf(bool requests)
    {
        return requests ? m_target : m_caller;
    }

    void receive(bool requests)
    {
        direction_state &current = stateOf(requests);
        sourceOf(requests).async_read_some(
            asio::buffer(current.buffer), [self = shared_from_this(), requests](const asio::error_code &problem, std::size_t size) {
                if (self->m_blackholed) {
                    if (!problem) {
                        self->receive(requests);
                    }
                    return;
                }
                if (problem) {
                    self->finish(requests);
                    return;
                }
                direction_state &read = self->stateOf(requests);
                read.size = size;
                read.forwarded = 0;
                self->forwardAfter(requests, self->m_faults->delay);
            });
    }

    void forwardAfter(bool requests, std::chrono::milliseconds span)
    {
        if (span.count() == 0) {
            forward(requests);
            return;
        }
        direction_state &current = stateOf(requests);
        current.timer.expires_after(span);
        current.timer.async_wait([self = shared_from_this(), requests](const asio::error_code &problem) {
            if (!problem) {
                self->forward(requests);
            }
        });
    }

    void forward(bool requests)
    {
        if (m_blackholed) {
            receive(requests);
            return;
        }
        if (requests ? m_faults->holdsRequests : m_faults->holdsAnswers) {
            forwardAfter(requests, holdInterval);
            return;
        }
        direction_state &current = stateOf(requests);
        const std::size_t left = current.size - current.forwarded;
        const std::size_t piece = m_faults->trickles ? std::min(left, trickleBytes) : left;
        asio::async_write(sinkOf(requests),
                          asio::buffer(current.buffer.data() + current.forwarded, piece),
                          [self = shared_from_this(), requests, piece](const asio::error_code &problem, std::size_t) {
                              if (problem) {
                                  self->finish(requests);
                                  return;
                              }
                              direction_state &written = self->stateOf(requests);
                              written.forwarded += piece;
                              if (written.forwarded == written.size) {
                                  self->receive(requests);
                              } else {
                                  self->forwardAfter(requests, trickleInterval);
                              }
                          });
    }

    /// One end has closed: closes the other after the bytes sent before, unless the connection is held back or blackholed.
    void finish(bool requests)
    {
        const bool held = requests ? m_faults->holdsRequests : m_faults->holdsAnswers;
        if (m_blackholed) {
            return;
        }
        if (held) {
            direction_state &current = stateOf(requests);
            current.timer.expires_after(holdInterval);
            current.timer.async_wait([self = shared_from_this(), requests](const asio::error_code &problem) {
                if (!problem) {
                    self->finish(requests);
                }
            });
            return;
        }
        asio::error_code ignored;
        sinkOf(requests).shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        m_finished += 1;
        if (m_finished >= 2 || !requests) {
            m_caller.close(ignored);
            m_target.close(ignored);
        }
    }

    std::shared_ptr<relay_faults> m_faults;
    asio::steady_timer m_timer;
    asio::ip::tcp::socket m_caller;
    asio::ip::tcp::socket m_target;
    direction_state m_requestState;
    direction_state m_answerState;
    bool m_blackholed = false;
    int m_finished = 0;
};

fault_relay::fault_relay(asio::io_context &context, std::string target)
    : m_context(context)
    , m_target(std::move(target))
    , m_acceptor(context)
    , m_faults(std::make_shared<relay_faults>())
{
}

fault_relay::~fault_relay()
{
    resetAll();
}

bool fault_relay::listen()
{
    if (!listenOnLoopback(m_acceptor)) {
        return false;
    }
    accept();
    return true;
}

std::string fault_relay::address() const
{
    return addressOf(m_acceptor);
}

void fault_relay::setTarget(const std::string &target)
{
    m_target = target;
}

relay_faults &fault_relay::faults()
{
    return *m_faults;
}

void fault_relay::resetAll()
{
    for (const std::weak_ptr<relayed_connection> &weak : std::exchange(m_connections, {})) {
        if (const std::shared_ptr<relayed_connection> open = weak.lock()) {
            open->resetBoth();
        }
    }
}

void fault_relay::blackholeAll()
{
    for (const std::weak_ptr<relayed_connection> &weak : m_connections) {
        if (const std::shared_ptr<relayed_connection> open = weak.lock()) {
            open->blackhole();
        }
    }
}

void fault_relay::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
        if (problem == asio::error::operation_aborted) {
            return;
        }
        if (!problem && m_faults->refuses) {
            reset(socket);
        } else if (!problem) {
            m_connections.remove_if([](const std::weak_ptr<relayed_connection> &weak) {
                return weak.expired();
            });
            const auto opened = std::make_shared<relayed_connection>(m_context, std::move(socket), m_faults);
            m_connections.push_back(opened);
            opened->start(m_target);
        }
        accept();
    });
}

} // namespace mustardrouter
