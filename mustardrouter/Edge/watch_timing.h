#pragma once

#include "mustardrouter/Core/virtual_clock.h"

namespace mustardrouter
{

/// Times of a watch request.
struct watch_timing {
    /// Time that the store holds the request without changes.
    duration held{};
    /// Time after which a request without an answer is given up and repeated.
    duration timeout{};
};

/// The longest times with which a request that was lost just before the store recovered is repeated and answered within
/// `stableWindow`, after which changes count as known.
watch_timing watchTimingFor(duration stableWindow);

/// The same for databases: also short enough that after the notice of a leaving primary there is time to replace it, while statements may
/// still be sent to it. The copy may have been complete last when the request was sent.
watch_timing databaseWatchTimingFor(duration stableWindow, duration drainTime);

/// Times of a request that a working store answers at once; used after a failure, when the store may still be unresponsive.
watch_timing probeTiming();

} // namespace mustardrouter
