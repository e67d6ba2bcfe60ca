#include "mustardrouter/Proxy/link_setup.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

bool hasForeignValue(const database_link &link, const client_session &session)
{
    return std::ranges::any_of(link.values, [&](const auto &value) {
        return !session.values.contains(value.first);
    });
}

} // namespace

void appendValues(database_link &link, const client_session &session, std::vector<database_command> &commands)
{
    if (!link.valuesUncertain && link.values == session.values) {
        return;
    }
    if (link.valuesUncertain || hasForeignValue(link, session)) {
        database_command discard;
        discard.kind = command_kind::discard;
        commands.push_back(discard);
        link.values.clear();
        link.prepared.clear();
        link.valuesUncertain = false;
    }
    for (const auto &[name, value] : session.values) {
        const auto known = link.values.find(name);
        if (known != link.values.end() && known->second == value) {
            continue;
        }
        database_command set;
        set.kind = command_kind::setValue;
        set.name = name;
        set.value = value;
        commands.push_back(set);
        link.values[name] = value;
    }
}

std::string appendPrepared(database_link &link, const prepared_shape &shape, std::vector<database_command> &commands)
{
    const std::string key = (shape.writes ? "w " : "r ") + shape.shape;
    const auto known = link.prepared.find(key);
    if (known != link.prepared.end()) {
        return known->second;
    }
    database_command prepare;
    prepare.kind = command_kind::prepare;
    prepare.name = "m" + std::to_string(link.nextPrepared++);
    prepare.writes = shape.writes;
    prepare.value = shape.shape;
    commands.push_back(prepare);
    link.prepared[key] = prepare.name;
    return prepare.name;
}

} // namespace mustardrouter
