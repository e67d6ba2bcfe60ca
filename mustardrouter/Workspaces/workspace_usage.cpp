#include "mustardrouter/Workspaces/workspace_usage.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mustardrouter
{

namespace
{

/// Time after which an operation has lost two thirds of its weight; the window of the users' limits.
constexpr double recentSeconds = 5;

double recentAt(const workspace_usage &usage, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - usage.recentAt).count();
    return usage.recentOperations * std::exp(-std::max(0.0, seconds) / recentSeconds);
}

std::uint64_t totalOf(const workspace_usage &usage)
{
    return std::accumulate(usage.refusalsByReason.begin(), usage.refusalsByReason.end(), usage.operations, [](auto sum, const auto &one) {
        return sum + one.second;
    });
}

/// Adds counts. The rate is left out.
template<typename Sum>
void add(Sum &sum, const workspace_usage &usage)
{
    sum.operations += usage.operations;
    for (const auto &[reason, count] : usage.refusalsByReason) {
        sum.refusalsByReason[reason] += count;
    }
}

/// Adds a workspace. Until `finish`, the share is that of operations per second.
void add(workspace_figures &figures, const workspace_usage &usage, const workspace &configured, time_point now)
{
    add(figures, usage);
    if (configured.limit) {
        figures.limit += configured.limit->operationsPerSecond;
        figures.shareInUse += recentAt(usage, now) / recentSeconds;
    }
}

void finish(workspace_figures &figures)
{
    figures.shareInUse = figures.limit > 0 ? figures.shareInUse / figures.limit : 0;
}

} // namespace

void countOperation(workspace_usage_table &usage, const workspace_name &name, time_point now)
{
    if (name.value().empty()) {
        return;
    }
    workspace_usage &counted = usage.byName[name];
    counted.operations += 1;
    counted.recentOperations = recentAt(counted, now) + 1;
    counted.recentAt = now;
}

void countRefusal(workspace_usage_table &usage, const workspace_name &name, std::string_view reason)
{
    if (!name.value().empty()) {
        usage.byName[name].refusalsByReason[reason] += 1;
    }
}

void forgetRemovedWorkspaces(workspace_usage_table &usage, const workspace_table &configured)
{
    std::erase_if(usage.byName, [&](const auto &entry) {
        if (configured.workspaces.contains(entry.first)) {
            return false;
        }
        add(usage.former, entry.second);
        return true;
    });
}

std::vector<workspace_figures> figuresOf(const workspace_usage_table &usage, const workspace_table &configured, time_point now)
{
    std::vector<workspace_figures> figures;
    if (!configured.enabled) {
        return figures;
    }
    struct ranked_workspace {
        const workspace *configured;
        workspace_usage usage;
        std::uint64_t total;
    };
    std::vector<ranked_workspace> ranked;
    for (const auto &[name, one] : configured.workspaces) {
        const auto found = usage.byName.find(name);
        const workspace_usage used = found == usage.byName.end() ? workspace_usage{} : found->second;
        ranked.push_back({&one, used, totalOf(used)});
    }
    std::ranges::stable_sort(ranked, std::ranges::greater(), &ranked_workspace::total);
    workspace_figures others;
    others.label = "all others";
    add(others, usage.former);
    for (const ranked_workspace &one : ranked) {
        if (figures.size() + 1 < maxWorkspaceLabels) {
            workspace_figures own;
            own.label = one.configured->name.value();
            add(own, one.usage, *one.configured, now);
            finish(own);
            figures.push_back(std::move(own));
        } else {
            add(others, one.usage, *one.configured, now);
        }
    }
    finish(others);
    figures.push_back(std::move(others));
    return figures;
}

} // namespace mustardrouter
