#include "mustardrouter/Instance/network_thread.h"

#include "mustardrouter/Runtime/thread_name.h"

#include "mustardrouter/Network/endpoint.h"
#include "mustardrouter/Runtime/log.h"

#include <asio/post.hpp>

namespace mustardrouter
{

network_thread::network_thread(ring<network_event> &events, std::size_t commandCapacity)
    : m_guard(asio::make_work_guard(m_context))
    , m_callers(m_context,
                [this](const std::shared_ptr<frame_connection> &connection) {
                    accept(connection_kind::caller, connection);
                })
    , m_peers(m_context,
              [this](const std::shared_ptr<frame_connection> &connection) {
                  accept(connection_kind::peer, connection);
              })
    , m_events(events)
    , m_commands(commandCapacity, m_unusedSignal)
{
}

network_thread::~network_thread()
{
    stop();
}

result_of<void> network_thread::start(const std::string &callerAddress, const std::string &peerAddress)
{
    BOOST_LEAF_CHECK(m_callers.listen(callerAddress));
    BOOST_LEAF_CHECK(m_peers.listen(peerAddress));
    m_thread = std::thread([this] {
        nameThread("network");
        m_context.run();
    });
    return {};
}

void network_thread::stopAccepting()
{
    asio::post(m_context, [this] {
        m_callers.stop();
    });
}

void network_thread::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_guard.reset();
    m_context.stop();
    m_thread.join();
    m_callers.stop();
    m_peers.stop();
    const auto connections = std::move(m_connections);
    m_connections.clear();
    for (const auto &[id, connection] : connections) {
        connection->close(failure::shuttingDown);
    }
}

failure network_thread::post(network_command command)
{
    if (!m_overflowing.load() && m_commands.offer(command) == failure::none) {
        return failure::none;
    }
    if (std::holds_alternative<send_message>(command)) {
        return failure::ringFull;
    }
    const std::scoped_lock lock(m_overflowMutex);
    m_overflow.push_back(std::move(command));
    m_overflowing.store(true);
    return failure::none;
}

void network_thread::flush()
{
    if (m_wakeupPosted.exchange(true)) {
        return;
    }
    asio::post(m_context, [this] {
        m_wakeupPosted.store(false);
        runCommands();
    });
}

std::string network_thread::callerAddress() const
{
    return m_callers.address();
}

std::string network_thread::peerAddress() const
{
    return m_peers.address();
}

void network_thread::accept(connection_kind kind, const std::shared_ptr<frame_connection> &connection)
{
    const frame_connection_id id(m_nextAccepted);
    m_nextAccepted += 2;
    m_connections.emplace(id, connection);
    connection->start(
        [this, id, kind](frame_connection &from, std::string_view payload) {
            onFrame(id, kind, from, payload);
        },
        [this, id, kind](frame_connection &, failure cause) {
            onClose(id, kind, cause);
        });
}

void network_thread::runCommands()
{
    do {
        // Taken before the ring is emptied, so that no command in the ring is younger.
        std::deque<network_command> overflow;
        if (m_overflowing.load()) {
            const std::scoped_lock lock(m_overflowMutex);
            std::swap(overflow, m_overflow);
        }
        while (std::optional<network_command> command = m_commands.pop()) {
            run(*command);
        }
        for (network_command &command : overflow) {
            run(command);
        }
    } while (!endOverflow());
}

bool network_thread::endOverflow()
{
    if (!m_overflowing.load()) {
        return true;
    }
    const std::scoped_lock lock(m_overflowMutex);
    m_overflowing.store(!m_overflow.empty());
    return m_overflow.empty();
}

void network_thread::run(network_command &command)
{
    std::visit(
        [this](auto &what) {
            run(what);
        },
        command);
}

void network_thread::run(const open_frame_connection &command)
{
    const frame_connection_id id = command.connection;
    const connection_kind kind = command.kind;
    auto connection = std::make_shared<frame_connection>(asio::ip::tcp::socket(m_context));
    m_connections.emplace(id, connection);
    handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_AUTO(endpoint, parseEndpoint(command.address));
            connection->connect(
                endpoint,
                [this, id, kind](frame_connection &from, std::string_view payload) {
                    onFrame(id, kind, from, payload);
                },
                [this, id, kind](frame_connection &, failure cause) {
                    onClose(id, kind, cause);
                });
            return true;
        },
        [&](const error &what) {
            onClose(id, kind, what.cause);
            return false;
        });
}

void network_thread::run(send_message &command)
{
    const auto found = m_connections.find(command.connection);
    if (found == m_connections.end()) {
        return;
    }
    const std::shared_ptr<frame_connection> connection = found->second;
    std::visit(
        [&](const auto &message) {
            connection->send(message);
        },
        command.message);
}

void network_thread::run(const close_frame_connection &command)
{
    const auto found = m_connections.find(command.connection);
    if (found == m_connections.end()) {
        return;
    }
    const std::shared_ptr<frame_connection> connection = found->second;
    m_connections.erase(found);
    connection->close(failure::none);
}

void network_thread::onFrame(frame_connection_id id, connection_kind kind, frame_connection &connection, std::string_view payload)
{
    const std::unique_ptr<connection_message> message = parse(kind, payload);
    if (!message) {
        connection.close(failure::malformedFrame);
        return;
    }
    network_event event = message_received{id, std::move(*message)};
    if (m_events.offer(event) == failure::none) {
        return;
    }
    if (kind == connection_kind::caller) {
        refuseOverload(connection, std::get<message_received>(event).message);
        return;
    }
    // Dropping a message of a peer or database would leave its sender waiting; closing the connection signals the failure.
    connection.close(failure::ringFull);
}

void network_thread::onClose(frame_connection_id id, connection_kind kind, failure cause)
{
    if (m_connections.erase(id) == 0) {
        return;
    }
    if (cause == failure::malformedFrame || cause == failure::frameTooLarge) {
        writeLog(log_level::warning, "network", "invalid frame; closing the connection", {{"reason", std::string(toString(cause))}});
    }
    report(frame_connection_closed{id, kind, cause});
}

void network_thread::report(network_event event)
{
    if (m_events.offer(event) == failure::none) {
        return;
    }
    // A close event must not be lost: retry until the decision thread has made room in the ring.
    asio::post(m_context, [this, event = std::move(event)]() mutable {
        std::this_thread::yield();
        report(std::move(event));
    });
}

std::unique_ptr<connection_message> network_thread::parse(connection_kind kind, std::string_view payload)
{
    const auto size = static_cast<int>(payload.size());
    auto message = std::make_unique<connection_message>();
    bool parsed = false;
    switch (kind) {
    case connection_kind::caller:
        parsed = message->emplace<wire::caller_request>().ParseFromArray(payload.data(), size);
        break;
    case connection_kind::peer:
        parsed = message->emplace<wire::peer_message>().ParseFromArray(payload.data(), size);
        break;
    case connection_kind::database:
        parsed = message->emplace<wire::database_message>().ParseFromArray(payload.data(), size);
        break;
    }
    return parsed ? std::move(message) : nullptr;
}

void network_thread::refuseOverload(frame_connection &connection, const connection_message &message)
{
    constexpr std::uint64_t retryAfterMs = 100;
    wire::caller_response response;
    response.set_id(std::get<wire::caller_request>(message).id());
    response.mutable_result()->set_outcome(wire::OUTCOME_NOT_RUN);
    response.mutable_result()->set_failure(static_cast<std::uint32_t>(failure::ringFull));
    response.mutable_result()->set_retry_after_ms(retryAfterMs);
    connection.send(response);
}

} // namespace mustardrouter
