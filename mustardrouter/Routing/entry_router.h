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

/// Bounds of an entry.
struct entry_settings {
    std::size_t maxInFlight = 65536;
    /// First pause before a request is sent again; doubles with each attempt.
    duration retryBackoff = std::chrono::milliseconds(10);
    duration maxRetryBackoff = std::chrono::milliseconds(160);
    /// Pause between two questions to the platform about one group.
    duration ownerQueryInterval = std::chrono::milliseconds(200);
    /// Silence of an owner after which the entry asks who owns the group now.
    duration ownerResponseTimeout = std::chrono::milliseconds(400);
    /// For which the entry remembers a transaction's begin that its caller no longer waits for.
    duration orphanedBeginTtl = std::chrono::seconds(10);
};

/// A request between its caller and its owner.
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
    /// The entry has doubted the owner on account of this request already.
    bool ownerSuspected = false;
    /// The caller's number of its transaction; the statement carries the owner's.
    transaction_id transaction;
    std::uint32_t attempts = 0;
};

/// Where a group's owner is believed to be.
struct owner_candidates {
    std::vector<instance_name> holders;
    std::size_t current = 0;
    time_point requestedAt{};
};

/// A transaction that a caller has open.
struct entry_transaction {
    caller_id caller;
    instance_name owner;
    group_name group;
    session_name session;
    /// The owner's own number of the transaction.
    transaction_id ownerTransaction;
};

/// The begin of a transaction whose caller went away before the answer came.
struct orphaned_begin {
    instance_name owner;
    group_name group;
    session_name session;
    time_point forgetAt{};
};

/// State of an entry: what is in flight, and guesses that any answer may correct.
struct entry_router {
    entry_router(std::string tokenKey, entry_settings settings);

    std::string tokenKey;
    entry_settings settings;
    std::shared_ptr<const configuration_snapshot> configuration;
    std::map<group_name, owner_candidates> owners;
    /// When each owner last answered anything.
    std::map<instance_name, time_point> lastReplyAt;
    std::map<service_name, retry_budget> budgets;
    std::unordered_map<request_id, entry_request> inFlight;
    /// By the number that the caller was given.
    std::unordered_map<transaction_id, entry_transaction> transactions;
    std::unordered_map<request_id, orphaned_begin> orphanedBegins;
    std::uint64_t nextRequest = 1;
    std::uint64_t nextTransaction = 1;
};

/// Advances the entry by one event and appends what is to be done.
void step(entry_router &router, const entry_event &event, time_point now, entry_actions &actions);

/// The group of a service that holds a partition.
group_name groupFor(const service &service, const std::string &partition);

} // namespace mustardrouter
