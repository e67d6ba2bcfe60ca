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
    /// Gets each new connection, which it must start.
    using accept_handler = std::function<void(std::shared_ptr<frame_connection>)>;

    frame_listener(asio::io_context &context, accept_handler onAccept);

    /// Listens at "IP:PORT", where port 0 takes a free one; failure::addressUnavailable when it is taken.
    result_of<void> listen(const std::string &address);
    /// Accepts no more.
    void stop();
    /// The address that is listened on.
    std::string address() const;

private:
    void acceptNext();

    asio::ip::tcp::acceptor m_acceptor;
    accept_handler m_onAccept;
};

} // namespace mustardrouter
