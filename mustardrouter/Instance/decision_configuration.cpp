#include "mustardrouter/Instance/decision_thread.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Membership/relays.h"
#include "mustardrouter/Membership/rendezvous.h"
#include "mustardrouter/Network/frame_connection.h"
#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"
#include "mustardrouter/Runtime/log.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Low bits of a pool connection's number; the bits above tell groups apart.
constexpr unsigned connectionRangeBits = 40;
/// Enough candidates to fill an ownership record whichever of them claims it, plus a spare.
constexpr std::size_t candidatesPerGroup = holdersPerGroup + 2;
/// Longest time that a removed group may take to finish its work.
constexpr auto removedGroupDrainTimeout = std::chrono::seconds(10);
/// An instance list that is unchanged for this long includes the instances that started together with this one.
constexpr auto listStableFor = std::chrono::milliseconds(300);

std::map<database_name, pool_limits> limitsOf(const database_group &group)
{
    std::map<database_name, pool_limits> limits;
    for (const database &item : group.databases) {
        limits.emplace(item.name, pool_limits{item.slots, item.connections});
    }
    return limits;
}

/// Placeholder name of a seed until it introduces itself.
instance_name seedName(const std::string &address)
{
    return instance_name("seed/" + address);
}

wire::configuration_delta toWire(const configuration_delta &delta)
{
    objects::configuration_revision changes;
    toSchema(delta.changes, changes);
    wire::configuration_delta message;
    message.set_from_revision(delta.from.value());
    message.set_to_revision(delta.to.value());
    message.set_whole(delta.whole);
    if (!delta.changes.changed.empty() || !delta.changes.removed.empty()) {
        message.set_changes(writeJson(changes));
    }
    return message;
}

result_of<configuration_delta> fromWire(const wire::configuration_delta &message)
{
    configuration_delta delta{revision_number(message.from_revision()), revision_number(message.to_revision()), {}, message.whole()};
    objects::configuration_revision changes;
    if (!message.changes().empty()) {
        BOOST_LEAF_CHECK(readJson(message.changes(), "configuration delta", changes));
    }
    BOOST_LEAF_AUTO(read, fromSchema(changes));
    delta.changes = std::move(read);
    return delta;
}

} // namespace

void decision_thread::stepDistribution(const distribution_event &event)
{
    distribution_actions actions;
    step(m_distribution, event, now(), actions);
    for (const distribution_action &action : actions) {
        std::visit(
            [&](const auto &what) {
                apply(what);
            },
            action);
    }
}

void decision_thread::apply(const adopt_configuration &action)
{
    adopt(action.snapshot);
}

void decision_thread::apply(const request_changes &action)
{
    wire::peer_message message;
    message.mutable_configuration_request()->set_have_revision(action.have.value());
    sendToPeer(action.to, std::move(message));
}

void decision_thread::apply(const send_changes &action)
{
    wire::peer_message message;
    *message.mutable_configuration_delta() = toWire(action.delta);
    constexpr std::size_t envelopeBytes = 1024;
    if (message.ByteSizeLong() + envelopeBytes > maxFrameBytes) {
        // An empty delta makes the follower notice the missing revisions and read them from the platform.
        *message.mutable_configuration_delta() = toWire(configuration_delta{action.delta.to, action.delta.to, {}, false});
    }
    sendToPeer(action.to, std::move(message));
}

void decision_thread::apply(const poll_platform &)
{
    m_outputs.discovery.poll();
}

void decision_thread::apply(const watch_platform &action)
{
    m_outputs.discovery.setWatching(action.on);
}

void decision_thread::onDelta(const instance_name &from, const wire::configuration_delta &message)
{
    handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_AUTO(delta, fromWire(message));
            stepDistribution(delta_received{from, std::move(delta)});
            return true;
        },
        [&](const error &what) {
            writeLog(log_level::error,
                     "configuration",
                     "malformed configuration delta from a peer",
                     {{"from", from.value()}, {"reason", what.detail}});
            return false;
        });
}

void decision_thread::onChangesRequest(const instance_name &from, const wire::configuration_request &message)
{
    const bool isNew = !m_distribution.followers.contains(from);
    stepDistribution(changes_requested{from, revision_number(message.have_revision())});
    if (isNew && m_distribution.relay) {
        sendInstances(from);
    }
}

void decision_thread::sendInstances(const instance_name &to)
{
    wire::peer_message message;
    for (const instance_view &view : allInstances(m_directory)) {
        *message.mutable_instance_list()->add_instances() = toWire(view);
    }
    sendToPeer(to, std::move(message));
}

void decision_thread::onInstanceList(const wire::instance_list &message)
{
    // A relay reads the list from the platform.
    if (m_distribution.relay) {
        return;
    }
    std::vector<instance_view> list;
    for (const wire::instance_location &item : message.instances()) {
        list.push_back(fromWire(item));
    }
    applyInstanceList(list);
}

void decision_thread::applyInstanceList(const std::vector<instance_view> &list)
{
    mergeInstanceList(m_directory, list, now());
    if (list != m_lastList) {
        m_lastList = list;
        m_listChangedAt = now();
    }
    mergeSelfReport(m_directory, m_settings.self, now());
    refreshInstances();
}

