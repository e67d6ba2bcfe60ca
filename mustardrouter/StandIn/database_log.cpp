#include "mustardrouter/StandIn/database_log.h"

#include <algorithm>
#include <cassert>

namespace mustardrouter
{

log_entry lastEntry(const database_log &log)
{
    return log.records.empty() ? log_entry{} : log.records.back().entry;
}

void appendRecord(database_log &log, database_log_record record)
{
    assert(record.entry.position.value() == log.records.size() + 1);
    if (!record.key.value().empty()) {
        log.keys.emplace(record.key, record.entry.position);
    }
    log.records.push_back(std::move(record));
}

void truncateAbove(database_log &log, log_position position)
{
    while (log.records.size() > position.value()) {
        log.keys.erase(log.records.back().key);
        log.records.pop_back();
    }
}

std::vector<log_entry> termEnds(const database_log &log)
{
    std::vector<log_entry> ends;
    for (const database_log_record &record : log.records) {
        if (!ends.empty() && ends.back().term == record.entry.term) {
            ends.back() = record.entry;
            continue;
        }
        ends.push_back(record.entry);
    }
    return ends;
}

log_position commonPrefix(const database_log &log, const std::vector<log_entry> &otherEnds)
{
    const std::vector<log_entry> ownEnds = termEnds(log);
    log_position common;
    for (std::size_t index = 0; index < ownEnds.size() && index < otherEnds.size(); ++index) {
        if (ownEnds[index].term != otherEnds[index].term) {
            break;
        }
        common = std::min(ownEnds[index].position, otherEnds[index].position);
        if (ownEnds[index].position != otherEnds[index].position) {
            break;
        }
    }
    return common;
}

} // namespace mustardrouter
