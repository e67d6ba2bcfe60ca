#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

/// Expected times until a database has answered, by distance, in microseconds: a statement's own
/// work and the way of the users' deployments.
constexpr double sameDataCentreMicros = 30'000;
constexpr double sameRegionMicros = 34'000;
constexpr double otherRegionMicros = 75'000;
/// What a read at the primary takes from the writes, in microseconds.
constexpr double primaryPenaltyMicros = 20'000;
/// What a read at a database with a full queue would have taken, in microseconds.
constexpr double overloadedReadMicros = 250'000;
/// Each statement of this instance that a database works on, in microseconds.
constexpr double inFlightMicros = 6'000;
/// Weight of a new time in the smoothed one.
constexpr double smoothingWeight = 0.2;
/// A smoothed time of a database that is not asked loses half of its excess in this time.
constexpr double excessHalfLifeMicros = 700'000;
/// A refusal takes this part of the share of reads away, an answer gives this much back, and each second
/// without either this much: refusals stop about where the database is just full.
constexpr double shareFactorOnOverload = 0.6;
constexpr double shareStepPerReply = 0.04;
/// An answer after this time tells of a queue that is half full, before anything is refused.
constexpr duration slowReadThreshold = std::chrono::milliseconds(220);
constexpr double shareFactorOnSlowRead = 0.9;
constexpr double shareStepPerSecond = 0.25;
constexpr double minAdmissibleShare = 0.03;
/// A replica that lacks an entry is not asked for it for this time, doubled with each time in a row.
constexpr duration missingEntryBackoff = std::chrono::milliseconds(120);
constexpr std::uint32_t maxMissingEntryDoublings = 3;
/// How strongly a shorter expected time is preferred.
constexpr double rankingExponent = 6;

std::string regionOf(const proxy_settings &settings, const std::string &dataCentre)
{
    const auto found = settings.regions.find(dataCentre);
    return found == settings.regions.end() ? std::string() : found->second;
}

double distanceMicros(const proxy_settings &settings, const std::string &dataCentre)
{
    if (dataCentre == settings.dataCentre) {
        return sameDataCentreMicros;
    }
    const bool sameRegion = regionOf(settings, dataCentre) == regionOf(settings, settings.dataCentre);
    return sameRegion ? sameRegionMicros : otherRegionMicros;
}

bool isUsable(const read_constraints &constraints, const database_name &name, const database_state &database, time_point now)
{
    const bool reachable = !database.listed.leaving && database.suspectedSince == time_point{} && now >= database.openNotBefore;
    const bool refused = std::ranges::find(*constraints.excludedDatabases, name) != constraints.excludedDatabases->end();
    const bool lacksFloor = constraints.floor && now < database.missingEntryUntil && *constraints.floor >= database.missingEntry;
    const bool isAvoidedPrimary =
        constraints.avoidOverloadedPrimary && constraints.primary == name && admissibleReadShare(database, now) < 1;
    return reachable && !refused && !lacksFloor && !isAvoidedPrimary;
}

double expectedMicros(const read_constraints &constraints,
                      const database_name &name,
                      const database_state &database,
                      const proxy_settings &settings,
                      time_point now)
{
    const double distance = distanceMicros(settings, database.listed.dataCentre);
    const auto sinceLastReadMicros = static_cast<double>((now - database.readMicrosAt).count());
    const double excess = std::max(0.0, database.readMicros - distance) * std::exp2(-sinceLastReadMicros / excessHalfLifeMicros);
    const double ownLoad = inFlightMicros * static_cast<double>(database.inFlight);
    return distance + excess + ownLoad + (constraints.primary == name ? primaryPenaltyMicros : 0);
}

void recordReadMicros(database_state &database, double micros, time_point now)
{
    const bool known = database.readMicros > 0;
    database.readMicros = known ? database.readMicros + smoothingWeight * (micros - database.readMicros) : micros;
    database.readMicrosAt = now;
}

void setAdmissibleShare(database_state &database, double share, time_point now)
{
    database.admissibleShare = std::clamp(share, minAdmissibleShare, 1.0);
    database.admissibleShareAt = now;
}

} // namespace

double admissibleReadShare(const database_state &database, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - database.admissibleShareAt).count();
    return std::min(1.0, database.admissibleShare + shareStepPerSecond * seconds);
}

void recordMissingEntry(database_state &database, log_entry floor, time_point now)
{
    database.missingEntry = floor;
    database.missingEntryUntil = now + missingEntryBackoff * (1 << std::min(database.consecutiveLagRefusals, maxMissingEntryDoublings));
    database.consecutiveLagRefusals += 1;
}

std::vector<ranked_database> rankForRead(const read_constraints &constraints,
                                         const proxy_settings &settings,
                                         time_point now,
                                         std::mt19937_64 &random)
{
    struct weighted_draw {
        ranked_database candidate;
        double key = 0;
    };
    std::vector<weighted_draw> draws;
    std::uniform_real_distribution<double> uniform(1e-9, 1.0);
    for (const auto &[name, database] : *constraints.databases) {
        if (!isUsable(constraints, name, database, now)) {
            continue;
        }
        const double expected = expectedMicros(constraints, name, database, settings, now);
        // The least of exponential times with these rates is a draw with these weights.
        const double weight = std::pow(sameDataCentreMicros / expected, rankingExponent) * admissibleReadShare(database, now);
        draws.push_back({{&database, expected}, -std::log(uniform(random)) / weight});
    }
    std::ranges::sort(draws, {}, &weighted_draw::key);
    std::vector<ranked_database> ranked;
    ranked.reserve(draws.size());
    for (const weighted_draw &entry : draws) {
        ranked.push_back(entry.candidate);
    }
    return ranked;
}

void recordReadTime(database_state &database, duration took, time_point now)
{
    recordReadMicros(database, static_cast<double>(took.count()), now);
    database.consecutiveLagRefusals = 0;
    const double share = admissibleReadShare(database, now);
    setAdmissibleShare(database, took > slowReadThreshold ? share * shareFactorOnSlowRead : share + shareStepPerReply, now);
}

void recordOverload(database_state &database, time_point now)
{
    recordReadMicros(database, overloadedReadMicros, now);
    database.overloadedAt = now;
    setAdmissibleShare(database, admissibleReadShare(database, now) * shareFactorOnOverload, now);
}

} // namespace mustardrouter
