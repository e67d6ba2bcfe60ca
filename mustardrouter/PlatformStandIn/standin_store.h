#pragma once

#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/PlatformStandIn/standin_http.h"
#include "mustardrouter/PlatformStandIn/standin_objects.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// How the store fails a request.
enum class store_failure : std::uint8_t { none, silent, reset, busy, tooMany };

/// Faults that the store currently applies.
struct store_faults {
    store_failure down = store_failure::none;
    /// Instances whose requests fail, by the index of their listener, and how these fail.
    std::set<std::size_t> refusedInstances;
    store_failure refusal = store_failure::busy;
    /// Added to the time of each answer.
    std::chrono::milliseconds extraDelay{0};
    /// Rate at which each answer is sent, as over a narrow link; 0: not limited.
    std::size_t bytesPerSecond = 0;
    /// Percentage of writes that get no answer; they are done at once, or later if `writesLate` is set.
    unsigned percentAnswersLost = 0;
    bool writesLate = false;
    /// Percentage of promotion orders that get no answer and are executed seconds later.
    unsigned percentOrdersDelayed = 0;
    /// Promotion orders are refused.
    bool refusesOrders = false;
    /// Watches that allow it are answered with the objects of so long ago, as far as copies are kept.
    duration staleness{};
};

/// A promotion order.
struct standin_order {
    std::string group;
    std::string successor;
    std::string holder;
    std::uint64_t fence = 0;
};

/// The platform's store and promotion orders over HTTP, as the users' pages describe them. Each instance has its own
/// listener, so that faults and the addresses of databases can differ between instances.
class standin_store
{
public:
    struct handlers {
        /// Address at which the instance with this index reaches the database at `address`.
        std::function<std::string(std::size_t instance, const std::string &address)> addressFor;
        /// Executes an order; false if the database is not running.
        std::function<bool(const standin_order &)> onOrder;
    };

    standin_store(asio::io_context &context, handlers callbacks, std::uint64_t seed);

    /// Adds a listener for one more instance; returns its address, or an empty string if that fails.
    std::string addInstance();
    standin_objects &objects();
    store_faults &faults();
    /// Number of requests received.
    std::uint64_t requestCount() const;
    /// Answers the watches for which there are changes.
    void notifyWatches();
    /// Closes the connections of all watches without an answer.
    void disconnectWatches();
    /// Whether the fence of a promotion order is compared with those before.
    void setChecksFences(bool checksFences);
    /// Keeps a copy of the objects, from which the store may return; to be called at regular intervals.
    void keepCopy(time_point now);
    /// Replaces the objects by the newest copy that is at least this old, and begins a new era.
    void returnFromCopy(duration age, time_point now);

private:
    struct pending_watch {
        std::size_t instance;
        std::string kind;
        std::uint64_t since;
        bool allowsStale;
        standin_http::responder respond;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void handle(std::size_t instance, const standin_request &request, const standin_http::responder &respond);
    bool isUnavailable(std::size_t instance) const;
    bool respondWithFault(std::size_t instance, const standin_http::responder &respond) const;
    void read(std::size_t instance, const standin_request &request, const standin_http::responder &respond);
    void watch(std::size_t instance, const standin_request &request, const std::string &kind, const standin_http::responder &respond);
    standin_answer write(const standin_request &request);
    standin_answer remove(const std::string &kind, const std::string &name, std::uint64_t expected);
    standin_answer order(const standin_request &request);
    Json::Value toJson(
        std::size_t instance, const std::string &kind, const std::string &name, std::uint64_t revision, const Json::Value &spec) const;
    bool answerWatch(pending_watch &pending, bool timedOut);
    /// The objects as this watch sees them now.
    const standin_objects &seenBy(const pending_watch &pending) const;

    asio::io_context &m_context;
    handlers m_handlers;
    std::mt19937_64 m_random;
    standin_objects m_objects;
    std::deque<std::pair<time_point, standin_objects>> m_copies;
    /// When the last copy was compared with the objects.
    time_point m_copyCheckedAt{};
    std::uint64_t m_era = 1;
    bool m_checksFences = true;
    std::uint64_t m_requestCount = 0;
    store_faults m_faults;
    std::vector<std::unique_ptr<standin_http>> m_listeners;
    std::map<std::uint64_t, pending_watch> m_watches;
    std::uint64_t m_nextWatch = 1;
    /// Highest fence accepted, by group.
    std::map<std::string, std::uint64_t> m_fences;
};

} // namespace mustardrouter
