#pragma once

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace mustardrouter
{

/// Listens on a loopback port, or on a free one for port 0; false if that fails.
bool listenOnLoopback(asio::ip::tcp::acceptor &acceptor, std::uint16_t port = 0);

/// IP:PORT at which the acceptor listens.
std::string addressOf(const asio::ip::tcp::acceptor &acceptor);

} // namespace mustardrouter
