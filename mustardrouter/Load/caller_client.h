#pragma once

#include "mustardrouter/Network/frame_connection.h"
#include "mustardrouter/Schema/wire.pb.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// A caller's connection to an entry; requests may overlap. Belongs to the thread of its context.
class caller_client : public std::enable_shared_from_this<caller_client>
{
public:
    /// Gets the result; a request that was sent on a connection that broke ends as unknown.
    using handler = std::function<void(const wire::result &)>;

    caller_client(asio::io_context &context, std::string entry);
    ~caller_client();
    caller_client(const caller_client &) = delete;
    caller_client &operator=(const caller_client &) = delete;

    /// Connects; failure::addressUnavailable in `detail` of later results when it cannot.
    void connect();
    /// Sends one statement.
    void send(const wire::statement &statement, handler onResult);
    void close();
    bool isOpen() const;
    /// False when the entry has said that it shuts down: what is new belongs elsewhere.
    bool acceptsNewRequests() const;
    const std::string &entry() const;

private:
    void onFrame(std::string_view payload);
    void onClose(failure cause);

    asio::io_context &m_context;
    std::string m_entry;
    std::shared_ptr<frame_connection> m_connection;
    std::unordered_map<std::uint64_t, handler> m_pendingHandlers;
    std::uint64_t m_nextId = 1;
    bool m_entryLeaving = false;
};

/// Sends one statement to an entry and waits for the result.
wire::result callOnce(const std::string &entry, const wire::statement &statement);

} // namespace mustardrouter
