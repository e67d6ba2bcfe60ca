#pragma once

#include <asio/ip/tcp.hpp>

namespace mustardrouter
{

/// Enables keepalive and a user timeout, so that the kernel detects an unreachable peer that sent no
/// reset, and TCP_NODELAY, so that small messages are sent without delay.
void setTcpOptions(asio::ip::tcp::socket &socket);

/// Parses "IP:PORT"; returns an unspecified endpoint with port 0 when that fails.
asio::ip::tcp::endpoint endpointOrUnspecified(const std::string &address);

} // namespace mustardrouter
