#include "mustardrouter/Load/load_report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

namespace mustardrouter
{

namespace
{

template<typename... Values>
std::string format(const char *pattern, Values... values)
{
    std::array<char, 256> line{};
    std::snprintf(line.data(), line.size(), pattern, values...);
    return line.data();
}

void fillClass(load::class_report &report, const class_statistics &counts, const load::phase &phase)
{
    report.set_phase(phase.name());
    report.set_statements(counts.done + counts.notRun + counts.unknown);
    report.set_done(counts.done);
    report.set_not_run(counts.notRun);
    report.set_unknown(counts.unknown);
    report.set_replica_reads(counts.replicaReads);
    report.set_primary_reads(counts.primaryReads);
    *report.mutable_latency() = quantilesOf(counts.latenciesMs);
    report.set_goodput_per_second(phase.seconds() > 0 ? static_cast<double>(counts.done) / phase.seconds() : 0);
    for (const auto &[cause, count] : counts.failures) {
        (*report.mutable_failures())[cause] = count;
    }
}

std::string classLine(const load::class_report &item)
{
    std::string line = format("  %-12s %-10s %8llu %8llu %8llu %8.2f %8.2f %8.2f",
                              item.phase().c_str(),
                              item.class_().c_str(),
                              static_cast<unsigned long long>(item.done()),
                              static_cast<unsigned long long>(item.not_run()),
                              static_cast<unsigned long long>(item.unknown()),
                              item.latency().p50_ms(),
                              item.latency().p90_ms(),
                              item.latency().p99_ms());
    for (const auto &[cause, count] : item.failures()) {
        line += " " + cause + "=" + std::to_string(count);
    }
    return line + "\n";
}

std::string promiseLine(const load::promises &promises)
{
    if (allPromisesKept(promises)) {
        return "  every promise was kept\n";
    }
    return "  FAILED, promises were broken: stale reads " + std::to_string(promises.stale_reads()) + ", lost writes "
           + std::to_string(promises.lost_writes()) + ", doubled writes " + std::to_string(promises.doubled_writes())
           + ", across transactions " + std::to_string(promises.cross_transaction()) + ", ran though not run "
           + std::to_string(promises.ran_though_not_run()) + ", misattributed " + std::to_string(promises.misattributed()) + "\n";
}

std::string runLines(const load::run_report &run)
{
    std::string text = format("%s: replica read share %.4f, primary load %.4f, generator at most %.1f ms late\n",
                              run.router().c_str(),
                              run.replica_read_share(),
                              run.primary_load(),
                              run.generator_late_ms());
    text += "  phase        class          done  not run  unknown   p50 ms   p90 ms   p99 ms\n";
    for (const load::class_report &item : run.classes()) {
        text += classLine(item);
    }
    for (const load::database_use &use : run.databases()) {
        text += format("  %-32s %8llu statements, %llu of %llu connections, %llu refused\n",
                       use.database().c_str(),
                       static_cast<unsigned long long>(use.statements()),
                       static_cast<unsigned long long>(use.most_connections()),
                       static_cast<unsigned long long>(use.connection_limit()),
                       static_cast<unsigned long long>(use.refused_connections()));
    }
    for (const load::fault_mark &mark : run.faults()) {
        text += format("  %7.2f s %s\n", mark.at_seconds(), mark.what().c_str());
    }
    for (const auto &[group, gap] : run.longest_write_gap_ms()) {
        text += "  longest pause between acknowledged writes of " + group + ": " + std::to_string(gap) + " ms\n";
    }
    if (run.shutdowns() > 0) {
        text += "  " + std::to_string(run.clean_shutdowns()) + " of " + std::to_string(run.shutdowns()) + " shutdowns were clean\n";
    }
    text += promiseLine(run.promises());
    return text;
}

const load::class_report *findClass(const load::run_report &run, const std::string &phase, const std::string &workClass)
{
    for (const load::class_report &item : run.classes()) {
        if (item.phase() == phase && item.class_() == workClass) {
            return &item;
        }
    }
    return nullptr;
}

std::string comparisonLine(const std::string &name, std::optional<double> left, std::optional<double> right)
{
    const std::string first = left ? format("%12.3f", *left) : "           -";
    const std::string second = right ? format("%12.3f", *right) : "           -";
    const bool comparable = left && right && *left != 0;
    const std::string change = comparable ? format("%+9.1f %%", 100 * (*right - *left) / *left) : std::string();
    return format("  %-40s", name.c_str()) + first + " " + second + " " + change + "\n";
}

std::string compareClass(const std::string &name, const load::class_report *left, const load::class_report *right)
{
    const auto valueOf = [](const load::class_report *item, auto read) {
        return item == nullptr ? std::optional<double>() : std::optional<double>(read(*item));
    };
    const auto line = [&](const char *what, auto read) {
        return comparisonLine(name + " " + what, valueOf(left, read), valueOf(right, read));
    };
    std::string text = line("goodput/s", [](const load::class_report &item) {
        return item.goodput_per_second();
    });
    text += line("p50 ms", [](const load::class_report &item) {
        return item.latency().p50_ms();
    });
    text += line("p99 ms", [](const load::class_report &item) {
        return item.latency().p99_ms();
    });
    text += line("not run", [](const load::class_report &item) {
        return static_cast<double>(item.not_run());
    });
    return text;
}

std::string compareRuns(const load::run_report &left, const load::run_report &right)
{
    std::string text = left.router() + " | " + right.router() + "\n";
    text += comparisonLine("replica read share", left.replica_read_share(), right.replica_read_share());
    text += comparisonLine("primary load", left.primary_load(), right.primary_load());
    for (const load::class_report &item : left.classes()) {
        text += compareClass(item.phase() + " " + item.class_(), &item, findClass(right, item.phase(), item.class_()));
    }
    for (const load::class_report &item : right.classes()) {
        if (findClass(left, item.phase(), item.class_()) == nullptr) {
            text += compareClass(item.phase() + " " + item.class_(), nullptr, &item);
        }
    }
    return text;
}

} // namespace

load::run_report makeRunReport(const load_statistics &statistics, const std::vector<load::phase> &phases)
{
    load::run_report report;
    report.set_replica_read_share(replicaReadShare(statistics));
    report.set_primary_load(primaryLoad(statistics));
    report.set_generator_late_ms(std::chrono::duration<double, std::milli>(statistics.maxGeneratorDelay).count());
    for (const auto &[key, counts] : statistics.classes) {
        load::class_report &added = *report.add_classes();
        added.set_class_(load::work_class_Name(key.second));
        fillClass(added, counts, phases.at(key.first));
    }
    std::size_t index = 0;
    for (const slice_statistics &counts : statistics.slices) {
        load::slice &added = *report.add_slices();
        added.set_at_seconds(std::chrono::duration<double>(sliceLength * index).count());
        added.set_done(counts.done);
        added.set_not_run(counts.notRun);
        added.set_unknown(counts.unknown);
        added.set_p99_ms(quantileOf(counts.latenciesMs, 0.99));
        ++index;
    }
    return report;
}

load::promises toReport(const check_result &result)
{
    load::promises promises;
    promises.set_stale_reads(result.staleReads);
    promises.set_lost_writes(result.lostWrites);
    promises.set_doubled_writes(result.doubledWrites);
    promises.set_cross_transaction(result.crossTransaction);
    promises.set_ran_though_not_run(result.ranThoughNotRun);
    promises.set_misattributed(result.misattributed);
    return promises;
}

bool allPromisesKept(const load::promises &promises)
{
    return promises.stale_reads() + promises.lost_writes() + promises.doubled_writes() + promises.cross_transaction()
               + promises.ran_though_not_run() + promises.misattributed()
           == 0;
}

bool withinConnectionLimits(const load::run_report &run)
{
    return std::ranges::none_of(run.databases(), [](const load::database_use &use) {
        return use.refused_connections() > 0 || use.most_connections() > use.connection_limit();
    });
}

std::string toTable(const load::report &report)
{
    std::string text =
        "profile " + report.profile() + ", deployment " + report.deployment() + ", seed " + std::to_string(report.seed()) + "\n";
    for (const load::run_report &run : report.runs()) {
        text += runLines(run);
    }
    return text;
}

std::string compareReports(const load::report &left, const load::report &right)
{
    std::string text = "profile " + left.profile() + " | " + right.profile() + "\n";
    const int runs = std::min(left.runs_size(), right.runs_size());
    for (int index = 0; index < runs; ++index) {
        text += compareRuns(left.runs(index), right.runs(index));
    }
    return text;
}

} // namespace mustardrouter
