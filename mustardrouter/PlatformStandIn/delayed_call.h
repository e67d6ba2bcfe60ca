#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <asio/io_context.hpp>

#include <functional>

namespace mustardrouter
{

/// Calls `then` on the context's thread after the delay `wait`.
void callLater(asio::io_context &context, duration wait, std::function<void()> then);

} // namespace mustardrouter
