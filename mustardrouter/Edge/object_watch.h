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

/// Keeps a copy of all objects of one kind: lists them once, then follows their changes. Between
/// failures it pauses for a random time, so that instances do not come back together.
class object_watch : public std::enable_shared_from_this<object_watch>
{
public:
    using objects = std::map<std::string, platform::stored_object>;
    struct handlers {
        /// The whole copy, after each change of it.
        std::function<void(const objects &)> onChange;
        /// The store was lost or is back.
        std::function<void(bool reachable)> onReachable;
    };

    /// What is watched, and how.
    struct options {
        std::string kind;
        /// After a change the watch rests for so long, so that changes that come together cost one call.
        duration batchDelay{};
        /// Changes may be told seconds late, for a tenth of the price; lists never are.
        bool allowStale = false;
        /// Longest pause between failed calls; a random half is added.
        duration maxBackoff{};
        /// A watch is asked anew after this time: one that was asked for while the store was silent is lost, though its
        /// connection lives on, and nothing else tells.
        duration watchTimeout{};
    };

    object_watch(asio::io_context &context, std::string address, options what, std::uint64_t seed, handlers callbacks);

    void start();
    void stop();
    /// Goes on at another address.
    void setStoreAddress(const std::string &address);
    /// Asks at once if it pauses after a failure: another watch has seen the store answer.
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
