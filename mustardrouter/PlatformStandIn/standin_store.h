#pragma once

#include "mustardrouter/PlatformStandIn/standin_http.h"
#include "mustardrouter/PlatformStandIn/standin_objects.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardrouter
{

/// How the store fails a call.
enum class store_failure : std::uint8_t { none, silent, reset, busy, tooMany };

/// What is wrong with the store at the moment.
struct store_faults {
    store_failure down = store_failure::none;
    /// Instances that are turned away, by the index of their listener, and how.
    std::set<std::size_t> refusedInstances;
    store_failure refusal = store_failure::busy;
    /// Added to each answer.
    std::chrono::milliseconds extraDelay{0};
    /// Out of a hundred writes so many are done and not answered, or done later.
    unsigned percentAnswersLost = 0;
    bool writesLate = false;
    /// Out of a hundred orders so many get no answer and are carried out seconds later.
    unsigned percentOrdersDelayed = 0;
};

/// An order to promote.
struct standin_order {
    std::string group;
    std::string successor;
    std::string holder;
    std::uint64_t fence = 0;
};

/// The platform's store and its orders over HTTP, as the users' pages describe them. Each instance has a listener
/// of its own, so that faults and the addresses of databases can differ between instances.
class standin_store
{
public:
    struct handlers {
        /// The address at which the instance with this index reaches a database.
        std::function<std::string(std::size_t instance, const std::string &address)> addressFor;
        /// Carries out an order; false when the database does not run.
        std::function<bool(const standin_order &)> onOrder;
    };

    standin_store(asio::io_context &context, handlers callbacks, std::uint64_t seed);

    /// Adds a listener for one more instance; gives its address, or nothing.
    std::string addInstance();
    standin_objects &objects();
    store_faults &faults();
    /// Answers the watches that have something to tell.
    void notifyWatches();
    /// Ends all watches without an answer.
    void disconnectWatches();

private:
    struct pending_watch {
        std::size_t instance;
        std::string kind;
        std::uint64_t since;
        standin_http::responder respond;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void handle(std::size_t instance, const standin_request &request, const standin_http::responder &respond);
    bool isUnavailable(std::size_t instance) const;
    bool respondWithFault(std::size_t instance, const standin_http::responder &respond) const;
    void read(std::size_t instance, const standin_request &request, const standin_http::responder &respond);
    void watch(std::size_t instance, const standin_request &request, const std::string &kind, const standin_http::responder &respond);
    standin_answer write(const standin_request &request);
    standin_answer order(const standin_request &request);
    Json::Value toJson(
        std::size_t instance, const std::string &kind, const std::string &name, std::uint64_t revision, const Json::Value &spec) const;
    bool answerWatch(pending_watch &pending, bool timedOut);

    asio::io_context &m_context;
    handlers m_handlers;
    std::mt19937_64 m_random;
    standin_objects m_objects;
    store_faults m_faults;
    std::vector<std::unique_ptr<standin_http>> m_listeners;
    std::list<pending_watch> m_watches;
    /// Highest fence seen, by group.
    std::map<std::string, std::uint64_t> m_fences;
};

} // namespace mustardrouter
