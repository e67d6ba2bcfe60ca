#include "history_run.h"

#include <rapidcheck.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace
{

using namespace mustardrouter::histories;

/// Command line options; see main().
struct options {
    std::uint64_t count = 20000;
    std::uint64_t seed = 1;
    std::optional<std::uint64_t> replay;
    unsigned threads = 4;
    defect injected = defect::none;
    /// Runs every defect in turn; each must be detected.
    bool allDefects = false;
    bool verbose = false;
    /// Replaces the faults of every history: "KIND@START+LENGTH", times in milliseconds.
    std::vector<fault> faults;
};

rc::Gen<fault> anyFault()
{
    return rc::gen::build<fault>(rc::gen::set(&fault::kind,
                                              rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault_kind::count)),
                                                           [](int kind) {
                                                               return static_cast<fault_kind>(kind);
                                                           })),
                                 rc::gen::set(&fault::start, rc::gen::inRange(0, 600)),
                                 rc::gen::set(&fault::length, rc::gen::inRange(20, 500)));
}

/// Generates mostly pairs of faults; sometimes one, three or four.
rc::Gen<scenario> anyScenario()
{
    return rc::gen::build<scenario>(
        rc::gen::set(&scenario::seed, rc::gen::noShrink(rc::gen::arbitrary<std::uint32_t>())),
        rc::gen::set(&scenario::instances, rc::gen::element<std::size_t>(3, 2)),
        rc::gen::set(&scenario::confirmReplicas, rc::gen::weightedElement<std::uint32_t>({{6, 1}, {1, 2}})),
        rc::gen::set(&scenario::sessions, rc::gen::element<std::size_t>(4, 2, 6)),
        rc::gen::set(&scenario::operationsPerSession, rc::gen::element<std::size_t>(14, 7)),
        rc::gen::set(&scenario::faults,
                     rc::gen::mapcat(rc::gen::weightedElement<std::size_t>({{1, 1}, {6, 2}, {2, 3}, {1, 4}}), [](std::size_t count) {
                         return rc::gen::container<std::vector<fault>>(count, anyFault());
                     })));
}

rc::Shrinkable<scenario> scenarioOf(std::uint64_t seed)
{
    constexpr int size = 100;
    return anyScenario()(rc::Random(seed), size);
}

/// Searches for a smaller scenario that still fails.
scenario shrink(const rc::Shrinkable<scenario> &failing, defect injected)
{
    constexpr int maxTrials = 200;
    int trials = 0;
    rc::Shrinkable<scenario> smallest = failing;
    for (bool found = true; found && trials < maxTrials;) {
        found = false;
        auto candidates = smallest.shrinks();
        while (const auto candidate = candidates.next()) {
            if (++trials >= maxTrials) {
                break;
            }
            if (!runHistory(candidate->value(), injected).violations.empty()) {
                smallest = *candidate;
                found = true;
                break;
            }
        }
    }
    return smallest.value();
}

void printFailure(std::uint64_t seed, const scenario &what, defect injected)
{
    std::cout << "FAILED history seed " << seed << " (" << describe(what) << ")\n";
    for (const std::string &text : runHistory(what, injected).violations) {
        std::cout << "  " << text << "\n";
    }
}