void decision_thread::refreshInstances()
{
    mergeSelfReport(m_directory, m_settings.self, now());
    expireInstances(m_directory, now());
    // Ranking over a list that is still growing would wrongly place this instance first.
    const bool isListed = std::ranges::find(m_lastList, m_settings.self.name, &instance_view::name) != m_lastList.end();
    m_listed = m_listed || (isListed && now() - m_listChangedAt >= listStableFor);
    std::vector<instance_view> all = allInstances(m_directory);
    if (all != m_allInstances && m_distribution.relay) {
        for (const auto &[follower, askedAt] : std::map(m_distribution.followers)) {
            sendInstances(follower);
        }
    }
    m_allInstances = std::move(all);
    std::vector<instance_view> live = liveInstances(m_directory, now());
    if (live == m_liveInstances && m_listed == m_listedAtLastRanking) {
        return;
    }
    m_liveInstances = std::move(live);
    m_listedAtLastRanking = m_listed;
    for (const instance_view &view : m_liveInstances) {
        m_addresses[view.name] = view.address;
    }
    updateRankings();
    chooseSources();
}

void decision_thread::chooseSources()
{
    relay_choice choice = chooseRelays(m_liveInstances, m_settings.self);
    choice.relay = choice.relay && m_listed;
    const bool alone = choice.sources.empty() && !m_listed;
    for (const std::string &seed : m_settings.seeds) {
        if (alone && seed != m_settings.self.address) {
            m_addresses[seedName(seed)] = seed;
            choice.sources.push_back(seedName(seed));
        }
    }
    stepDistribution(sources_chosen{choice.relay, std::move(choice.sources)});
}

void decision_thread::adopt(const std::shared_ptr<const configuration_snapshot> &snapshot)
{
    m_configuration = snapshot;
    for (const auto &[name, group] : snapshot->groups) {
        adoptGroup(group_name(name), group);
    }
    for (auto &[group, engine] : m_engines) {
        if (!snapshot->groups.contains(group.value()) && !m_removedGroups.contains(group)) {
            m_removedGroups.emplace(group, now() + removedGroupDrainTimeout);
        }
    }
    dropRemovedGroups();
    m_outputs.instanceMetrics.setRevision(static_cast<double>(snapshot->revision.value()));
    updateRankings();
    stepEntry(configuration_adopted{snapshot});
    m_revision.store(snapshot->revision.value());
}

void decision_thread::adoptGroup(const group_name &key, const database_group &group)
{
    m_removedGroups.erase(key);
    const auto known = m_engines.find(key);
    if (known != m_engines.end()) {
        reconfigure(known->second, limitsOf(group));
        return;
    }
    std::vector<database_name> names;
    for (const database &item : group.databases) {
        names.push_back(item.name);
    }
    ownership_settings intervals;
    intervals.confirmReplicas = group.confirmReplicas;
    group_ownership ownership(key, m_settings.self.name, m_settings.self.address, std::move(names), intervals);
    group_engine engine(std::move(ownership), limitsOf(group), engine_settings{});
    engine.nextConnection = (m_enginesCreated << connectionRangeBits) + 1;
    ++m_enginesCreated;
    m_engines.emplace(key, std::move(engine));
    m_wakeups.set(key, time_point::min());
}

void decision_thread::dropRemovedGroups()
{
    for (auto removed = m_removedGroups.begin(); removed != m_removedGroups.end();) {
        const auto engine = m_engines.find(removed->first);
        const bool waits = engine != m_engines.end() && !isIdle(engine->second) && now() < removed->second;
        if (waits) {
            ++removed;
            continue;
        }
        if (engine != m_engines.end()) {
            for (const auto &[connection, database] : engine->second.connectionDatabases) {
                apply(removed->first, close_connection{connection});
            }
            closeControlConnections(removed->first);
            m_engines.erase(engine);
            m_wakeups.set(removed->first, time_point::max());
            writeLog(log_level::info, "configuration", "group removed", {{"group", removed->first.value()}});
        }
        removed = m_removedGroups.erase(removed);
    }
}

void decision_thread::updateRankings()
{
    // Until the platform lists this instance, the set of live instances is incomplete.
    if (!m_listed) {
        return;
    }
    std::vector<instance_name> live;
    for (const instance_view &view : m_liveInstances) {
        live.push_back(view.name);
    }
    const auto shared = std::make_shared<const std::set<instance_name>>(live.begin(), live.end());
    for (auto &[group, engine] : m_engines) {
        owner_candidates_changed changed;
        changed.liveInstances = shared;
        for (const std::size_t index : rankTopInstances(group.value(), live, candidatesPerGroup)) {
            changed.ranking.push_back({live[index], m_addresses[live[index]], {}, {}});
        }
        assumeHolders(group, changed.ranking);
        stepEngine(group, ownership_event(changed));
    }
}

/// Assumes that the highest-ranked candidates hold the group, which saves a platform read for each
/// group and entry. An instance that is not the owner replies with the owner's name.
void decision_thread::assumeHolders(const group_name &group, const std::vector<term_range> &ranking)
{
    const auto known = m_entry.owners.find(group);
    if (known != m_entry.owners.end() && !known->second.holders.empty()) {
        return;
    }
    holders_found guess{group, {}};
    for (const term_range &candidate : ranking) {
        if (guess.holders.size() < holdersPerGroup) {
            guess.holders.push_back(candidate.holder);
        }
    }
    stepEntry(guess);
}

} // namespace mustardrouter
