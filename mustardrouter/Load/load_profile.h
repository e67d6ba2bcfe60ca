#pragma once

#include "mustardrouter/Load/deployment.h"
#include "mustardrouter/Load/workload.h"
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Schema/load.pb.h"

namespace mustardrouter
{

/// Reads a profile and checks it; failure::ioError or failure::invalidSettings, naming the field.
result_of<load::profile> readProfile(const std::string &file);

/// Refuses a profile that cannot be run with failure::invalidSettings.
result_of<void> checkProfile(const load::profile &profile);

/// The deployment that a profile asks for.
deployment deploymentFor(const load::profile &profile);

/// The workload of a profile; entries are filled in by the caller.
workload_settings workloadFor(const load::profile &profile, const deployment &sizes);

} // namespace mustardrouter
