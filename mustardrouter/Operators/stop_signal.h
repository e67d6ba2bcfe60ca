#pragma once

namespace mustardrouter
{

/// Blocks the signals that ask a process to stop; call before any thread is started.
void blockStopSignals();

/// Waits for SIGINT or SIGTERM.
void waitForStopSignal();

} // namespace mustardrouter
