#include "UnitTests/Proxy/proxy_world.h"

#include <algorithm>

/// The part of the simulation that promotes databases.
namespace mustardrouter
{

using namespace std::chrono_literals;

void proxy_world::promote(const database_name &name)
{
    fake_database &chosen = databases.at(name);
    const group_name group = chosen.listed.group;
    if (chosen.primary && &chosen == &primary(group)) {
        return;
    }
    term_number highest;
    for (auto &[other, database] : databases) {
        if (database.listed.group != group) {
            continue;
        }
        highest = std::max({highest, database.term, database.pausedUntilTerm});
        database.pausedUntilTerm = term_number{};
    }
    for (const auto &[due, commit] : chosen.pendingCommits) {
        chosen.log.push_back(commit);
    }
    chosen.pendingCommits.clear();
    std::set<std::string> kept;
    for (const fake_commit &commit : chosen.log) {
        kept.insert(commit.id);
    }
    for (auto &[other, database] : databases) {
        if (database.listed.group != group) {
            continue;
        }
        for (const fake_commit &commit : database.log) {
            if (!kept.contains(commit.id)) {
                rolledBack.insert(commit.id);
            }
        }
        for (const auto &[due, commit] : database.pendingCommits) {
            if (!kept.contains(commit.id)) {
                rolledBack.insert(commit.id);
            }
        }
        if (replacedPrimariesContinue && database.primary && other != name) {
            continue;
        }
        database.primary = false;
        database.pendingCommits.clear();
        if (database.log.size() > chosen.log.size() || other != name) {
            database.log = chosen.log;
        }
    }
    chosen.primary = true;
    chosen.term = term_number(highest.value() + 1);
    if (replacedPrimariesContinue) {
        events.emplace(now + 1s, [this, group] {
            for (auto &[other, database] : databases) {
                const bool told = database.listed.group == group && !database.partitioned && !database.unresponsive;
                if (told && !primary(group).unresponsive) {
                    stepDown(database);
                }
            }
        });
    }
}

void proxy_world::promoteFromOtherInstance(const database_name &name)
{
    if (storeUnavailable) {
        return;
    }
    const std::vector<database_name> unsettled = unsettledAfter(claim, primary().listed.name == claim.successor);
    claim = {nextPosition(), std::max(claim.term, primary().term), name, unsettled};
    events.emplace(now + promotionTime, [this, name] {
        if (!databases.at(name).unresponsive) {
            promote(name);
        }
    });
}

store_position proxy_world::nextPosition()
{
    lastStorePosition.revision = store_revision(lastStorePosition.revision.value() + 1);
    return lastStorePosition;
}

void proxy_world::loseStoreHistory()
{
    lastStorePosition = {store_era(lastStorePosition.era.value() + 1), store_revision(5)};
    claim = promotion_claim{};
    claim.position.era = lastStorePosition.era;
    onStoreHistoryLost(engine, lastStorePosition.era, now);
    if (entry) {
        onStoreHistoryLost(*entry, lastStorePosition.era, now);
    }
    performActions();
}

void proxy_world::stepDown(fake_database &database)
{
    if (!database.primary || &database == &primary(database.listed.group)) {
        return;
    }
    database.primary = false;
    database.pendingCommits.clear();
    database.log = primary(database.listed.group).log;
    database.term = primary(database.listed.group).term;
}

} // namespace mustardrouter
