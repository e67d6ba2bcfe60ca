#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Ownership/ownership_record.h"

#include <string>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Reads the group's record from the platform.
struct read_record {
};

/// Writes the record to the platform if the stored version is still `record.version`.
struct write_record {
    ownership_record record;
};

/// Orders a database to report its state.
struct order_report {
    database_name database;
    std::uint64_t round;
};

/// Replaces the control connection to an unresponsive database.
struct replace_control_connection {
    database_name database;
};

/// Orders a database to refuse terms lower than `term`.
struct order_fence {
    database_name database;
    term_number term;
};

/// Orders a database to become primary and append a barrier entry.
struct order_promote {
    database_name database;
    term_number term;
};

/// Orders a database to replicate from the primary.
struct order_follow {
    database_name database;
    term_number term;
    database_name primary;
};

/// Sends a heartbeat of the owner to a deputy.
struct send_heartbeat {
    instance_name to;
    term_number term;
    std::uint64_t recordVersion;
    bool resigning;
};

/// The group is served in a new term; work of earlier terms has ended.
struct term_started {
    term_number term;
    database_name primary;
    log_entry barrier;
};

/// The group is no longer served: the primary is being replaced or the ownership is lost.
struct term_ended {
    term_number term;
    bool ownershipLost;
};

/// A message for the instance's log.
struct ownership_log_message {
    std::string text;
};

/// An action that the ownership of a group asks its caller to perform.
using ownership_action = std::variant<read_record,
                                      write_record,
                                      order_report,
                                      replace_control_connection,
                                      order_fence,
                                      order_promote,
                                      order_follow,
                                      send_heartbeat,
                                      term_started,
                                      term_ended,
                                      ownership_log_message>;

/// Actions in the order in which they must be performed.
using ownership_actions = std::vector<ownership_action>;

} // namespace mustardrouter
