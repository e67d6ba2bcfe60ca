#pragma once

#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Routing/entry_action.h"
#include "mustardrouter/Routing/entry_event.h"
#include "mustardrouter/Routing/retry_budget.h"
#include "mustardrouter/Sessions/session_token.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace mustardrouter
{

/// Limits and timeouts of an entry.
struct entry_settings {
    std::size_t maxInFlight = 65536;
    /// Base of the pause before a request is sent again; doubles with each attempt.
    duration retryBackoff = std::chrono::milliseconds(10);
    duration maxRetryBackoff = std::chrono::milliseconds(160);
    /// Least interval between two queries to the platform for the owner of a group.
    duration ownerQueryInterval = std::chrono::milliseconds(200);
    /// Time without an answer from an owner after which the entry suspects it, tries the next holder, and asks the
    /// platform for the owner.
    duration ownerResponseTimeout = std::chrono::milliseconds(400);
    /// How long the entry remembers a begin that its caller no longer waits for, after its deadline or the disconnect,
    /// whichever is later.
    duration orphanedBeginTtl = std::chrono::seconds(10);
};

/// A request that has not been answered to its caller.
struct entry_request {
    caller_id caller;
    std::uint64_t callerRequest = 0;
    group_name group;
    statement what;
    session_floors_by_group floors;
    time_point arrivedAt{};
    time_point retryAt{};
    instance_name sentTo;
    bool sent = false;
    time_point sentAt{};
    /// The entry has already suspected the owner because of this request.
    bool ownerSuspected = false;
    /// Transaction number given to the caller; the statement carries the owner's.
    transaction_id transaction;
    std::uint32_t attempts = 0;
};

/// Instances that may own a group; `current` is the index of the one believed to own it.
struct owner_candidates {
    std::vector<instance_name> holders;
    std::size_t current = 0;
    time_point requestedAt{};
};

/// An open transaction of a caller.
struct entry_transaction {
    caller_id caller;
    instance_name owner;
    group_name group;
    session_name session;
    /// Transaction number given by the owner.
    transaction_id ownerTransaction;
};

/// Begin of a transaction whose caller disconnected, or whose deadline passed, before the answer arrived.
struct orphaned_begin {
    instance_name owner;
    group_name group;
    session_name session;
    time_point forgetAt{};
};

/// State of an entry: the requests in flight, the open transactions, and the believed owner of each group, which an
/// answer may correct.
struct entry_router {
    entry_router(std::string tokenKey, entry_settings settings);

    std::string tokenKey;
    entry_settings settings;
    std::shared_ptr<const configuration_snapshot> configuration;
    std::map<group_name, owner_candidates> owners;
    /// When each owner last answered a request.
    std::map<instance_name, time_point> lastReplyAt;
    std::map<service_name, retry_budget> budgets;
    std::unordered_map<request_id, entry_request> inFlight;
    /// Keyed by the transaction number given to the caller.
    std::unordered_map<transaction_id, entry_transaction> transactions;
    std::unordered_map<request_id, orphaned_begin> orphanedBegins;
    std::uint64_t nextRequest = 1;
    std::uint64_t nextTransaction = 1;
};

/// Handles one event and appends the actions to execute.
void step(entry_router &router, const entry_event &event, time_point now, entry_actions &actions);

/// Group of a service to which a partition is assigned.
group_name groupFor(const service &service, const std::string &partition);

} // namespace mustardrouter
