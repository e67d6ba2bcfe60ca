#pragma once

#include "mustardrouter/Network/frame_connection.h"
#include "mustardrouter/Runtime/error.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mustardrouter
{

/// Accepts connections on one address.
class frame_listener
{
public:
    /// Called with each new connection, on which it must call start().
    using accept_handler = std::function<void(std::shared_ptr<frame_connection>)>;

    frame_listener(asio::io_context &context, accept_handler onAccept);

    /// Listens at "IP:PORT", where port 0 selects a free port; failure::addressUnavailable when binding fails.
    result_of<void> listen(const std::string &address);
    /// Stops accepting connections.
    void stop();
    /// The bound address; empty when not listening.
    std::string address() const;

private:
    void acceptNext();

    asio::ip::tcp::acceptor m_acceptor;
    accept_handler m_onAccept;
};

} // namespace mustardrouter
