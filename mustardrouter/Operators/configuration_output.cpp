#include "mustardrouter/Operators/configuration_output.h"

#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace mustardrouter
{

namespace
{

constexpr std::size_t lineWidth = 80;

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

std::string jsonOf(const configuration_object &object)
{
    return writeJson(toSchema(object), true);
}

std::map<object_reference, configuration_object> objectsOf(const configuration_snapshot &snapshot)
{
    std::map<object_reference, configuration_object> objects;
    for (const configuration_object &object : differenceOf({}, snapshot).changed) {
        objects.emplace(referenceOf(object), object);
    }
    return objects;
}

/// Prints the lines that are not in `others`, each after `sign`.
void printMissing(char sign, const std::vector<std::string> &lines, const std::vector<std::string> &others)
{
    for (const std::string &line : lines) {
        if (std::ranges::find(others, line) == others.end()) {
            std::cout << "  " << sign << ' ' << line << '\n';
        }
    }
}

std::string utcTimeText(std::uint64_t unixMs)
{
    constexpr std::uint64_t msPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(unixMs / msPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%F %T");
    return text.str();
}

std::string truncateEnd(std::string text, std::size_t width)
{
    if (text.size() > width) {
        text.resize(width - 3);
        text += "...";
    }
    return text;
}

std::string changedObjectsText(const objects::configuration_revision &revision)
{
    const change_set changes = handleErrors(
        [&] {
            return fromSchema(revision);
        },
        [](const error &) {
            return change_set{};
        });
    std::string text;
    for (const object_reference &object : affectedObjects(changes)) {
        text += (text.empty() ? "" : " ") + toString(object);
    }
    return text;
}

void printConflicts(const publication_result &result)
{
    for (const publication_conflict &conflict : result.conflicts) {
        std::cerr << toString(conflict.object) << ": also changed in revision " << conflict.revision.value() << " by " << conflict.author
                  << '\n';
    }
}

} // namespace

void printProblems(const std::vector<configuration_problem> &problems)
{
    for (const configuration_problem &problem : problems) {
        std::cerr << problem.object << ": " << problem.field << ": " << toString(problem.kind) << ": " << problem.detail << '\n';
    }
}

void printDifference(const configuration_snapshot &from, const configuration_snapshot &to)
{
    const auto before = objectsOf(from);
    const auto after = objectsOf(to);
    for (const object_reference &name : affectedObjects(differenceOf(from, to))) {
        const auto old = before.find(name);
        const auto updated = after.find(name);
        const std::vector<std::string> oldLines = old == before.end() ? std::vector<std::string>() : linesOf(jsonOf(old->second));
        const std::vector<std::string> updatedLines =
            updated == after.end() ? std::vector<std::string>() : linesOf(jsonOf(updated->second));
        const char *verb = old == before.end() ? "add" : (updated == after.end() ? "remove" : "change");
        std::cout << verb << ' ' << toString(name) << '\n';
        printMissing('-', oldLines, updatedLines);
        printMissing('+', updatedLines, oldLines);
    }
}

void printSnapshot(const configuration_snapshot &snapshot)
{
    objects::configuration_revision shown;
    toSchema(differenceOf({}, snapshot), shown);
    shown.set_revision(snapshot.revision.value());
    std::cout << writeJson(shown, true) << '\n';
}

bool printObject(const configuration_snapshot &snapshot, const std::string &name)
{
    for (const auto &[reference, object] : objectsOf(snapshot)) {
        if (toString(reference) == name) {
            std::cout << jsonOf(object) << '\n';
            return true;
        }
    }
    return false;
}

void printHistory(const std::vector<objects::configuration_revision> &revisions)
{
    constexpr int revisionWidth = 8;
    constexpr int timeWidth = 21;
    constexpr int authorWidth = 14;
    std::cout << std::left << std::setw(revisionWidth) << "REVISION"
              << "  " << std::setw(timeWidth) << "TIME (UTC)" << std::setw(authorWidth) << "AUTHOR"
              << "CHANGED\n";
    constexpr std::size_t changedWidth = lineWidth - revisionWidth - 2 - timeWidth - authorWidth;
    for (const objects::configuration_revision &revision : revisions) {
        std::cout << std::left << std::setw(revisionWidth) << revision.revision() << "  " << std::setw(timeWidth)
                  << utcTimeText(revision.unix_ms()) << std::setw(authorWidth) << truncateEnd(revision.author(), authorWidth - 1)
                  << truncateEnd(changedObjectsText(revision), changedWidth) << '\n';
    }
}

exit_code reportPublication(const publication_result &result)
{
    if (result.kind == outcome::done) {
        std::cout << "published revision " << result.revision.value() << '\n';
        return exit_code::success;
    }
    printProblems(result.problems);
    printConflicts(result);
    std::cerr << toString(result.cause) << ": "
              << (result.kind == outcome::unknown ? "the outcome of the publication is unknown; check with `history`"
                                                  : "nothing was published")
              << '\n';
    return result.cause == failure::invalidConfiguration ? exit_code::invalidInput : exit_code::failed;
}

} // namespace mustardrouter
