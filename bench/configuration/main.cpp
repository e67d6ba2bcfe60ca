// Publishes configuration changes to a deployment on loopback and measures the time until every instance has applied
// each of them, the rate of calls to the platform, and the bytes of control messages.
//
//     build/bench/configuration_bench --instances 15 --changes 300 --condition healthy

#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Runtime/log.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace
{

using namespace mustardrouter;
using namespace std::chrono_literals;
using bench_clock = std::chrono::steady_clock;

constexpr auto groupsServingTimeout = 30s;
constexpr auto changeTimeout = 20s;
constexpr auto changeInterval = 50ms;
constexpr auto idleMeasurementDuration = 10s;
constexpr auto outageDuration = 1500ms;
constexpr auto slowCallDelay = 300ms;
/// Changes that take longer are printed individually.
constexpr auto slowChangeThreshold = 1s;
constexpr std::size_t changesBetweenRestarts = 10;

struct measurement {
    std::vector<double> milliseconds;
    std::size_t notInTime = 0;
    std::size_t notPublished = 0;
    double callsPerSecond = 0;
    double idleCallsPerSecond = 0;
    /// Maximum over all instances.
    double idleConfigurationBytesPerSecond = 0;
    double idleHeartbeatBytesPerSecond = 0;
};

bool isSlow(const std::string &condition)
{
    return condition == "slow";
}

change_set smallChange(std::size_t number)
{
    session_policy policy;
    policy.name = "default";
    policy.readRule = "own-work";
    policy.weight = static_cast<std::uint32_t>(1 + number % 7);
    return {{place{"change", std::to_string(number)}, policy}, {}};
}

bool isAppliedEverywhere(testbed &bed, std::uint64_t revision)
{
    return std::ranges::all_of(bed.instances(), [&](const auto &item) {
        return item->revision() >= revision;
    });
}

bool waitUntilApplied(testbed &bed, std::uint64_t revision)
{
    const auto until = bench_clock::now() + changeTimeout;
    while (!isAppliedEverywhere(bed, revision)) {
        if (bench_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

std::uint64_t callsOf(testbed &bed)
{
    const platform_counts counts = bed.platform().counts();
    return counts.reads + counts.writes;
}

/// Replaces a tenth of the instances; the new ones must apply changes as soon as they have started.
void restartTenth(testbed &bed)
{
    const std::size_t count = std::max<std::size_t>(1, bed.instances().size() / 10);
    for (std::size_t index = 0; index < count; ++index) {
        std::unique_ptr<instance> removed = std::move(bed.instances().front());
        bed.instances().erase(bed.instances().begin());
        bed.platform().markGone(removed->name());
        removed->kill();
        handleErrors(
            [&]() -> result_of<bool> {
                BOOST_LEAF_CHECK(bed.addInstance());
                return true;
            },
            [](const error &what) {
                std::cerr << what.detail << '\n';
                return false;
            });
    }
}

void measureChange(testbed &bed, const std::string &condition, std::size_t number, measurement &measured)
{
    if (condition == "restarting" && number % changesBetweenRestarts == 0) {
        restartTenth(bed);
    }
    const publication_result published = bed.publish(smallChange(number));
    const auto begin = bench_clock::now();
    if (published.kind != outcome::done) {
        ++measured.notPublished;
        return;
    }
    if (condition == "down") {
        // The platform goes down as soon as one instance has the change, so that the others can get it from peers only.
        while (std::ranges::none_of(bed.instances(), [&](const auto &item) {
            return item->revision() >= published.revision.value();
        })) {
            std::this_thread::sleep_for(100us);
        }
        platform_faults faults;
        faults.down = true;
        bed.platform().setFaults(faults);
    }
    const bool inTime = waitUntilApplied(bed, published.revision.value());
    const std::chrono::duration<double, std::milli> took = bench_clock::now() - begin;
    measured.notInTime += inTime ? 0U : 1U;
    if (took > slowChangeThreshold) {
        std::cout << "change " << number << " took " << took.count() << " ms" << std::endl;
    }
    measured.milliseconds.push_back(took.count());
    if (condition == "down") {
        std::this_thread::sleep_for(std::max<bench_clock::duration>(0s, outageDuration - (bench_clock::now() - begin)));
        bed.platform().setFaults({});
        std::this_thread::sleep_for(500ms);
    }
    std::this_thread::sleep_for(changeInterval);
}

void measureIdle(testbed &bed, measurement &measured)
{
    const auto sentBy = [&](const char *what) {
        std::vector<std::uint64_t> bytes;
        for (const auto &item : bed.instances()) {
            bytes.push_back(item->status()[what].asUInt64());
        }
        return bytes;
    };
    const std::vector<std::uint64_t> configuration = sentBy("configurationBytes");
    const std::vector<std::uint64_t> heartbeats = sentBy("heartbeatBytes");
    const std::uint64_t calls = callsOf(bed);
    std::this_thread::sleep_for(idleMeasurementDuration);
    const double seconds = std::chrono::duration<double>(idleMeasurementDuration).count();
    measured.idleCallsPerSecond = static_cast<double>(callsOf(bed) - calls) / seconds;
    const auto mostPerSecond = [&](const std::vector<std::uint64_t> &before, const std::vector<std::uint64_t> &after) {
        std::uint64_t most = 0;
        for (std::size_t index = 0; index < before.size(); ++index) {
            most = std::max(most, after[index] - before[index]);
        }
        return static_cast<double>(most) / seconds;
    };
    measured.idleConfigurationBytesPerSecond = mostPerSecond(configuration, sentBy("configurationBytes"));
    measured.idleHeartbeatBytesPerSecond = mostPerSecond(heartbeats, sentBy("heartbeatBytes"));
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(rank, values.size() - 1)];
}

result_of<bool> run(std::size_t instances, std::size_t changes, const std::string &condition)
{
    testbed bed(*findDeployment("granite-notch"), instances);
    BOOST_LEAF_CHECK(bed.start());
    if (!bed.waitUntilServing(groupsServingTimeout)) {
        return fail(failure::noQuorum, "the groups are not served in time");
    }
    std::this_thread::sleep_for(5s);
    measurement measured;
    measureIdle(bed, measured);
    if (isSlow(condition)) {
        platform_faults faults;
        faults.delay = slowCallDelay;
        bed.platform().setFaults(faults);
    }
    const auto begin = bench_clock::now();
    const std::uint64_t calls = callsOf(bed);
    for (std::size_t number = 0; number < changes; ++number) {
        measureChange(bed, condition, number, measured);
    }
    const double seconds = std::chrono::duration<double>(bench_clock::now() - begin).count();
    measured.callsPerSecond = static_cast<double>(callsOf(bed) - calls) / seconds;
    std::cout << instances << " instances, " << condition << ", " << measured.milliseconds.size() << " changes: median "
              << quantile(measured.milliseconds, 0.5) << " ms, p99 " << quantile(measured.milliseconds, 0.99) << " ms, worst "
              << quantile(measured.milliseconds, 1) << " ms; not in time " << measured.notInTime << ", not published "
              << measured.notPublished << "; platform calls/s " << measured.callsPerSecond << ", when nothing changes "
              << measured.idleCallsPerSecond << "; bytes/s that a node sends at most when nothing changes: configuration and membership "
              << measured.idleConfigurationBytesPerSecond << ", heartbeats of ownership " << measured.idleHeartbeatBytesPerSecond
              << std::endl;
    return measured.notInTime == 0;
}

} // namespace

int main(int count, char **values)
{
    namespace po = boost::program_options;
    std::size_t instances = 0;
    std::size_t changes = 0;
    std::string condition;
    po::options_description options("Options");
    options.add_options()("help", "show this help");
    options.add_options()("instances", po::value(&instances)->default_value(15), "instances to run");
    options.add_options()("changes", po::value(&changes)->default_value(300), "changes to publish");
    options.add_options()("condition", po::value(&condition)->default_value("healthy"), "healthy, slow, down or restarting");
    po::variables_map given;
    po::store(po::parse_command_line(count, values, options), given);
    po::notify(given);
    if (given.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    setLogLevel("error");
    const bool fine = handleErrors(
        [&] {
            return run(instances, changes, condition);
        },
        [](const error &what) {
            std::cerr << toString(what.cause) << ": " << what.detail << '\n';
            return false;
        });
    return fine ? 0 : 1;
}
