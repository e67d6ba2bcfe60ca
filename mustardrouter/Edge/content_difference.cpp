#include "mustardrouter/Edge/content_difference.h"

namespace mustardrouter
{

namespace
{

/// How many elements are looked ahead for the place at which two arrays agree again.
constexpr Json::ArrayIndex resyncWindow = 16;

Json::Value replacement(const Json::Value &after)
{
    Json::Value difference(Json::objectValue);
    difference["set"] = after;
    return difference;
}

Json::Value objectDifference(const Json::Value &before, const Json::Value &after)
{
    Json::Value difference(Json::objectValue);
    Json::Value &members = difference["members"] = Json::Value(Json::objectValue);
    Json::Value &removed = difference["removed"] = Json::Value(Json::arrayValue);
    for (const std::string &name : before.getMemberNames()) {
        if (!after.isMember(name)) {
            removed.append(name);
        }
    }
    for (const std::string &name : after.getMemberNames()) {
        if (!before.isMember(name)) {
            members[name] = replacement(after[name]);
        } else if (before[name] != after[name]) {
            members[name] = differenceOf(before[name], after[name]);
        }
    }
    return difference;
}

/// Elements to skip on each side until the arrays agree again.
struct resync {
    Json::ArrayIndex before = 1;
    Json::ArrayIndex after = 1;
};

resync findResync(const Json::Value &before, Json::ArrayIndex from, const Json::Value &after, Json::ArrayIndex to)
{
    for (Json::ArrayIndex distance = 1; distance <= resyncWindow; ++distance) {
        if (to + distance < after.size() && before[from] == after[to + distance]) {
            return {0, distance};
        }
        if (from + distance < before.size() && before[from + distance] == after[to]) {
            return {distance, 0};
        }
        if (from + distance < before.size() && to + distance < after.size() && before[from + distance] == after[to + distance]) {
            return {distance, distance};
        }
    }
    return {};
}

/// Adds elements of the array before; continues the last part where it can.
void appendKept(Json::Value &parts, Json::ArrayIndex first)
{
    if (!parts.empty()) {
        Json::Value &last = parts[parts.size() - 1];
        if (last.isArray() && last[0].asUInt() + last[1].asUInt() == first) {
            last[1] = last[1].asUInt() + 1;
            return;
        }
    }
    Json::Value part(Json::arrayValue);
    part.append(first);
    part.append(1U);
    parts.append(part);
}

void appendNew(Json::Value &parts, const Json::Value &value)
{
    if (parts.empty() || !parts[parts.size() - 1].isObject()) {
        Json::Value part(Json::objectValue);
        part["new"] = Json::Value(Json::arrayValue);
        parts.append(part);
    }
    parts[parts.size() - 1]["new"].append(value);
}

Json::Value arrayDifference(const Json::Value &before, const Json::Value &after)
{
    Json::Value difference(Json::objectValue);
    Json::Value &parts = difference["parts"] = Json::Value(Json::arrayValue);
    Json::ArrayIndex from = 0;
    Json::ArrayIndex to = 0;
    while (to < after.size()) {
        if (from < before.size() && before[from] == after[to]) {
            appendKept(parts, from);
            from += 1;
            to += 1;
            continue;
        }
        const resync next = from < before.size() ? findResync(before, from, after, to) : resync{0, 1};
        from += next.before;
        for (Json::ArrayIndex count = 0; count < next.after; ++count) {
            appendNew(parts, after[to]);
            to += 1;
        }
    }
    return difference;
}

std::optional<Json::Value> applyToObject(const Json::Value &before, const Json::Value &difference)
{
    const Json::Value &members = difference["members"];
    const Json::Value &removed = difference["removed"];
    if (!before.isObject() || !members.isObject() || !removed.isArray()) {
        return std::nullopt;
    }
    Json::Value after = before;
    for (const Json::Value &name : removed) {
        if (!name.isString() || !after.isMember(name.asString())) {
            return std::nullopt;
        }
        after.removeMember(name.asString());
    }
    for (const std::string &name : members.getMemberNames()) {
        std::optional<Json::Value> member =
            applyDifference(before.isMember(name) ? before[name] : Json::Value::nullSingleton(), members[name]);
        if (!member) {
            return std::nullopt;
        }
        after[name] = std::move(*member);
    }
    return after;
}

std::optional<Json::Value> applyToArray(const Json::Value &before, const Json::Value &parts)
{
    if (!before.isArray() || !parts.isArray()) {
        return std::nullopt;
    }
    Json::Value after(Json::arrayValue);
    Json::ArrayIndex next = 0;
    for (const Json::Value &part : parts) {
        if (part.isArray() && part.size() == 2 && part[0].isUInt() && part[1].isUInt()) {
            const Json::ArrayIndex first = part[0].asUInt();
            const Json::ArrayIndex count = part[1].asUInt();
            // Each element is kept once at most, so that a damaged difference can't fill the memory.
            if (first < next || first > before.size() || count > before.size() - first) {
                return std::nullopt;
            }
            next = first + count;
            for (Json::ArrayIndex index = first; index < first + count; ++index) {
                after.append(before[index]);
            }
        } else if (part.isObject() && part["new"].isArray()) {
            for (const Json::Value &value : part["new"]) {
                after.append(value);
            }
        } else {
            return std::nullopt;
        }
    }
    return after;
}

} // namespace

Json::Value differenceOf(const Json::Value &before, const Json::Value &after)
{
    if (before.isObject() && after.isObject()) {
        return objectDifference(before, after);
    }
    if (before.isArray() && after.isArray()) {
        return arrayDifference(before, after);
    }
    return replacement(after);
}

std::optional<Json::Value> applyDifference(const Json::Value &before, const Json::Value &difference)
{
    if (!difference.isObject()) {
        return std::nullopt;
    }
    if (difference.isMember("set")) {
        return difference["set"];
    }
    if (difference.isMember("parts")) {
        return applyToArray(before, difference["parts"]);
    }
    return applyToObject(before, difference);
}

} // namespace mustardrouter
