#pragma once

#include "mustardrouter/Edge/store_history.h"
#include "mustardrouter/Edge/watch_timing.h"
#include "mustardrouter/Membership/change_log.h"
#include "platform/http_client.h"
#include "platform/stored_objects.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
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
    /// An answer of the store, or changes that another instance told.
    struct transfer {
        bool told = false;
        bool list = false;
        /// False for an answer that was given up, or that can't be used.
        bool complete = false;
        std::size_t bytes = 0;
        std::size_t changes = 0;
        /// Since the request was sent; 0 for what was told.
        duration took{};
        /// How long ago the copy was last known to be complete, before this.
        duration ageBefore{};
    };
    struct handlers {
        /// Called with all objects after each change. The change was made after `changedSince`, the last moment for which the copy is
        /// known to have been complete. The arrival of the answer says nothing about that.
        std::function<void(const objects &, time_point changedSince)> onChange;
        /// Called when the store becomes unreachable or reachable again.
        std::function<void(bool reachable)> onReachable;
        /// Called when the objects were listed again after the store had lost its history, with the time since.
        std::function<void(duration after)> onListedAgain;
        /// Called after an answer with changes, and when the store becomes unreachable or reachable again.
        std::function<void()> onState{};
        /// Called with each transfer that changes the copy, and with each answer of which only a part arrived in time.
        std::function<void(const transfer &)> onTransfer{};
    };

    /// Changes that another instance told, with times on this instance's clock.
    struct told_changes {
        /// Replaces the whole copy.
        bool whole = false;
        /// The changes bring a copy at `from` or between the two positions to `to`.
        store_position from;
        store_position to;
        objects changed;
        std::set<std::string> removed;
        /// All changes that the store acknowledged before are part of the state at `to`.
        time_point completeSince{};
        /// The changes were made after this time, and the store's answer with them did not arrive earlier than that one; nothing if
        /// not known.
        std::optional<time_point> changedSince;
        std::optional<time_point> answeredAt;
        std::size_t bytes = 0;
        /// Of changed objects, by name, if they were told as such.
        std::map<std::string, object_difference> differences{};
    };

    /// What to watch, and how.
    struct options {
        std::string kind;
        /// Delay of the next watch request after a change, so that changes in quick succession cost one request.
        duration batchDelay{};
        /// Watch requests may return changes seconds late, at a tenth of the cost, so that completeSince() is too late by as much. Only for
        /// kinds on whose age nothing rests. List requests are never stale.
        bool allowStale = false;
        /// Maximum pause between retries, before jitter of up to half of the pause is added.
        duration maxBackoff{};
        watch_timing timing;
        /// The kind has few objects, and these may be large. They are listed after a failure, a pause, and an answer with several
        /// versions of one object, since changes may be many whole versions; and small differences are kept for followers.
        bool fewLargeObjects = false;
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

    /// Sends no more requests until proceed(): another instance tells the changes.
    void pause();
    /// Asks the store again, at first for an answer at once.
    void proceed();
    /// Asks so that the store answers at least this often; nothing for the times of the options.
    void setAnswerInterval(std::optional<duration> interval);
    /// Takes changes over. Returns whether all changes until `completeSince` are in the copy now. A copy that is later already stays
    /// as it is, and so does one that the changes do not continue.
    bool adopt(told_changes told);

    /// The objects have been listed since the start and since the last loss of the store's history.
    bool isComplete() const;
    bool isReachable() const;
    store_position position() const;
    /// All changes that the store acknowledged before this time are in the copy.
    time_point completeSince() const;
    /// When the store's answer with the last change arrived, here or at the instance that told it.
    time_point changeAnsweredAt() const;
    const objects &current() const;
    const change_log &log() const;
    /// Number of requests sent.
    std::uint64_t requests() const;
    /// Objects in answers that could not be read, or only in part.
    std::uint64_t unreadable() const;

private:
    void list(const std::string &afterName);
    /// The last page of a list was read.
    void takeList();
    /// Adds to the batch how the object changed, if that is small and there may be followers.
    void addDifference(change_batch &batch, const platform::stored_object &before, const platform::stored_object &after) const;
    void handlePage(const std::string &afterName, const platform::http_response &response);
    void watch();
    /// Sends the next request, for the list or for changes.
    void resume();
    bool isToList() const;
    void handleChanges(const platform::http_response &response);
    /// Applies the changes to the copy and adds to the batch what followers can't tell from the copy.
    void takeChanges(platform::object_changes &changes, change_batch &batch);
    void scheduleRetry();
    void watchAfterDelay(duration delay);
    void recordAnswer();
    void recordFailure();
    void tellState();
    void tellTransfer(transfer what) const;

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
    /// Of the first page: a watch from there reports changes made while later pages are read.
    store_position m_listPosition;
    /// When the store lost the history of `m_objects`; the epoch if it has not.
    time_point m_historyLostAt{};
    /// When the last answer arrived, on the clock of bootTime().
    time_point m_answeredAt{};
    /// Position up to which the copy is complete.
    store_position m_position;
    change_log m_log;
    std::optional<duration> m_answerInterval;
    time_point m_sentAt{};
    time_point m_listSentAt{};
    /// Time that the store was asked to hold the last watch request.
    duration m_sentHeld{};
    time_point m_completeSince{};
    time_point m_changeAnsweredAt{};
    std::uint64_t m_requests = 0;
    std::uint64_t m_unreadable = 0;
    bool m_paused = false;
    std::uint32_t m_consecutiveFailures = 0;
    /// The objects were listed since the start and since the last loss of the store's history.
    bool m_listComplete = false;
    /// The copy is behind by more than a watch tells.
    bool m_isBehind = false;
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
