#include "mustardrouter/Soak/route_probe.h"

#include "mustardrouter/Edge/line_stream.h"
#include "mustardrouter/Network/tcp_options.h"
#include "platform/line_codec.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace mustardrouter
{

namespace
{

/// The answer to STARTUP is due within 2 s (PROTOCOL.md, "Clients").
constexpr auto replyTimeout = std::chrono::seconds(2);

struct probe_state {
    asio::steady_timer timer;
    std::shared_ptr<line_stream> stream;
    platform::reply_assembler assembler;
    std::function<void(std::optional<reply_code>)> done;

    explicit probe_state(asio::io_context &context)
        : timer(context)
    {
    }
};

void finish(const std::shared_ptr<probe_state> &probe, std::optional<reply_code> code)
{
    const auto done = std::exchange(probe->done, nullptr);
    if (!done) {
        return;
    }
    probe->timer.cancel();
    probe->stream->close();
    done(code);
}

} // namespace

void probeRoute(asio::io_context &context,
                const std::string &address,
                const std::string &route,
                std::function<void(std::optional<reply_code>)> done)
{
    auto probe = std::make_shared<probe_state>(context);
    probe->done = std::move(done);
    const std::weak_ptr<probe_state> weak = probe;
    line_stream::handlers callbacks;
    callbacks.onLine = [weak](std::string_view line) {
        const std::shared_ptr<probe_state> open = weak.lock();
        if (!open) {
            return;
        }
        const std::optional<database_reply> reply = platform::assemble(open->assembler, line);
        const reply_code code = open->assembler.reply.code;
        if (reply || code != reply_code::done) {
            finish(open, reply ? reply_code::done : code);
        }
    };
    callbacks.onEnd = [weak](close_reason) {
        if (const std::shared_ptr<probe_state> open = weak.lock()) {
            finish(open, std::nullopt);
        }
    };
    probe->stream = std::make_shared<line_stream>(asio::ip::tcp::socket(context), platform::maxLineBytes, std::move(callbacks));
    probe->stream->connect(endpointOrUnspecified(address), "STARTUP " + route + " probe\r\n");
    probe->timer.expires_after(replyTimeout);
    probe->timer.async_wait([probe](const asio::error_code &problem) {
        if (!problem) {
            finish(probe, std::nullopt);
        }
    });
}

} // namespace mustardrouter
