#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Ownership/ownership_record.h"

#include <string>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Asks the platform for the group's record.
struct read_record {
};

/// Asks the platform to store the record if its version is still `record.version`.
struct write_record {
    ownership_record record;
};

/// Orders a database to report.
struct order_report {
    database_name database;
    std::uint64_t round;
};

/// Replaces the control connection to a database that has fallen silent.
struct replace_control_connection {
    database_name database;
};

/// Orders a database to refuse lower terms.
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

/// Tells a deputy that the owner lives.
struct send_heartbeat {
    instance_name to;
    term_number term;
    std::uint64_t recordVersion;
    bool resigning;
};

/// Serving began in a new term; work of earlier terms is over.
struct term_started {
    term_number term;
    database_name primary;
    log_entry barrier;
};

/// Serving ended: the primary is being replaced or the ownership is lost.
struct term_ended {
    term_number term;
    bool ownershipLost;
};

/// Something that an operator may want to read.
struct ownership_log_message {
    std::string text;
};

/// What the ownership of a group asks its surroundings to do.
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

/// Actions in the order in which they must be carried out.
using ownership_actions = std::vector<ownership_action>;

} // namespace mustardrouter
