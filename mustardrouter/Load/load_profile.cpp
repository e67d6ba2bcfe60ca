#include "mustardrouter/Load/load_profile.h"

#include "mustardrouter/Runtime/json_settings.h"

namespace mustardrouter
{

namespace
{

std::string serviceFor(const deployment &sizes, load::work_class workClass)
{
    return sizes.service + "-" + load::work_class_Name(workClass);
}

result_of<void> checkPhase(const load::phase &phase)
{
    if (phase.seconds() <= 0) {
        return fail(failure::invalidSettings, "phase " + phase.name() + ": seconds must be positive");
    }
    if (phase.operations_per_second() <= 0) {
        return fail(failure::invalidSettings, "phase " + phase.name() + ": operationsPerSecond must be positive");
    }
    double total = 0;
    for (const load::work_share &share : phase.mix()) {
        if (share.share() < 0) {
            return fail(failure::invalidSettings, "phase " + phase.name() + ": mix: share must not be negative");
        }
        total += share.share();
    }
    if (total <= 0) {
        return fail(failure::invalidSettings, "phase " + phase.name() + ": mix: at least one share must be positive");
    }
    return {};
}

} // namespace

result_of<void> checkProfile(const load::profile &profile)
{
    const auto sizes = findDeployment(profile.deployment());
    if (!sizes) {
        return fail(failure::invalidSettings, "deployment: expected kovacik or granite-notch, got \"" + profile.deployment() + "\"");
    }
    if (profile.phases().empty()) {
        return fail(failure::invalidSettings, "phases: must have at least one phase");
    }
    for (const load::phase &phase : profile.phases()) {
        BOOST_LEAF_CHECK(checkPhase(phase));
    }
    for (const load::fault &fault : profile.faults()) {
        if (fault.group() >= sizes->groups) {
            return fail(failure::invalidSettings, "faults: group " + std::to_string(fault.group()) + " does not exist");
        }
    }
    return {};
}

result_of<load::profile> readProfile(const std::string &file)
{
    load::profile profile;
    BOOST_LEAF_CHECK(readJsonFile(file, profile));
    BOOST_LEAF_CHECK(checkProfile(profile));
    return profile;
}

deployment deploymentFor(const load::profile &profile)
{
    deployment sizes = findDeployment(profile.deployment()).value();
    if (profile.service_time_us() > 0) {
        sizes.serviceTime = std::chrono::microseconds(profile.service_time_us());
    }
    if (profile.replication_delay_us() > 0) {
        sizes.replicationDelay = std::chrono::microseconds(profile.replication_delay_us());
    }
    if (profile.apply_lag_us() > 0) {
        sizes.applyLag = std::chrono::microseconds(profile.apply_lag_us());
    }
    if (profile.connections() > 0) {
        sizes.connections = profile.connections();
    }
    for (const load::class_policy &policy : profile.policies()) {
        sizes.classServices.push_back({serviceFor(sizes, policy.class_()), std::max(policy.weight(), 1U)});
    }
    return sizes;
}

workload_settings workloadFor(const load::profile &profile, const deployment &sizes)
{
    workload_settings workloadSettings;
    workloadSettings.service = sizes.service;
    workloadSettings.seed = profile.seed();
    workloadSettings.phases.assign(profile.phases().begin(), profile.phases().end());
    for (std::size_t group = 0; group < sizes.groups; ++group) {
        workloadSettings.groups.push_back(groupNameOf(sizes, group));
    }
    for (const load::class_policy &policy : profile.policies()) {
        class_settings settings;
        settings.service = serviceFor(sizes, policy.class_());
        if (policy.deadline_ms() > 0) {
            settings.deadline = std::chrono::milliseconds(policy.deadline_ms());
        }
        if (policy.max_age_ms() > 0) {
            settings.maxAge = std::chrono::milliseconds(policy.max_age_ms());
        }
        workloadSettings.classes[policy.class_()] = settings;
    }
    return workloadSettings;
}

} // namespace mustardrouter
