#include "mustardrouter/Load/caller_client.h"

#include "mustardrouter/Network/endpoint.h"

#include <asio/post.hpp>

namespace mustardrouter
{

namespace
{

wire::result failedConnectionResult(wire::outcome_kind outcome, failure cause)
{
    wire::result result;
    result.set_outcome(outcome);
    result.set_failure(static_cast<std::uint32_t>(cause));
    result.set_detail("the connection to the entry is closed");
    return result;
}

} // namespace

caller_client::caller_client(asio::io_context &context, std::string entry)
    : m_context(context)
    , m_entry(std::move(entry))
{
}

caller_client::~caller_client()
{
    close();
}

void caller_client::connect()
{
    m_connection = std::make_shared<frame_connection>(asio::ip::tcp::socket(m_context));
    const std::weak_ptr<caller_client> weak = weak_from_this();
    handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_AUTO(endpoint, parseEndpoint(m_entry));
            m_connection->connect(
                endpoint,
                [weak](frame_connection &, std::string_view payload) {
                    if (const auto self = weak.lock()) {
                        self->onFrame(payload);
                    }
                },
                [weak](frame_connection &, failure cause) {
                    if (const auto self = weak.lock()) {
                        self->onClose(cause);
                    }
                });
            return true;
        },
        [&](const error &what) {
            m_connection->close(what.cause);
            return false;
        });
}

void caller_client::send(const wire::statement &statement, handler onResult)
{
    if (!isOpen()) {
        asio::post(m_context, [onResult = std::move(onResult)] {
            onResult(failedConnectionResult(wire::OUTCOME_NOT_RUN, failure::addressUnavailable));
        });
        return;
    }
    wire::caller_request request;
    request.set_id(m_nextId++);
    *request.mutable_statement() = statement;
    m_pendingHandlers.emplace(request.id(), std::move(onResult));
    m_connection->send(request);
}

void caller_client::close()
{
    if (m_connection) {
        m_connection->close(failure::none);
    }
}

bool caller_client::isOpen() const
{
    return m_connection && m_connection->isOpen();
}

bool caller_client::acceptsNewRequests() const
{
    return isOpen() && !m_entryLeaving;
}

const std::string &caller_client::entry() const
{
    return m_entry;
}

void caller_client::onFrame(std::string_view payload)
{
    wire::caller_response response;
    if (!response.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        m_connection->close(failure::malformedFrame);
        return;
    }
    if (response.id() == 0) {
        m_entryLeaving = true;
        return;
    }
    const auto found = m_pendingHandlers.find(response.id());
    if (found == m_pendingHandlers.end()) {
        return;
    }
    const handler onResult = std::move(found->second);
    m_pendingHandlers.erase(found);
    onResult(response.result());
}

void caller_client::onClose(failure cause)
{
    const auto pendingHandlers = std::move(m_pendingHandlers);
    m_pendingHandlers.clear();
    const bool connectFailed = cause == failure::addressUnavailable;
    for (const auto &[id, onResult] : pendingHandlers) {
        onResult(failedConnectionResult(connectFailed ? wire::OUTCOME_NOT_RUN : wire::OUTCOME_UNKNOWN, cause));
    }
}

wire::result callOnce(const std::string &entry, const wire::statement &statement)
{
    asio::io_context context;
    wire::result answer;
    const auto client = std::make_shared<caller_client>(context, entry);
    client->connect();
    client->send(statement, [&](const wire::result &result) {
        answer = result;
        client->close();
    });
    context.run();
    return answer;
}

} // namespace mustardrouter
