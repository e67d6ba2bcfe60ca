#pragma once

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
    time_point missingSince{};
    std::vector<link_id> links;
    /// Since when it owes a sign of life; the epoch while it is trusted.
    time_point suspectedAt{};
    time_point answeredAt{};
    time_point openAfter{};
    time_point fullUntil{};
    time_point probedAt{};
    /// Its last status, when it was asked for, and when its log was last seen to grow.
    std::optional<database_status> status;
    time_point statusAt{};
    time_point grewAt{};
    /// Smoothed time of a read from here, waiting at the database included, in microseconds.
    double readMicros = 0;
};

} // namespace mustardrouter
