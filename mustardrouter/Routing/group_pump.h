#pragma once

#include "mustardrouter/Routing/engine_step.h"

namespace mustardrouter
{

/// Starts whatever waits and can run now: first statements of open transactions, then work for
/// the primary, then reads on the database that suits each.
void pumpQueues(engine_step &step);

} // namespace mustardrouter
