#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/client_reply.h"
#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/promotion_claim.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mustardrouter
{

/// A database's reply that its client receives once no other database can have been primary since an instant.
struct held_reply {
    session_id session{};
    std::string statementId{};
    /// Database that ran the statement.
    database_name database{};
    /// Earliest request time of the evidence. For a write this is the receipt of its reply, which is later than the commit;
    /// for a read, its arrival or that of its transaction.
    time_point since{};
    time_point heldAt{};
    client_reply reply{};
    /// A write or the commit of one; otherwise a read, which may be repeated.
    bool writes = false;
};

/// A position of a primary that is not yet verified to have been the only primary when it was requested.
struct unverified_position {
    database_name database{};
    time_point requestedAt{};
    log_entry entry{};
};

/// What waits for evidence that a database was a group's only primary, and the evidence from the store.
///
/// Needed where a replaced primary continues to accept writes until it learns of its replacement, so that its own replies
/// prove nothing. The evidence that no newer primary exists comes from the databases that could be one: each refuses a plain
/// BEGIN unless it is primary, without occupying a slot. For a database that can't be reached, the latest claim in the
/// store takes the place of its refusal: no promotion is ordered without a claim that names the successor.
struct primary_verification {
    std::deque<held_reply> held;
    std::deque<unverified_position> positions;
    /// The latest claim that was read as evidence, when it was requested, and whether a request is outstanding.
    promotion_claim claim;
    /// A claim counts as evidence on a database only if that was seen not to be primary after this time: claims of the store's
    /// earlier eras are lost, and orders under them have been carried out by then.
    time_point claimsCompleteFrom{};
    time_point claimRequestedAt{};
    time_point claimAskedAt{};
    bool claimOutstanding = false;
    /// Since when evidence is missing for something that waits; the epoch while none is missing.
    time_point missingSince{};
    /// Due time of the scheduled check of what is held; the epoch when there is none.
    time_point checkAt{};
};

/// Inputs of the decision whether a database was the only primary.
struct verification_view {
    const std::map<database_name, database_state> *databases = nullptr;
    const primary_verification *verification = nullptr;
};

/// Latest instant at which no database other than `database` was primary, as far as the evidence shows; the epoch without
/// evidence.
time_point onlyPrimaryUntil(const verification_view &view, const database_name &database);

/// Whether evidence on the database has to come from the store, because the database is missing or does not reply.
bool needsClaimEvidence(const database_state &database);

} // namespace mustardrouter
