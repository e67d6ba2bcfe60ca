#include "mustardrouter/Load/load_statistics.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

double toMillis(load_instant::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double sortedQuantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

template<typename Counts>
void countOutcome(Counts &counts, outcome kind, double latencyMs)
{
    switch (kind) {
    case outcome::done:
        ++counts.done;
        counts.latenciesMs.push_back(latencyMs);
        break;
    case outcome::notRun:
        ++counts.notRun;
        break;
    case outcome::unknown:
        ++counts.unknown;
        break;
    }
}

} // namespace

void recordAnswer(load_statistics &statistics,
                  const statement_origin &origin,
                  const wire::result &result,
                  load_instant::duration latency,
                  load_instant::duration sinceStart)
{
    const auto kind = static_cast<outcome>(result.outcome());
    const auto slice = static_cast<std::size_t>(std::max(sinceStart / sliceLength, std::int64_t{0}));
    if (statistics.slices.size() <= slice) {
        statistics.slices.resize(slice + 1);
    }
    countOutcome(statistics.slices[slice], kind, toMillis(latency));
    class_statistics &counts = statistics.classes[{origin.phase, origin.workClass}];
    countOutcome(counts, kind, toMillis(latency));
    if (kind != outcome::done) {
        ++counts.failures[std::string(toString(static_cast<failure>(result.failure())))];
        return;
    }
    ++statistics.statementsByDatabase[result.database()];
    ++(result.from_replica() ? statistics.statementsOnReplicas : statistics.statementsOnPrimaries);
    if (origin.replicaMayServe) {
        ++(result.from_replica() ? counts.replicaReads : counts.primaryReads);
    }
}

double quantileOf(std::vector<double> values, double fraction)
{
    std::ranges::sort(values);
    return sortedQuantile(values, fraction);
}

load::quantiles quantilesOf(std::vector<double> values)
{
    std::ranges::sort(values);
    load::quantiles quantiles;
    quantiles.set_p50_ms(sortedQuantile(values, 0.5));
    quantiles.set_p90_ms(sortedQuantile(values, 0.9));
    quantiles.set_p99_ms(sortedQuantile(values, 0.99));
    quantiles.set_max_ms(values.empty() ? 0 : values.back());
    return quantiles;
}

double replicaReadShare(const load_statistics &statistics)
{
    std::uint64_t replica = 0;
    std::uint64_t all = 0;
    for (const auto &[key, counts] : statistics.classes) {
        replica += counts.replicaReads;
        all += counts.replicaReads + counts.primaryReads;
    }
    return all == 0 ? 0 : static_cast<double>(replica) / static_cast<double>(all);
}

double primaryLoad(const load_statistics &statistics)
{
    const std::uint64_t all = statistics.statementsOnPrimaries + statistics.statementsOnReplicas;
    return all == 0 ? 0 : static_cast<double>(statistics.statementsOnPrimaries) / static_cast<double>(all);
}

} // namespace mustardrouter
