#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One parsed line of an instance's event log.
struct log_line {
    /// Wall clock time in milliseconds.
    std::int64_t at = 0;
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields;
};

/// Parses the lines of a log. A prefix before the first brace of a line is ignored. Lines that are not event log lines are
/// left out; those that are not empty are counted in `skipped`.
std::vector<log_line> readLog(std::istream &in, std::size_t &skipped);

/// Sorts the lines of several instances by time; lines of equal time keep their order.
void sortByTime(std::vector<log_line> &lines);

/// Selects the lines about a request, database, group or instance, in order. For a request these are its own lines, and as
/// context the lines of its instances about the databases and the group involved, from shortly before its arrival to its end.
std::vector<log_line> timelineOf(const std::vector<log_line> &sorted, const std::string &subject);

/// Formats one line of text for each log line, with its time relative to the first.
std::string toText(const std::vector<log_line> &timeline);

/// Formats a table of the number of statements refused or left in doubt, by second and cause.
std::string refusalTable(const std::vector<log_line> &sorted);

} // namespace mustardrouter
