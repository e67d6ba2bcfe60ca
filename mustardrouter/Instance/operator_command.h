#pragma once

#include "mustardrouter/Core/ids.h"

#include <optional>
#include <variant>
#include <vector>

namespace mustardrouter
{

/// Moves a group's primary.
struct move_primary {
    group_name group;
    std::optional<database_name> to;
};

/// Promotes without a quorum: acknowledged writes that only the named databases hold are lost.
struct force_promotion {
    group_name group;
    std::vector<database_name> excludedFromQuorum;
};

/// Hands everything over and stops taking work.
struct drain_instance {
};

/// What an operator asks of the decision thread.
using operator_command = std::variant<move_primary, force_promotion, drain_instance>;

} // namespace mustardrouter
