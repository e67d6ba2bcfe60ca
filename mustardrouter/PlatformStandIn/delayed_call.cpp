#include "mustardrouter/PlatformStandIn/delayed_call.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace mustardrouter
{

void callLater(asio::io_context &context, duration delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code &problem) {
        if (!problem) {
            callback();
        }
    });
}

} // namespace mustardrouter
