#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_state.h"
#include "mustardrouter/Proxy/primary_verification.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <map>

namespace mustardrouter
{

/// With synchronous replicas, a commit that was acknowledged to a client is in the log of each database that is promoted later. No clock is
/// part of that; it follows from three conditions:
///
/// 1. *Claim before order.* A promotion is ordered only under a claim in the store that names the successor. A claim is written on the
///    condition that the one before is still the latest, and carries on the successors whose promotions may still be carried out.
/// 2. *Acknowledge.* After the database's reply, the commit is known to be in the logs of as many listed replicas as are synchronous, and
///    either in the log of every listed database, or in that of every database that the claim names. The claim was then read after the
///    reply, and its writer knew of no newer term. A database that the claim does not name can be promoted only under a later claim.
/// 3. *Order.* After its claim was written, the claimant has read the end of the log of each database that may hold commits, and the
///    successor's log reaches as far as the furthest of them. A primary within reach has stepped down first, so that its commits end before
///    the logs are read; one out of reach commits nothing that condition 2 lets pass.
///
/// An order that was given therefore does no harm whenever it is carried out and whatever became of its cause: databases that join, return
/// or receive again add replicas that hold a commit, but acknowledging it takes the log of the one that is named. Left out is a successor
/// that joined so recently that an instance neither lists it nor sees any sign of the change, while the primary is out of the claimant's
/// reach.

/// Inputs of the decision whether a commit may be acknowledged.
struct commit_view {
    const std::map<database_name, database_state> *databases = nullptr;
    const primary_verification *verification = nullptr;
    std::uint32_t syncReplicas = 0;
    /// A change of the primary is expected, or a database is missing: the successor may be one that is not listed here.
    bool primaryMayChange = false;
};

/// Whether the end of the database's log, as last reported, shows that it holds the entry.
bool hasEntry(const database_state &database, const log_entry &entry);

/// Whether the commit at `entry`, to which `primary` replied at `repliedAt`, is in the log of each database that may be promoted before the
/// next claim.
bool isCommitKept(const commit_view &view, const database_name &primary, const log_entry &entry, time_point repliedAt);

/// Whether the commit at `entry`, to which `primary` replied at `repliedAt`, was made before any database led that is not listed here.
/// Where replaced primaries go on, replicas follow the newest primary, so that one that has the commit shows it; otherwise the store's
/// claim does, if it names only listed databases. Those are to be asked themselves.
bool isBeforeUnlistedPrimary(const commit_view &view, const database_name &primary, const log_entry &entry, time_point repliedAt);

/// Whether a listed database has not shown that it holds the entry.
bool isMissingSomewhere(const commit_view &view, const database_name &primary, const log_entry &entry);

} // namespace mustardrouter
