#pragma once

namespace mustardrouter
{

/// Exit codes of the program, the same for all subcommands.
enum class exit_code : int {
    success = 0,
    failed = 1,
    /// Bad arguments, settings or configuration files.
    invalidInput = 2,
};

/// Converts to the value that main() returns.
constexpr int toInt(exit_code code)
{
    return static_cast<int>(code);
}

} // namespace mustardrouter
