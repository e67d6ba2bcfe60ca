#include "mustardrouter/Operators/log_timeline.h"

#include "mustardrouter/Runtime/json_object.h"

#include <algorithm>
#include <iomanip>
#include <istream>
#include <memory>
#include <set>
#include <sstream>

namespace mustardrouter
{

namespace
{

/// How long before a request's first line context lines are included, in milliseconds: a failover takes about 3 s.
constexpr std::int64_t contextMs = 5000;
constexpr std::int64_t millisPerSecond = 1000;

bool parseLine(const std::string &text, log_line &line)
{
    const std::size_t begin = text.find('{');
    const std::optional<Json::Value> parsed =
        begin == std::string::npos ? std::nullopt : parseJsonObject(std::string_view(text).substr(begin));
    if (!parsed) {
        return false;
    }
    const Json::Value &value = *parsed;
    if (!value["at"].isInt64() || !value["event"].isString() || !value["instance"].isString()) {
        return false;
    }
    line.at = value["at"].asInt64();
    line.instance = value["instance"].asString();
    line.event = value["event"].asString();
    for (const std::string &name : value.getMemberNames()) {
        if (name != "at" && name != "event" && name != "instance") {
            line.fields[name] = value[name].isConvertibleTo(Json::stringValue) ? value[name].asString() : std::string("?");
        }
    }
    return true;
}

bool mentions(const log_line &line, const std::string &value)
{
    return std::ranges::any_of(line.fields, [&](const auto &field) {
        return field.second == value;
    });
}

std::string fieldOf(const log_line &line, const char *name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

/// Whether the event concerns the whole instance, not a particular group.
bool concernsInstance(const log_line &line)
{
    static const std::set<std::string> events{"start",
                                              "stop",
                                              "stopping",
                                              "reload",
                                              "reload_failed",
                                              "store_lost",
                                              "store_regained",
                                              "store_history_lost",
                                              "store_listed_again",
                                              "store_era_missing",
                                              "configuration_adopted"};
    return events.contains(line.event);
}

/// Whether the line belongs to the statement with this ID or to a statement in the transaction that it began.
bool belongsToRequest(const log_line &line, const std::string &request)
{
    return fieldOf(line, "request") == request || fieldOf(line, "transaction") == request;
}

/// Why a statement was refused or left in doubt; empty for lines that don't say so.
std::string causeOf(const log_line &line)
{
    if (line.event == "statement_refused") {
        return fieldOf(line, "why");
    }
    if (line.event == "statement_in_doubt") {
        return "in doubt: " + fieldOf(line, "why");
    }
    return line.event == "key_withdrawn" ? "the key was withdrawn" : "";
}

bool isDecision(const log_line &line)
{
    return line.fields.contains("request");
}

} // namespace

std::vector<log_line> readLog(std::istream &in, std::size_t &skipped)
{
    std::vector<log_line> lines;
    for (std::string text; std::getline(in, text);) {
        log_line line;
        if (parseLine(text, line)) {
            lines.push_back(std::move(line));
        } else {
            skipped += text.empty() ? 0 : 1;
        }
    }
    return lines;
}

void sortByTime(std::vector<log_line> &lines)
{
    std::ranges::stable_sort(lines, {}, &log_line::at);
}

std::vector<log_line> timelineOf(const std::vector<log_line> &sorted, const std::string &subject)
{
    std::vector<log_line> subjectLines;
    std::ranges::copy_if(sorted, std::back_inserter(subjectLines), [&](const log_line &line) {
        return mentions(line, subject) || line.instance == subject;
    });
    const bool isRequest = !subjectLines.empty() && std::ranges::all_of(subjectLines, [&](const log_line &line) {
        return belongsToRequest(line, subject);
    });
    if (!isRequest) {
        return subjectLines;
    }
    std::set<std::string> instances;
    std::set<std::string> relatedNames;
    std::int64_t from = subjectLines.front().at;
    for (const log_line &line : subjectLines) {
        instances.insert(line.instance);
        for (const char *name : {"group", "from", "lead", "database", "workspace", "key"}) {
            relatedNames.insert(fieldOf(line, name));
        }
        // The statement arrived before its first line was logged, by the time it had waited.
        const std::string waited = fieldOf(line, "waited_ms") + fieldOf(line, "after_ms");
        from = std::min(from, line.at - static_cast<std::int64_t>(std::atoll(waited.c_str())));
    }
    relatedNames.erase("");
    relatedNames.erase("none");
    relatedNames.erase("-");
    const std::int64_t to = subjectLines.back().at;
    std::vector<log_line> timeline;
    for (const log_line &line : sorted) {
        const bool isAboutSubject = belongsToRequest(line, subject);
        const bool inTime = line.at >= from - contextMs && line.at <= to;
        const bool isContext = inTime && !isDecision(line) && instances.contains(line.instance)
                               && (concernsInstance(line) || std::ranges::any_of(relatedNames, [&](const std::string &name) {
                                       return mentions(line, name);
                                   }));
        if (isAboutSubject || isContext) {
            timeline.push_back(line);
        }
    }
    return timeline;
}

std::string toText(const std::vector<log_line> &timeline)
{
    std::ostringstream text;
    for (const log_line &line : timeline) {
        const std::int64_t after = line.at - timeline.front().at;
        text << std::setw(8) << after << " ms  " << line.instance << "  " << line.event;
        for (const auto &[name, value] : line.fields) {
            text << "  " << name << '=' << value;
        }
        text << '\n';
    }
    return text.str();
}

std::string refusalTable(const std::vector<log_line> &sorted)
{
    std::map<std::int64_t, std::map<std::string, std::uint64_t>> bySecond;
    std::map<std::string, std::uint64_t> totals;
    for (const log_line &line : sorted) {
        const std::string cause = causeOf(line);
        if (cause.empty()) {
            continue;
        }
        const std::int64_t second = (line.at - sorted.front().at) / millisPerSecond;
        bySecond[second][cause] += 1;
        totals[cause] += 1;
    }
    std::ostringstream text;
    if (totals.empty()) {
        return "no statement was refused or left in doubt\n";
    }
    text << "by second since the first log line, and cause:\n";
    for (const auto &[second, causes] : bySecond) {
        text << std::setw(6) << second << " s ";
        for (const auto &[cause, count] : causes) {
            text << "  " << count << " x " << cause << ';';
        }
        text << '\n';
    }
    text << "total:\n";
    for (const auto &[cause, count] : totals) {
        text << std::setw(8) << count << "  " << cause << '\n';
    }
    return text.str();
}

} // namespace mustardrouter
