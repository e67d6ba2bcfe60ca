#include "mustardrouter/Proxy/engine_limits.h"
#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <utility>

/// What the engine still believes after the store has returned from an older copy; see docs/design/0018-store-history.md.
namespace mustardrouter
{

namespace
{

using namespace proxying;

bool isListed(const instance_listing &instances, const instance_name &name)
{
    return std::ranges::find(instances, name, &listed_instance::name) != instances.end();
}

void useInstances(proxy_engine &engine, instance_listing instances, time_point now)
{
    if (engine.instances == instances) {
        return;
    }
    engine.instances = std::move(instances);
    engine.instanceListNumber += 1;
    updateHolders(engine);
    updateLimitInstances(engine, now);
    dispatchReadyGroups(engine, now);
}

void beginEra(proxy_engine &engine, store_era era, time_point now)
{
    engine.storeEra = era;
    engine.storeEraSince = now;
    for (auto &[name, group] : engine.groups) {
        group.verification.claimsCompleteFrom = claimsCompleteFrom(engine);
    }
}

} // namespace

void onFirstStoreEra(proxy_engine &engine, store_era era, time_point now)
{
    beginEra(engine, era, now);
}

void onStoreHistoryLost(proxy_engine &engine, store_era era, time_point now)
{
    reportEvent(engine, "store_history_lost", {{"era", std::to_string(era.value())}, {"before", std::to_string(engine.storeEra.value())}});
    beginEra(engine, era, now);
    engine.storeHistoryLost = true;
    engine.counters.storeHistoriesLost += 1;
    for (auto &[name, group] : engine.groups) {
        group.verification.claim = promotion_claim{};
        group.verification.claimRequestedAt = time_point{};
        scheduleGroupCheck(engine, group, promotionsAllowedFrom(engine));
    }
}

void onInstances(proxy_engine &engine, const instance_listing &instances, time_point now)
{
    const time_point rewrittenAt = engine.storeEraSince + engine.settings.entriesRewrittenWithin;
    if (!engine.storeHistoryLost || now >= rewrittenAt) {
        engine.incompleteInstances.reset();
        useInstances(engine, instances, now);
        return;
    }
    instance_listing merged = instances;
    for (const listed_instance &known : engine.instances) {
        if (!isListed(instances, known.name)) {
            merged.push_back(known);
        }
    }
    std::ranges::sort(merged, {}, &listed_instance::name);
    engine.incompleteInstances = instances;
    scheduleTimer(engine, rewrittenAt, timer_kind::instances, 0);
    useInstances(engine, std::move(merged), now);
}

namespace proxying
{

time_point claimsCompleteFrom(const proxy_engine &engine)
{
    return engine.storeEra == store_era{} ? time_point{} : engine.storeEraSince + engine.settings.orderSettlingTime;
}

time_point promotionsAllowedFrom(const proxy_engine &engine)
{
    return engine.storeHistoryLost ? engine.storeEraSince + engine.settings.promotionTimeout : time_point{};
}

void dropLostInstances(proxy_engine &engine, time_point now)
{
    if (engine.incompleteInstances && now >= engine.storeEraSince + engine.settings.entriesRewrittenWithin) {
        const instance_listing instances = *std::exchange(engine.incompleteInstances, std::nullopt);
        useInstances(engine, instances, now);
    }
}

} // namespace proxying

} // namespace mustardrouter
