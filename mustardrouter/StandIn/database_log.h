#pragma once

#include "mustardrouter/Core/ids.h"
#include "mustardrouter/Core/log_entry.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace mustardrouter
{

/// One committed transaction in the log of a database stand-in, or the empty barrier entry of a promotion.
struct database_log_record {
    log_entry entry;
    std::vector<std::string> statements;
    request_key key;
};

/// Log of a database stand-in; positions are consecutive from 1.
struct database_log {
    std::vector<database_log_record> records;
    std::unordered_map<request_key, log_position> keys;
};

/// The last entry; term and position zero if the log is empty.
log_entry lastEntry(const database_log &log);

/// Appends a record; its position must be the successor of the last one.
void appendRecord(database_log &log, database_log_record record);

/// Removes all records above a position.
void truncateAbove(database_log &log, log_position position);

/// The last entry of each term in the log, oldest first.
std::vector<log_entry> termEnds(const database_log &log);

/// The highest position up to which this log agrees with the log that has the given term ends.
log_position commonPrefix(const database_log &log, const std::vector<log_entry> &otherEnds);

} // namespace mustardrouter
