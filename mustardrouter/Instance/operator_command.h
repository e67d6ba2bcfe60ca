#pragma once

#include "mustardrouter/Core/ids.h"

#include <optional>
#include <variant>

namespace mustardrouter
{

/// Moves a group's primary.
struct move_primary {
    group_name group;
    std::optional<database_name> to;
};

/// Hands everything over and stops taking work.
struct drain_instance {
};

/// What an operator asks of the decision thread.
using operator_command = std::variant<move_primary, drain_instance>;

} // namespace mustardrouter
