#pragma once

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardrouter
{

/// An object of the stand-in store.
struct standin_object {
    std::uint64_t revision = 0;
    Json::Value spec;
};

/// A change that watches report.
struct standin_change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    Json::Value spec;
    bool removed = false;
};

/// Result of a write.
enum class write_result : std::uint8_t { done, conflict, notFound };

/// Objects of the platform's store with their revisions and history, without I/O.
class standin_objects
{
public:
    using objects_by_name = std::map<std::string, standin_object>;

    std::uint64_t revision() const;
    const objects_by_name &ofKind(const std::string &kind) const;
    std::optional<standin_object> find(const std::string &kind, const std::string &name) const;

    /// Creates an object; conflict if it exists.
    write_result create(const std::string &kind, const std::string &name, const Json::Value &spec);
    /// Replaces the content if the object has the revision `expected`; 0 sets no condition. Writing equal content makes no
    /// new revision.
    write_result replace(const std::string &kind, const std::string &name, const Json::Value &spec, std::uint64_t expected);
    /// Creates or replaces.
    void put(const std::string &kind, const std::string &name, const Json::Value &spec);
    void remove(const std::string &kind, const std::string &name);

    /// Changes of a kind after a revision; nothing if the history no longer reaches back to it, or not yet.
    std::optional<std::vector<standin_change>> changesSince(const std::string &kind, std::uint64_t since) const;
    void dropHistory();

private:
    void recordChange(const std::string &kind, const std::string &name, const Json::Value &spec, bool removed);

    std::uint64_t m_revision = 10;
    std::uint64_t m_historyFrom = 10;
    std::map<std::string, objects_by_name> m_objects;
    std::deque<standin_change> m_history;
};

} // namespace mustardrouter
