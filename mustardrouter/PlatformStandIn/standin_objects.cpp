#include "mustardrouter/PlatformStandIn/standin_objects.h"

namespace mustardrouter
{

std::uint64_t standin_objects::revision() const
{
    return m_revision;
}

const standin_objects::objects_by_name &standin_objects::ofKind(const std::string &kind) const
{
    static const objects_by_name none;
    const auto found = m_objects.find(kind);
    return found == m_objects.end() ? none : found->second;
}

std::optional<standin_object> standin_objects::find(const std::string &kind, const std::string &name) const
{
    const objects_by_name &all = ofKind(kind);
    const auto found = all.find(name);
    return found == all.end() ? std::nullopt : std::optional(found->second);
}

write_result standin_objects::create(const std::string &kind, const std::string &name, const Json::Value &spec)
{
    if (find(kind, name)) {
        return write_result::conflict;
    }
    recordChange(kind, name, spec, false);
    m_objects[kind][name] = {m_revision, spec};
    return write_result::done;
}

write_result standin_objects::replace(const std::string &kind, const std::string &name, const Json::Value &spec, std::uint64_t expected)
{
    const std::optional<standin_object> present = find(kind, name);
    if (!present) {
        return write_result::notFound;
    }
    if (expected != 0 && expected != present->revision) {
        return write_result::conflict;
    }
    if (present->spec != spec) {
        recordChange(kind, name, spec, false);
        m_objects[kind][name] = {m_revision, spec};
    }
    return write_result::done;
}

void standin_objects::put(const std::string &kind, const std::string &name, const Json::Value &spec)
{
    if (replace(kind, name, spec, 0) == write_result::notFound) {
        create(kind, name, spec);
    }
}

void standin_objects::remove(const std::string &kind, const std::string &name)
{
    if (m_objects[kind].erase(name) > 0) {
        recordChange(kind, name, {}, true);
    }
}

std::optional<std::vector<standin_change>> standin_objects::changesSince(const std::string &kind, std::uint64_t since) const
{
    if (since < m_historyFrom || since > m_revision) {
        return std::nullopt;
    }
    std::vector<standin_change> changes;
    for (const standin_change &change : m_history) {
        if (change.kind == kind && change.revision > since) {
            changes.push_back(change);
        }
    }
    return changes;
}

void standin_objects::dropHistory()
{
    m_history.clear();
    m_historyFrom = m_revision;
}

void standin_objects::recordChange(const std::string &kind, const std::string &name, const Json::Value &spec, bool removed)
{
    m_revision += 1;
    m_history.push_back({m_revision, kind, name, spec, removed});
}

} // namespace mustardrouter
