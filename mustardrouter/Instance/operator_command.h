#pragma once

#include "mustardrouter/Core/ids.h"

#include <optional>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Moves a group's primary, to `to` when given.
struct move_primary {
    group_name group;
    std::optional<database_name> to;
};

/// Promotes without a quorum: acknowledged writes that only the excluded databases hold are lost.
struct force_promotion {
    group_name group;
    std::vector<database_name> excludedFromQuorum;
};

/// Hands over all groups and stops accepting work.
struct drain_instance {
};

/// Command from an operator to the decision thread.
using operator_command = std::variant<move_primary, force_promotion, drain_instance>;

} // namespace mustardrouter
