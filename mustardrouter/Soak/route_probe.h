#pragma once

#include "mustardrouter/Proxy/reply_code.h"

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace mustardrouter
{

/// Opens a session for a route at an instance and closes it again. `done` gets the code of the answer, or nothing if none
/// came in time.
void probeRoute(asio::io_context &context,
                const std::string &address,
                const std::string &route,
                std::function<void(std::optional<reply_code>)> done);

} // namespace mustardrouter
