#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Expected times until a database has answered, by distance, in microseconds: a statement's own
/// work and the way of the users' deployments.
constexpr double nearMicros = 30'000;
constexpr double sameRegionMicros = 35'000;
constexpr double farMicros = 75'000;
/// What a read at the primary takes from the writes, in microseconds.
constexpr double primaryMicros = 20'000;
/// A database that is full now.
constexpr double fullMicros = 100'000;

std::string regionOf(const proxy_settings &settings, const std::string &dataCentre)
{
    const auto found = settings.regions.find(dataCentre);
    return found == settings.regions.end() ? std::string() : found->second;
}

double distanceMicros(const proxy_settings &settings, const std::string &dataCentre)
{
    if (dataCentre == settings.dataCentre) {
        return nearMicros;
    }
    const bool sameRegion = regionOf(settings, dataCentre) == regionOf(settings, settings.dataCentre);
    return sameRegion ? sameRegionMicros : farMicros;
}

} // namespace

std::vector<ranked_database> rankForRead(const read_choice &choice, const proxy_settings &settings, time_point now)
{
    std::vector<ranked_database> ranked;
    for (const auto &[name, database] : *choice.databases) {
        if (database.listed.leaving || database.suspectedAt != time_point{} || now < database.openAfter) {
            continue;
        }
        if (std::ranges::find(*choice.avoid, name) != choice.avoid->end()) {
            continue;
        }
        // A time seen at this database counts more than the guess from the distance, but never pulls
        // reads to another region for a few milliseconds.
        double expected = std::max(distanceMicros(settings, database.listed.dataCentre), database.readMicros);
        expected += choice.lead == name ? primaryMicros : 0;
        expected += now < database.fullUntil ? fullMicros : 0;
        ranked.push_back({&database, expected});
    }
    std::ranges::sort(ranked, {}, &ranked_database::expectedMicros);
    return ranked;
}

} // namespace mustardrouter
