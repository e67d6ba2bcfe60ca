#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Ownership/database_report.h"
#include "mustardrouter/Ownership/ownership_record.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Periodic tick that drives timeouts and intervals.
struct clock_ticked {
};

/// The set of live instances or their ranking for the group changed.
struct owner_candidates_changed {
    /// The first live instances in their order of preference for the group, with the address of each.
    std::vector<term_range> ranking;
    /// All live instances, shared by the groups; nothing when `ranking` names them all.
    std::shared_ptr<const std::set<instance_name>> liveInstances = nullptr;
};

/// The platform answered a read; a record without ranges means that none is stored for the group.
struct record_read {
    ownership_record record;
};

/// The platform stored the record under a new version.
struct record_written {
    ownership_record record;
};

/// The platform refused a write because the stored version differs.
struct record_conflict {
};

/// A request to the platform failed or was not answered; a write may or may not have taken effect.
struct record_request_failed {
};

/// A heartbeat from an instance that considers itself the owner of the group.
struct heartbeat_received {
    instance_name from;
    term_number term;
    std::uint64_t recordVersion;
    bool resigning;
};

/// A database reported its state.
struct database_reported {
    database_name database;
    database_report report;
};

/// A database answered a statement in the current term.
struct database_answered {
    database_name database;
};

/// The control connection to a database was lost or could not be opened.
struct database_unreachable {
    database_name database;
};

/// A database refused a statement of this instance because it knows the higher term `term`.
struct term_refused {
    term_number term;
};

/// An operator or a leaving database requests another primary.
struct primary_change_requested {
    std::optional<database_name> to;
};

/// An operator accepts the loss of writes that only the named databases hold. They must include every
/// database that has not answered the fence.
struct promotion_forced {
    std::vector<database_name> excludedFromQuorum;
};

/// The instance is shutting down and hands over the group.
struct resignation_requested {
};

/// An event that advances the ownership of a group.
using ownership_event = std::variant<clock_ticked,
                                     owner_candidates_changed,
                                     record_read,
                                     record_written,
                                     record_conflict,
                                     record_request_failed,
                                     heartbeat_received,
                                     database_reported,
                                     database_answered,
                                     database_unreachable,
                                     term_refused,
                                     primary_change_requested,
                                     promotion_forced,
                                     resignation_requested>;

} // namespace mustardrouter
