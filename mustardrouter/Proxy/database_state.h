#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_listing.h"
#include "mustardrouter/Proxy/database_status.h"
#include "mustardrouter/Proxy/other_route.h"
#include "mustardrouter/Proxy/proxy_ids.h"
#include "mustardrouter/Workspaces/connection_share.h"

#include <optional>
#include <vector>

namespace mustardrouter
{

/// What an instance knows about one database.
struct database_state {
    listed_database listed;
    /// Since when it is missing from the platform's list; the epoch while it is listed.
    time_point unlistedSince{};
    /// How long it stays usable then.
    time_point unlistedUntil{};
    std::vector<database_connection_id> connections;
    /// Workspaces that wait for their first connection.
    std::vector<connection_claim> claims;
    /// Statements of this instance that it is running.
    std::uint32_t inFlight = 0;
    /// Since when it is suspected to be unresponsive; the epoch while it is trusted.
    time_point suspectedSince{};
    time_point lastReplyAt{};
    time_point openNotBefore{};
    time_point probedAt{};
    /// Latest request time of a command whose reply shows that it was not the newest primary, and when the last plain BEGIN that
    /// asks for this was sent.
    time_point notPrimaryAt{};
    time_point roleAskedAt{};
    /// For a holder: when it last told that it watches the group's databases; the epoch if it told that it does not.
    time_point watchReportedAt{};
    /// For a holder: until when it is assumed not to reach the primary.
    time_point lacksPrimaryUntil{};
    /// For a holder: the last route that it was found to lead elsewhere.
    other_route otherRoute;
    /// When this instance last paused its replication, until a status shows that it is not paused; the epoch otherwise. And when this
    /// instance last asked it to resume.
    time_point pausedAt{};
    time_point resumedAt{};
    /// When it was seen to have started again under its name, without the log of before.
    time_point startedAgainAt{};
    /// End of its log as last reported in any reply, and when that reply was requested.
    std::optional<log_entry> logEnd;
    time_point logEndAt{};
    /// Its last status, when that was requested, and when its log was last seen to grow.
    std::optional<database_status> status;
    time_point statusAt{};
    time_point logGrewAt{};
    /// Connections of all instances as it last reported, and when.
    std::uint32_t connectionsInUse = 0;
    time_point connectionsReportedAt{};
    /// When it last refused work for lack of capacity; the last moment at which it was known not to leave, once it does.
    time_point overloadedAt{};
    time_point leavingSince{};
    /// Smoothed duration of a read from this instance, including the wait at the database, in microseconds,
    /// and when it was last updated.
    double readMicros = 0;
    time_point readMicrosAt{};
    /// Log entry that it lacked, until when that is assumed to hold, and how often in a row reads were refused for it.
    log_entry missingEntry;
    time_point missingEntryUntil{};
    std::uint32_t consecutiveLagRefusals = 0;
    /// Share of the reads that it has capacity for, and when that was last updated.
    double admissibleShare = 1;
    time_point admissibleShareAt{};
};

} // namespace mustardrouter
