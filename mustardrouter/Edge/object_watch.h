#pragma once

#include "mustardrouter/Edge/store_history.h"
#include "mustardrouter/Edge/watch_timing.h"
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
///
/// A request that reaches the store while it does not answer is lost, although the connection stays open. Therefore no request is
/// awaited for longer than its timeout, a request after a failure is answered at once by a store that works, and a request that
/// was sent before the store was reached again is repeated.
class object_watch : public std::enable_shared_from_this<object_watch>
{
public:
    using objects = std::map<std::string, platform::stored_object>;
    struct handlers {
        /// Called with all objects after each change. The change was made after `changedSince`: after the last answer if requests
        /// have failed since, else just now.
        std::function<void(const objects &, time_point changedSince)> onChange;
        /// Called when the store becomes unreachable or reachable again.
        std::function<void(bool reachable)> onReachable;
        /// Called when the objects were listed again after the store had lost its history, with the time since.
        std::function<void(duration after)> onListedAgain;
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
        watch_timing timing;
    };

    /// `history` is shared by all that speak to the store and has to live longer than this.
    object_watch(
        asio::io_context &context, std::string address, store_history &history, options what, std::uint64_t seed, handlers callbacks);

    void start();
    void stop();
    /// Switches to a store at another address and lists all objects again.
    void setStoreAddress(const std::string &address);
    /// The store was reached again after failures of this or another watch: ends the backoff, and repeats a request that was sent
    /// before.
    void onStoreReached();
    /// The store has returned from an older copy: lists all objects again after a random delay. The copy stays as it is until then.
    void onHistoryLost();

private:
    void list(const std::string &afterName);
    void handlePage(const std::string &afterName, const platform::http_response &response);
    void watch();
    /// Sends the next request, for the list or for changes.
    void resume();
    void handleChanges(const platform::http_response &response);
    void scheduleRetry();
    void watchAfterDelay(duration delay);
    /// Returns the time after which the changes in this answer were made.
    time_point recordAnswer();
    void recordFailure();

    asio::io_context &m_context;
    store_history &m_history;
    std::shared_ptr<platform::http_client> m_client;
    asio::steady_timer m_timer;
    options m_options;
    std::mt19937_64 m_random;
    handlers m_handlers;
    objects m_objects;
    objects m_incompleteList;
    time_point m_listChangedSince{};
    /// When the store lost the history of `m_objects`; the epoch if it has not.
    time_point m_historyLostAt{};
    /// When the last answer arrived, on the clock of bootTime().
    time_point m_answeredAt{};
    /// Position up to which the copy is complete.
    store_position m_position;
    std::uint32_t m_consecutiveFailures = 0;
    bool m_listComplete = false;
    bool m_reachable = true;
    bool m_retryScheduled = false;
    /// The next list waits for its random delay after a loss of the store's history.
    bool m_listDelayed = false;
    /// The store has not answered since the last failure.
    bool m_unanswered = true;
    /// A request was sent and not answered yet.
    bool m_requestOutstanding = false;
    bool m_stopped = false;
};

} // namespace mustardrouter
