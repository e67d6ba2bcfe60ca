#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <asio/io_context.hpp>

#include <functional>

namespace mustardrouter
{

/// Calls `callback` after `delay`, on the thread that runs `context`.
void callLater(asio::io_context &context, duration delay, std::function<void()> callback);

} // namespace mustardrouter
