#pragma once

namespace mustardrouter
{

/// Blocks SIGINT and SIGTERM for waitForStopSignal(). Call before any thread is started, since threads inherit the mask.
void blockStopSignals();

/// Waits for SIGINT or SIGTERM, which must be blocked.
void waitForStopSignal();

} // namespace mustardrouter
