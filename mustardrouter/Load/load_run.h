#pragma once

#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Schema/load.pb.h"

namespace mustardrouter
{

/// The router under measurement.
enum class router_kind {
    product,
    /// Baseline: all statements go to the primary.
    naive,
};

/// Runs a profile once, on a new deployment on loopback. Fails with failure::addressUnavailable or
/// failure::platformUnavailable when the deployment does not start, and with failure::noQuorum when its groups are not
/// served in time, before the load or after the faults.
result_of<load::run_report> runProfile(const load::profile &profile, router_kind router);

} // namespace mustardrouter
