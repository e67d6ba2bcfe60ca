#pragma once

#include "mustardrouter/Runtime/error.h"

#include <asio/ip/tcp.hpp>

#include <string>

namespace mustardrouter
{

/// Parses "IP:PORT"; failure::addressUnavailable when it is neither IPv4 nor "[IPv6]:PORT".
result_of<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/// Writes an endpoint as "IP:PORT".
std::string toString(const asio::ip::tcp::endpoint &endpoint);

} // namespace mustardrouter
