#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

/// Expected times to a reply by distance, in microseconds: a statement's execution time plus the network delays of the
/// users' deployments.
constexpr double sameDataCentreMicros = 30'000;
constexpr double sameRegionMicros = 34'000;
constexpr double otherRegionMicros = 75'000;
/// Penalty for a read at the primary, where it competes with writes, in microseconds.
constexpr double primaryPenaltyMicros = 20'000;
/// Duration that is recorded for a read refused by a full queue, in microseconds.
constexpr double overloadedReadMicros = 250'000;
/// Expected delay by each statement of this instance that a database is running, in microseconds.
constexpr double inFlightMicros = 6'000;
/// Weight of a new duration in the smoothed one.
constexpr double smoothingWeight = 0.2;
/// Half-life of the smoothed duration's excess over the expected one while the database gets no reads.
constexpr double excessHalfLifeMicros = 700'000;
/// The admissible share increases additively, with each reply and each second, and decreases multiplicatively with
/// each refusal: refusals stop about where the database is just full.
constexpr double shareFactorOnOverload = 0.6;
constexpr double shareStepPerReply = 0.04;
/// A read that takes longer, and longer than its work by this factor, indicates a half-full queue, before anything is refused.
constexpr duration slowReadThreshold = std::chrono::milliseconds(220);
constexpr int slowReadFactor = 2;
/// Time in which the shortest duration counts twice as much, unless a shorter one is seen: the work may have become longer.
constexpr double shortestDoublesIn = 30e6;
constexpr double shareFactorOnSlowRead = 0.9;
constexpr double shareStepPerSecond = 0.25;
constexpr double minAdmissibleShare = 0.03;
/// Reads that need a missing entry avoid the replica for this time, doubled with each consecutive refusal.
constexpr duration missingEntryBackoff = std::chrono::milliseconds(120);
constexpr std::uint32_t maxMissingEntryDoublings = 3;
/// Exponent of the weight; a larger one prefers shorter expected times more strongly.
constexpr double rankingExponent = 6;

double distanceMicros(const proxy_settings &settings, const std::string &dataCentre)
{
    if (dataCentre == settings.dataCentre) {
        return sameDataCentreMicros;
    }
    return isInOwnRegion(settings, dataCentre) ? sameRegionMicros : otherRegionMicros;
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

bool isInOwnRegion(const proxy_settings &settings, const std::string &dataCentre)
{
    const auto other = settings.regions.find(dataCentre);
    const auto own = settings.regions.find(settings.dataCentre);
    return other != settings.regions.end() && own != settings.regions.end() && other->second == own->second;
}

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
        // The smallest of exponentially distributed keys with these rates is a random draw with these weights.
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

duration recordShortestRead(shortest_read &shortest, duration took, time_point now)
{
    const auto ageMicros = static_cast<double>((now - shortest.at).count());
    const double aged = static_cast<double>(shortest.took.count()) * std::exp2(std::min(ageMicros / shortestDoublesIn, 10.0));
    if (shortest.at == time_point{} || static_cast<double>(took.count()) <= aged) {
        shortest = {took, now};
        return took;
    }
    return duration(static_cast<std::int64_t>(aged));
}

void recordReadTime(database_state &database, duration took, time_point now, duration work)
{
    recordReadMicros(database, static_cast<double>(took.count()), now);
    database.consecutiveLagRefusals = 0;
    const double share = admissibleReadShare(database, now);
    const bool slow = took > std::max(slowReadThreshold, work * slowReadFactor);
    setAdmissibleShare(database, slow ? share * shareFactorOnSlowRead : share + shareStepPerReply, now);
}

void recordOverload(database_state &database, time_point now)
{
    recordReadMicros(database, overloadedReadMicros, now);
    database.overloadedAt = now;
    setAdmissibleShare(database, admissibleReadShare(database, now) * shareFactorOnOverload, now);
}

} // namespace mustardrouter
