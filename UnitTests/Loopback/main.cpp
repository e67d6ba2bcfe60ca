#include "mustardrouter/Load/final_states.h"
#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Load/workload.h"
#include "mustardrouter/Runtime/log.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace
{

using namespace mustardrouter;
using namespace std::chrono_literals;

constexpr std::size_t instanceCount = 4;
constexpr auto faultLength = 1200ms;

/// State of the platform during the fault.
enum class platform_state : std::uint8_t { up, down, losesAnswers };

/// A fault that is injected into the first group by `begin` and removed by `end`.
struct loopback_fault {
    const char *name;
    std::function<bool(testbed &, const std::string &group)> begin;
    std::function<void(testbed &)> end;
};

void restartAll(testbed &bed, std::vector<std::string> &down)
{
    for (const std::string &name : down) {
        bed.findDatabase(name)->restart();
    }
    down.clear();
}

std::vector<loopback_fault> allFaults()
{
    const auto affected = std::make_shared<std::vector<std::string>>();
    const auto killPrimary = [affected](testbed &bed, const std::string &group) {
        database_standin *primary = bed.primaryOf(group);
        if (primary == nullptr) {
            return false;
        }
        affected->push_back(primary->name());
        primary->kill();
        return true;
    };
    const auto restart = [affected](testbed &bed) {
        restartAll(bed, *affected);
    };
    const auto freezePrimary = [affected](testbed &bed, const std::string &group) {
        database_standin *primary = bed.primaryOf(group);
        if (primary == nullptr) {
            return false;
        }
        affected->push_back(primary->name());
        primary->setFrozen(true);
        return true;
    };
    const auto unfreeze = [affected](testbed &bed) {
        for (const std::string &name : *affected) {
            bed.findDatabase(name)->setFrozen(false);
        }
        affected->clear();
    };
    const auto killOwner = [](testbed &bed, const std::string &group) {
        instance *owner = bed.ownerOf(group);
        if (owner == nullptr) {
            return false;
        }
        const std::string name = owner->name();
        owner->kill();
        std::erase_if(bed.instances(), [&](const std::unique_ptr<instance> &item) {
            return item->name() == name;
        });
        bed.platform().markGone(name);
        return true;
    };
    const auto silenceConnection = [](testbed &bed, const std::string &group) {
        database_standin *primary = bed.primaryOf(group);
        if (primary == nullptr) {
            return false;
        }
        primary->silenceOneConnection();
        return true;
    };
    const auto noAction = [](testbed &) {
    };
    return {{"primary killed", killPrimary, restart},
            {"primary frozen", freezePrimary, unfreeze},
            {"owner killed", killOwner, noAction},
            {"connection silent", silenceConnection, noAction}};
}

const char *nameOf(platform_state state)
{
    static const std::array<const char *, 3> names{"platform up", "platform down", "platform loses answers"};
    return names.at(static_cast<std::size_t>(state));
}

void setPlatform(testbed &bed, platform_state state)
{
    constexpr int manyAnswers = 1000;
    platform_faults faults;
    faults.down = state == platform_state::down;
    faults.answersToDrop = state == platform_state::losesAnswers ? manyAnswers : 0;
    bed.platform().setFaults(faults);
}

bool startTestbed(testbed &bed)
{
    const bool started = handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(bed.start());
            return true;
        },
        [](const error &what) {
            std::printf("%s\n", what.detail.c_str());
            return false;
        });
    return started && bed.waitUntilServing(20s);
}

workload_settings workloadSettingsFor(const testbed &bed, std::uint64_t seed)
{
    workload_settings settings;
    settings.service = bed.deploymentSettings().service;
    settings.entries = bed.entryAddresses();
    settings.seed = seed;
    for (std::size_t group = 0; group < bed.deploymentSettings().groups; ++group) {
        settings.groups.push_back(groupNameOf(bed.deploymentSettings(), group));
    }
    load::phase phase;
    phase.set_name("fault");
    phase.set_seconds(60);
    phase.set_operations_per_second(120);
    for (const load::work_class workClass : {load::SAVE, load::CHECK_IN, load::BROWSE}) {
        load::work_share &share = *phase.add_mix();
        share.set_class_(workClass);
        share.set_share(1.0 / 3);
        settings.classes[workClass] = class_settings{bed.deploymentSettings().service, 1500ms, 2000ms};
    }
    settings.phases.push_back(phase);
    return settings;
}

bool report(const check_result &found, const workload &run, bool servedAgain)
{
    const history &seen = run.observedHistory();
    std::printf("  %llu done, %llu not run, %llu unknown; stale %llu, lost %llu, doubled %llu, mixed %llu, ran though not run %llu, "
                "misattributed %llu%s\n",
                static_cast<unsigned long long>(seen.done),
                static_cast<unsigned long long>(seen.notRun),
                static_cast<unsigned long long>(seen.unknown),
                static_cast<unsigned long long>(found.staleReads),
                static_cast<unsigned long long>(found.lostWrites),
                static_cast<unsigned long long>(found.doubledWrites),
                static_cast<unsigned long long>(found.crossTransaction),
                static_cast<unsigned long long>(found.ranThoughNotRun),
                static_cast<unsigned long long>(found.misattributed),
                servedAgain ? "" : "; NOT SERVED AGAIN");
    std::fflush(stdout);
    return allPromisesKept(found) && servedAgain && seen.done > 0;
}

bool runOne(const loopback_fault &fault, platform_state state, std::uint64_t seed)
{
    std::printf("%s, %s, seed %llu\n", fault.name, nameOf(state), static_cast<unsigned long long>(seed));
    testbed bed(*findDeployment("granite-notch"), instanceCount);
    if (!startTestbed(bed)) {
        std::printf("  the groups are not served\n");
        return false;
    }
    const std::string group = groupNameOf(bed.deploymentSettings(), 0);
    workload run(workloadSettingsFor(bed, seed));
    run.start();
    std::this_thread::sleep_for(600ms);
    setPlatform(bed, state);
    const load_instant startedAt = std::chrono::steady_clock::now();
    const bool injected = fault.begin(bed, group);
    run.setEntries(bed.entryAddresses());
    std::this_thread::sleep_for(faultLength);
    setPlatform(bed, platform_state::up);
    fault.end(bed);
    std::this_thread::sleep_for(1500ms);
    run.finish();
    const bool served = bed.waitUntilServing(10s);
    const bool servedAgain = served && std::ranges::any_of(run.observedHistory().writes, [&](const recorded_write &write) {
                                 return write.group == group && write.kind == outcome::done && write.answeredAt > startedAt + 1s;
                             });
    const check_result found = check(run.observedHistory(), readFinalStates(bed));
    return report(found, run, servedAgain) && injected;
}

} // namespace

/// Injects each fault over loopback with the platform up, down and losing answers. Usage: loopback [SEED].
int main(int count, char **values)
{
    setLogLevel("error");
    const std::uint64_t seed = count > 1 ? std::stoull(values[1]) : 1;
    int failed = 0;
    for (const loopback_fault &fault : allFaults()) {
        for (const platform_state state : {platform_state::up, platform_state::down, platform_state::losesAnswers}) {
            failed += runOne(fault, state, seed) ? 0 : 1;
        }
    }
    std::printf("%d failed\n", failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
