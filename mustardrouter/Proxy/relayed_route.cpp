#include "mustardrouter/Proxy/relayed_route.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// `session` demands what `age` does, and the session's own commits.
int strictnessOf(read_rule rule)
{
    switch (rule) {
    case read_rule::latest:
        return 2;
    case read_rule::session:
        return 1;
    case read_rule::age:
        return 0;
    }
    return 2;
}

} // namespace

std::optional<route> stricterOf(const route &own, const relayed_route &relayed)
{
    if (own.group != relayed.group) {
        return std::nullopt;
    }
    route result = own;
    result.rule = strictnessOf(own.rule) < strictnessOf(relayed.rule) ? relayed.rule : own.rule;
    result.maxAge = std::min(own.maxAge, relayed.maxAge);
    return result;
}

} // namespace mustardrouter
