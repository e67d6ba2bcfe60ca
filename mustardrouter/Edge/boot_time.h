#pragma once

#include "mustardrouter/Core/virtual_clock.h"

namespace mustardrouter
{

/// Time since boot (CLOCK_BOOTTIME). It includes the time in which the machine is suspended; data also ages during that time.
time_point bootTime();

} // namespace mustardrouter
