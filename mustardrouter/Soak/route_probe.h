#pragma once

#include "mustardrouter/Proxy/reply_code.h"

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace mustardrouter
{

/// Asks an instance for a session with a database, once. `done` gets the code of the answer, or nothing when none came.
void probeRoute(asio::io_context &context,
                const std::string &address,
                const std::string &route,
                std::function<void(std::optional<reply_code>)> done);

} // namespace mustardrouter
