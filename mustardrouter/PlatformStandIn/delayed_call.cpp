#include "mustardrouter/PlatformStandIn/delayed_call.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace mustardrouter
{

void callLater(asio::io_context &context, duration wait, std::function<void()> then)
{
    const auto timer = std::make_shared<asio::steady_timer>(context, wait);
    timer->async_wait([timer, then = std::move(then)](const asio::error_code &problem) {
        if (!problem) {
            then();
        }
    });
}

} // namespace mustardrouter
