#pragma once

#include "mustardrouter/Load/deployment.h"
#include "mustardrouter/Load/workload.h"
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Schema/load.pb.h"

namespace mustardrouter
{

/// Reads and validates a profile. Fails with failure::ioError, or with failure::invalidSettings and the field in the detail.
result_of<load::profile> readProfile(const std::string &file);

/// Fails with failure::invalidSettings when the profile cannot be run.
result_of<void> checkProfile(const load::profile &profile);

/// The deployment that a profile names, with the values that the profile overrides.
deployment deploymentFor(const load::profile &profile);

/// The workload of a profile. The caller sets `entries`.
workload_settings workloadFor(const load::profile &profile, const deployment &sizes);

} // namespace mustardrouter
