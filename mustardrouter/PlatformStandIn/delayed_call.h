#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <asio/io_context.hpp>

#include <functional>

namespace mustardrouter
{

/// Calls `callback` on the context's thread after the delay `delay`.
void callLater(asio::io_context &context, duration delay, std::function<void()> callback);

} // namespace mustardrouter
