#pragma once

#include "mustardrouter/Soak/fault_plan.h"
#include "mustardrouter/Soak/soak_deployment.h"
#include "mustardrouter/Soak/soak_instance.h"

#include <functional>
#include <memory>
#include <vector>

namespace mustardrouter
{

/// Injects the faults of a plan and reverts them.
class fault_injector
{
public:
    using now_function = std::function<time_point()>;

    fault_injector(soak_deployment &deployment, std::vector<std::unique_ptr<soak_instance>> &instances, now_function now);

    /// Starts a fault; returns the function that reverts it, or nothing if the fault needs no revert.
    std::function<void()> begin(const planned_fault &fault);

private:
    std::function<void()> injectConnectionFault(const planned_fault &fault);
    void stopInstance(const planned_fault &fault);
    std::function<void()> injectInstanceFault(const planned_fault &fault);
    std::function<void()> injectStoreFault(const planned_fault &fault);
    std::function<void()> injectDatabaseFault(const planned_fault &fault);
    std::vector<fault_relay *> chooseRelays(const planned_fault &fault);
    void killInstance(soak_instance &instance, duration startsAfter);

    soak_deployment &m_deployment;
    std::vector<std::unique_ptr<soak_instance>> &m_instances;
    now_function m_now;
};

} // namespace mustardrouter
