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

/// A caller's connection to an entry, with any number of requests in flight. Used only on the thread of its context.
class caller_client : public std::enable_shared_from_this<caller_client>
{
public:
    /// Receives the result. A request that was sent on a connection that closed before the reply has an unknown outcome.
    using handler = std::function<void(const wire::result &)>;

    caller_client(asio::io_context &context, std::string entry);
    ~caller_client();
    caller_client(const caller_client &) = delete;
    caller_client &operator=(const caller_client &) = delete;

    /// Starts to connect. If that fails, later results carry failure::addressUnavailable.
    void connect();
    void send(const wire::statement &statement, handler onResult);
    void close();
    bool isOpen() const;
    /// False once the connection is closed or the entry has announced that it shuts down; new requests go to another entry.
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