struct totals {
    std::atomic<std::uint64_t> histories{0};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> done{0};
    std::atomic<std::uint64_t> notRun{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> replicaReads{0};
    std::atomic<std::uint64_t> failovers{0};
};

void add(totals &sum, const run_result &result)
{
    ++sum.histories;
    sum.requests += result.requests;
    sum.done += result.done;
    sum.notRun += result.notRun;
    sum.unknown += result.unknown;
    sum.replicaReads += result.replicaReads;
    sum.failovers += result.failovers;
}

/// Runs histories on several threads; stops early once `maxFailures` have failed.
void runMany(const options &chosen, defect injected, std::uint64_t maxFailures, totals &sum)
{
    std::atomic<std::uint64_t> next{0};
    std::mutex printing;
    const auto work = [&] {
        for (;;) {
            const std::uint64_t index = next++;
            if (index >= chosen.count || sum.failed >= maxFailures) {
                return;
            }
            const std::uint64_t seed = chosen.seed + index;
            const rc::Shrinkable<scenario> generated = scenarioOf(seed);
            scenario what = generated.value();
            if (!chosen.faults.empty()) {
                what.faults = chosen.faults;
            }
            const run_result result = runHistory(what, injected);
            add(sum, result);
            // A history that is merely stuck does not count as detecting a defect; it must violate a guarantee.
            const bool broken = !result.violations.empty() && !(injected != defect::none && result.stuck);
            if (!broken) {
                continue;
            }
            const std::uint64_t failedBefore = sum.failed++;
            if (injected != defect::none || failedBefore >= 5) {
                const std::lock_guard lock(printing);
                if (chosen.verbose || (injected != defect::none && failedBefore == 0)) {
                    std::cout << "history seed " << seed << ": " << result.violations.front() << "\n";
                }
                continue;
            }
            const scenario smallest = shrink(generated, injected);
            const std::lock_guard lock(printing);
            printFailure(seed, smallest, injected);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < chosen.threads; ++index) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void print(const totals &sum)
{
    std::cout << sum.histories << " histories, " << sum.requests << " requests: " << sum.done << " done, " << sum.notRun << " not run, "
              << sum.unknown << " unknown; " << sum.replicaReads << " read from replicas; " << sum.failovers << " changes of term; "
              << sum.failed << " failed" << std::endl;
}

/// Faults that expose a defect which random pairs of faults rarely trigger; empty for the other defects.
std::vector<fault> faultsFor(defect injected)
{
    if (injected == defect::skipBarrier) {
        // Databases whose logs have diverged become primary alternately.
        return {{fault_kind::slowReplicas, 0, 700},
                {fault_kind::crashPrimary, 100, 140},
                {fault_kind::crashPrimary, 250, 140},
                {fault_kind::crashPrimary, 400, 200}};
    }
    if (injected == defect::skipRounds) {
        // The primary is partitioned, in half of the cases together with its owner.
        return {{fault_kind::cutPrimary, 150, 500}};
    }
    return {};
}

bool isDetected(const options &chosen, defect injected)
{
    totals sum;
    options adapted = chosen;
    if (chosen.faults.empty()) {
        adapted.faults = faultsFor(injected);
    }
    runMany(adapted, injected, 1, sum);
    std::cout << "defect " << toString(injected) << ": " << (sum.failed == 0 ? "NOT caught in " : "caught within ") << sum.histories
              << " histories" << std::endl;
    return sum.failed != 0;
}

std::optional<defect> defectNamed(std::string_view name)
{
    for (int kind = 0; kind < static_cast<int>(defect::count); ++kind) {
        if (toString(static_cast<defect>(kind)) == name) {
            return static_cast<defect>(kind);
        }
    }
    return std::nullopt;
}

std::optional<fault> parseFault(const std::string &text)
{
    const std::size_t at = text.find('@');
    const std::size_t plus = text.find('+');
    for (int kind = 0; kind < static_cast<int>(fault_kind::count); ++kind) {
        const auto named = static_cast<fault_kind>(kind);
        if (at != std::string::npos && plus != std::string::npos && text.substr(0, at) == toString(named)) {
            return fault{named, std::stoi(text.substr(at + 1)), std::stoi(text.substr(plus + 1))};
        }
    }
    return std::nullopt;
}

std::optional<options> parse(const std::vector<std::string> &words)
{
    options chosen;
    for (std::size_t index = 0; index < words.size(); ++index) {
        const std::string &word = words[index];
        if (word == "--all-defects") {
            chosen.allDefects = true;
            continue;
        }
        if (word == "--verbose") {
            chosen.verbose = true;
            continue;
        }
        if (index + 1 == words.size()) {
            return std::nullopt;
        }
        const std::string &value = words[++index];
        if (word == "--count") {
            chosen.count = std::stoull(value);
        } else if (word == "--seed") {
            chosen.seed = std::stoull(value);
        } else if (word == "--replay") {
            chosen.replay = std::stoull(value);
        } else if (word == "--threads") {
            chosen.threads = static_cast<unsigned>(std::stoul(value));
        } else if (word == "--fault") {
            const std::optional<fault> parsed = parseFault(value);
            if (!parsed) {
                return std::nullopt;
            }
            chosen.faults.push_back(*parsed);
        } else if (word == "--defect") {
            const std::optional<defect> named = defectNamed(value);
            if (!named) {
                return std::nullopt;
            }
            chosen.injected = *named;
        } else {
            return std::nullopt;
        }
    }
    return chosen;
}

} // namespace

int main(int count, char **values)
{
    const std::optional<options> chosen = parse({values + 1, values + count});
    if (!chosen) {
        std::cerr << "histories [--count N] [--seed S] [--replay S] [--threads T] [--defect NAME] [--fault KIND@START+LENGTH]... "
                     "[--all-defects] [--verbose]\n";
        return EXIT_FAILURE;
    }
    if (chosen->replay) {
        const scenario what = scenarioOf(*chosen->replay).value();
        printFailure(*chosen->replay, what, chosen->injected);
        for (const std::string &line : runHistory(what, chosen->injected).trace) {
            std::cout << line << "\n";
        }
        return runHistory(what, chosen->injected).violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    std::cout << "seed " << chosen->seed << std::endl;
    if (chosen->allDefects) {
        bool all = true;
        for (int kind = 1; kind < static_cast<int>(defect::count); ++kind) {
            all = isDetected(*chosen, static_cast<defect>(kind)) && all;
        }
        return all ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    const auto started = std::chrono::steady_clock::now();
    totals sum;
    runMany(*chosen, chosen->injected, chosen->count, sum);
    print(sum);
    std::cout << std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count() << " s" << std::endl;
    return sum.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
