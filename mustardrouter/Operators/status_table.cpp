#include "mustardrouter/Operators/status_table.h"

#include <iomanip>
#include <string>
#include <vector>

namespace mustardrouter
{

namespace
{

/// A table column; the width includes the separating space.
struct column {
    const char *title;
    std::size_t width;
};

const std::vector<column> groupColumns{{"GROUP", 18}, {"ROLE", 9}, {"TERM", 6}, {"PRIMARY OR OWNER", 30}, {"WAITING", 8}};
const std::vector<column> databaseColumns{{"  DATABASE", 31}, {"TERM", 6}, {"RECEIVED", 10}, {"APPLIED", 10}, {"CONNECTIONS", 12}};
const std::vector<column> instanceColumns{{"INSTANCE", 34}, {"ADDRESS", 22}, {"PLACE", 14}, {"STATE", 8}};

/// Truncates text that does not fit at its start, because names mostly differ at their end, and marks the cut with '~'.
std::string truncateStart(const std::string &text, std::size_t width)
{
    const std::size_t maxLength = width - 1;
    return text.size() <= maxLength ? text : "~" + text.substr(text.size() - maxLength + 1);
}

void printRow(const std::vector<column> &columns, const std::vector<std::string> &cells, std::ostream &out)
{
    for (std::size_t index = 0; index < columns.size(); ++index) {
        const bool last = index + 1 == columns.size();
        const std::string cell = truncateStart(cells[index], columns[index].width);
        out << (last ? cell : cell + std::string(columns[index].width - cell.size(), ' '));
    }
    out << '\n';
}

void printTitles(const std::vector<column> &columns, std::ostream &out)
{
    for (std::size_t index = 0; index < columns.size(); ++index) {
        const std::string title = columns[index].title;
        const bool last = index + 1 == columns.size();
        out << title << std::string(last ? 0 : columns[index].width - title.size(), ' ');
    }
    out << '\n';
}

void printGroup(const std::string &name, const Json::Value &item, std::ostream &out)
{
    const bool owns = item["role"].asString() == "owner";
    const std::string primaryText = item["primary"].asString() + (item["serving"].asBool() ? "" : " NOT SERVED");
    printRow(
        groupColumns,
        {name, item["role"].asString(), item["term"].asString(), owns ? primaryText : item["owner"].asString(), item["waiting"].asString()},
        out);
    for (const Json::Value &database : item["databases"]) {
        printRow(databaseColumns,
                 {"  " + database["name"].asString(),
                  database["term"].asString(),
                  database["received"].asString(),
                  database["applied"].asString(),
                  database["connections"].asString()},
                 out);
    }
}

} // namespace

void printStatusTable(const Json::Value &status, std::ostream &out)
{
    out << "instance " << status["instance"].asString() << ", revision " << status["revision"].asString()
        << (status["relay"].asBool() ? ", relay" : "") << (status["draining"].asBool() ? ", draining" : "") << "\n\n";
    printTitles(groupColumns, out);
    printTitles(databaseColumns, out);
    for (const std::string &group : status["groups"].getMemberNames()) {
        printGroup(group, status["groups"][group], out);
    }
    out << '\n';
    printTitles(instanceColumns, out);
    for (const std::string &name : status["instances"].getMemberNames()) {
        const Json::Value &item = status["instances"][name];
        printRow(instanceColumns,
                 {name, item["address"].asString(), item["place"].asString(), item["leaving"].asBool() ? "leaving" : "live"},
                 out);
    }
    for (const std::string &group : status["groups"].getMemberNames()) {
        for (const Json::Value &note : status["groups"][group]["degraded"]) {
            out << "\n! " << group << ": " << note["what"].asString() << "\n  " << note["advice"].asString() << '\n';
        }
    }
}

} // namespace mustardrouter
