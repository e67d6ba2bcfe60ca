#include "mustardrouter/Soak/fault_relay.h"

#include "mustardrouter/Network/socket_liveness.h"
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

constexpr std::size_t bufferSize = 16U << 10;
/// Between two looks whether bytes are still to be kept back.
constexpr auto holdInterval = std::chrono::milliseconds(10);
/// A trickling relay passes so many bytes at a time, with this pause between them.
constexpr std::size_t trickleSize = 7;
constexpr auto trickleInterval = std::chrono::milliseconds(1);
/// A machine drops connections whose other end can't be reached after this time (PROTOCOL.md, "Databases").
constexpr auto unreachablePatience = std::chrono::seconds(3);

void reset(asio::ip::tcp::socket &socket)
{
    asio::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/// One connection through the relay.
class fault_relay::passage : public std::enable_shared_from_this<passage>
{
public:
    passage(asio::io_context &context, asio::ip::tcp::socket caller, std::shared_ptr<relay_faults> faults)
        : m_faults(std::move(faults))
        , m_timer(context)
        , m_caller(std::move(caller))
        , m_target(context)
        , m_requests(context)
        , m_answers(context)
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
            self->pump(true);
            self->pump(false);
        });
    }

    void resetBoth()
    {
        m_timer.cancel();
        reset(m_caller);
        reset(m_target);
    }

    void silence()
    {
        m_silent = true;
        m_timer.expires_after(unreachablePatience);
        m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
            if (!problem) {
                reset(self->m_target);
            }
        });
    }

private:
    /// The bytes on their way in one direction.
    struct way {
        asio::steady_timer timer;
        std::array<char, bufferSize> buffer{};
        std::size_t size = 0;
        std::size_t passed = 0;

        explicit way(asio::io_context &context)
            : timer(context)
        {
        }
    };

    way &wayOf(bool requests)
    {
        return requests ? m_requests : m_answers;
    }
    asio::ip::tcp::socket &sourceOf(bool requests)
    {
        return requests ? m_caller : m_target;
    }
    asio::ip::tcp::socket &sinkOf(bool requests)
    {
        return requests ? m_target : m_caller;
    }

    void pump(bool requests)
    {
        way &current = wayOf(requests);
        sourceOf(requests).async_read_some(
            asio::buffer(current.buffer), [self = shared_from_this(), requests](const asio::error_code &problem, std::size_t size) {
                if (self->m_silent) {
                    if (!problem) {
                        self->pump(requests);
                    }
                    return;
                }
                if (problem) {
                    self->finish(requests);
                    return;
                }
                way &read = self->wayOf(requests);
                read.size = size;
                read.passed = 0;
                self->wait(requests, self->m_faults->delay);
            });
    }

    void wait(bool requests, std::chrono::milliseconds span)
    {
        if (span.count() == 0) {
            pass(requests);
            return;
        }
        way &current = wayOf(requests);
        current.timer.expires_after(span);
        current.timer.async_wait([self = shared_from_this(), requests](const asio::error_code &problem) {
            if (!problem) {
                self->pass(requests);
            }
        });
    }

    void pass(bool requests)
    {
        if (m_silent) {
            pump(requests);
            return;
        }
        if (requests ? m_faults->holdsRequests : m_faults->holdsAnswers) {
            wait(requests, holdInterval);
            return;
        }
        way &current = wayOf(requests);
        const std::size_t left = current.size - current.passed;
        const std::size_t piece = m_faults->trickles ? std::min(left, trickleSize) : left;
        asio::async_write(sinkOf(requests),
                          asio::buffer(current.buffer.data() + current.passed, piece),
                          [self = shared_from_this(), requests, piece](const asio::error_code &problem, std::size_t) {
                              if (problem) {
                                  self->finish(requests);
                                  return;
                              }
                              way &written = self->wayOf(requests);
                              written.passed += piece;
                              if (written.passed == written.size) {
                                  self->pump(requests);
                              } else {
                                  self->wait(requests, trickleInterval);
                              }
                          });
    }

    /// One end has closed: the other hears of it behind what was sent before, unless nothing is heard.
    void finish(bool requests)
    {
        const bool held = requests ? m_faults->holdsRequests : m_faults->holdsAnswers;
        if (m_silent) {
            return;
        }
        if (held) {
            way &current = wayOf(requests);
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
    way m_requests;
    way m_answers;
    bool m_silent = false;
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

void fault_relay::moveTo(const std::string &target)
{
    m_target = target;
}

relay_faults &fault_relay::faults()
{
    return *m_faults;
}

void fault_relay::resetAll()
{
    for (const std::weak_ptr<passage> &weak : std::exchange(m_passages, {})) {
        if (const std::shared_ptr<passage> open = weak.lock()) {
            open->resetBoth();
        }
    }
}

void fault_relay::silenceAll()
{
    for (const std::weak_ptr<passage> &weak : m_passages) {
        if (const std::shared_ptr<passage> open = weak.lock()) {
            open->silence();
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
            m_passages.remove_if([](const std::weak_ptr<passage> &weak) {
                return weak.expired();
            });
            const auto opened = std::make_shared<passage>(m_context, std::move(socket), m_faults);
            m_passages.push_back(opened);
            opened->start(m_target);
        }
        accept();
    });
}

} // namespace mustardrouter
