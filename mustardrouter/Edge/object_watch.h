#pragma once

#include "platform/http_client.h"
#include "platform/stored_objects.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace mustardrouter
{

/// Keeps a copy of all objects of one kind: lists them once, then watches for changes. Retries after failures with an
/// exponential backoff and jitter, so that instances do not all reconnect at the same time.
class object_watch : public std::enable_shared_from_this<object_watch>
{
public:
    using objects = std::map<std::string, platform::stored_object>;
    struct handlers {
        /// Called with all objects after each change.
        std::function<void(const objects &)> onChange;
        /// Called when the store becomes unreachable or reachable again.
        std::function<void(bool reachable)> onReachable;
    };

    /// What to watch, and how.
    struct options {
        std::string kind;
        /// Delay of the next watch request after a change, so that changes in quick succession cost one request.
        duration batchDelay{};
        /// Watch requests may return changes seconds late, at a tenth of the cost. List requests are never stale.
        bool allowStale = false;
        /// Maximum pause between retries, before jitter of up to half of the pause is added.
        duration maxBackoff{};
        /// Time that the store holds a watch request without changes; then the request is sent again. A request sent while the
        /// store is unresponsive may be lost although its connection stays open, and only this timeout detects that.
        duration watchTimeout{};
    };

    object_watch(asio::io_context &context, std::string address, options what, std::uint64_t seed, handlers callbacks);

    void start();
    void stop();
    /// Switches to a store at another address and lists all objects again.
    void setStoreAddress(const std::string &address);
    /// Ends the backoff after a failure, because another watch has reached the store.
    void retryNow();

private:
    void list(const std::string &afterName);
    void handlePage(const std::string &afterName, const platform::http_response &response);
    void watch();
    void handleChanges(const platform::http_response &response);
    void scheduleRetry();
    void watchAfterDelay(duration delay);
    void recordReachable(bool reachable);

    asio::io_context &m_context;
    std::shared_ptr<platform::http_client> m_client;
    asio::steady_timer m_timer;
    options m_options;
    std::mt19937_64 m_random;
    handlers m_handlers;
    objects m_objects;
    objects m_incompleteList;
    std::uint64_t m_revision = 0;
    std::uint32_t m_consecutiveFailures = 0;
    bool m_listComplete = false;
    bool m_reachable = true;
    bool m_retryScheduled = false;
    bool m_stopped = false;
};

} // namespace mustardrouter
