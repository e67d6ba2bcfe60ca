#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"
#include "mustardrouter/Proxy/database_listing.h"
#include "mustardrouter/Proxy/database_status.h"
#include "mustardrouter/Proxy/proxy_ids.h"

#include <optional>
#include <vector>

namespace mustardrouter
{

/// What an instance knows of one database.
struct database_state {
    listed_database listed;
    /// When it was first missing from the platform's list; the epoch while it is listed.
    time_point unlistedSince{};
    std::vector<database_connection_id> connections;
    /// Statements of this instance that it works on.
    std::uint32_t inFlight = 0;
    /// Since when it owes a sign of life; the epoch while it is trusted.
    time_point suspectedSince{};
    time_point lastReplyAt{};
    time_point openNotBefore{};
    time_point probedAt{};
    /// Its last status, when it was asked for, and when its log was last seen to grow.
    std::optional<database_status> status;
    time_point statusAt{};
    time_point logGrewAt{};
    /// Connections of all instances, as it said last, and when.
    std::uint32_t connectionsInUse = 0;
    time_point connectionsReportedAt{};
    /// When it last refused work for want of room; since when it leaves.
    time_point overloadedAt{};
    time_point leavingSince{};
    /// Smoothed time of a read from here, waiting at the database included, in microseconds, and
    /// when it was last seen.
    double readMicros = 0;
    time_point readMicrosAt{};
    /// A position that its log lacked, until when that is taken for true, and how often in a row.
    log_entry missingEntry;
    time_point missingEntryUntil{};
    std::uint32_t consecutiveLagRefusals = 0;
    /// Share of the reads that it lets in while it is short of room, and when that was last changed.
    double admissibleShare = 1;
    time_point admissibleShareAt{};
};

} // namespace mustardrouter
