#pragma once

namespace mustardrouter
{

/// Error codes of the platform's JSON-RPC interface.
enum class platform_code : int {
    versionConflict = -32010,
    unavailable = -32011,
    badParameters = -32602,
};

} // namespace mustardrouter
