#pragma once

#include <asio/ip/tcp.hpp>

namespace mustardrouter
{

/// Makes the system find out by itself that the other end is gone: a connection may go silent for
/// good without a reset. Small messages are sent at once.
void setTcpOptions(asio::ip::tcp::socket &socket);

/// IP:PORT as an endpoint; an unspecified endpoint with port 0 when it is none.
asio::ip::tcp::endpoint endpointOrUnspecified(const std::string &address);

} // namespace mustardrouter
