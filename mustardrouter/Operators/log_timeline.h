#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// One line of an instance's log.
struct log_line {
    /// Time of day in milliseconds.
    std::int64_t at = 0;
    std::string instance;
    std::string event;
    std::map<std::string, std::string> fields;
};

/// Reads the lines of a log; what stands before the first brace of a line is passed over, and so are lines that are not of
/// the log. `skipped` counts the latter.
std::vector<log_line> readLog(std::istream &in, std::size_t &skipped);

/// Lines in the order of their times, of several instances.
void sortByTime(std::vector<log_line> &lines);

/// What the logs say of a request, a database, a group or an instance, in order. For a request that is what was decided on it,
/// and what its instance came to believe of the databases and the group in question shortly before and meanwhile.
std::vector<log_line> timelineOf(const std::vector<log_line> &sorted, const std::string &subject);

/// One line of text for each, with times from the first on.
std::string toText(const std::vector<log_line> &timeline);

/// How many statements were refused or left in doubt, by second and cause, as a table.
std::string refusalTable(const std::vector<log_line> &sorted);

} // namespace mustardrouter
