#pragma once

#include "mustardrouter/Runtime/error.h"

#include <asio/ip/tcp.hpp>

#include <string>

namespace mustardrouter
{

/// Parses "IPv4:PORT" or "[IPv6]:PORT"; failure::addressUnavailable for anything else.
result_of<asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

/// Formats an endpoint as "IP:PORT", with brackets around an IPv6 address.
std::string toString(const asio::ip::tcp::endpoint &endpoint);

} // namespace mustardrouter
