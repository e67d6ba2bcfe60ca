#pragma once

#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Schema/load.pb.h"

namespace mustardrouter
{

/// Which router a run measures.
enum class router_kind {
    product,
    /// All statements go to the primary.
    naive,
};

/// Runs a profile once on a deployment of its own on loopback. Fails with
/// failure::addressUnavailable or failure::platformUnavailable when that cannot be started, and
/// failure::noQuorum when its groups are not served in time.
result_of<load::run_report> runProfile(const load::profile &profile, router_kind router);

} // namespace mustardrouter
