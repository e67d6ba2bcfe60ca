#include "UnitTests/Proxy/commit_world.h"

#include <algorithm>

namespace mustardrouter
{

using namespace std::chrono_literals;

namespace
{

constexpr duration step = 1ms;
constexpr duration network = 2ms;
constexpr duration work = 4ms;
constexpr duration promotionTime = 700ms;
constexpr duration silenceUntilUnlisted = 3600ms;
constexpr duration discoveryTime = 1000ms;
constexpr std::size_t sessionsPerInstance = 3;

proxy_settings settingsOf(const commit_conditions &conditions, std::size_t index)
{
    proxy_settings settings;
    settings.instance = "instance-" + std::to_string(index);
    settings.dataCentre = "dc-0";
    settings.regions = {{"dc-0", "r-0"}};
    settings.seed = conditions.seed * 7 + index;
    settings.replacedPrimariesStepDown = conditions.fenced;
    return settings;
}

log_entry endOf(const log_member &which)
{
    return {which.log.empty() ? term_number(1) : which.log.back().term, log_position(which.log.size())};
}

bool isSame(const member_commit &left, const member_commit &right)
{
    return left.term == right.term && left.id == right.id;
}

log_member newMember(const char *name, unsigned number)
{
    log_member added;
    added.listed.name = database_name(name);
    added.listed.group = group_name("g");
    added.listed.address = "10.0.0." + std::to_string(number) + ":1";
    added.listed.dataCentre = "dc-0";
    added.listed.slots = 3;
    added.listed.incarnation = number;
    return added;
}

} // namespace

commit_world::commit_world(const commit_conditions &chosen)
    : conditions(chosen)
    , random(chosen.seed)
{
    const char *const names[] = {"i-1a", "i-2b", "i-3c"};
    unsigned number = 1;
    for (const char *name : names) {
        members[database_name(name)] = newMember(name, number++);
    }
    member("i-1a").primary = true;
    member("i-1a").listed.reportsPrimary = true;
    listAge.resize(conditions.instances);
    for (std::size_t index = 0; index < conditions.instances; ++index) {
        instances.push_back(std::make_unique<proxy_engine>(settingsOf(conditions, index)));
    }
    publish();
    route_table table;
    table.version = revision_number(1);
    table.groups[group_name("g")] = {60, conditions.syncReplicas};
    table.routes["latest"] = {group_name("g"), read_rule::latest, 0ms, 2000ms, 600ms, 2, false};
    for (std::size_t index = 0; index < conditions.instances; ++index) {
        onConfiguration(*instances[index], table, now);
        for (std::size_t number = 1; number <= sessionsPerInstance; ++number) {
            onSessionStarted(*instances[index], session_id(number), "latest", now);
        }
        perform(index);
        for (std::size_t session = 1; session <= sessionsPerInstance; ++session) {
            events.emplace(now + 1ms * (random() % 40), [this, index, session] {
                write(index, session_id(session));
            });
        }
    }
}

log_member &commit_world::member(const char *name)
{
    return members.at(database_name(name));
}

log_member *commit_world::leader()
{
    for (auto &[name, one] : members) {
        if (one.primary && !one.replaced) {
            return &one;
        }
    }
    return nullptr;
}

void commit_world::publish()
{
    for (std::size_t index = 0; index < instances.size(); ++index) {
        database_listing listing;
        for (auto &[name, one] : members) {
            const bool isSilent = !one.running || one.dark;
            if (isSilent && now - one.silentSince > silenceUntilUnlisted) {
                continue;
            }
            if (!isSilent) {
                one.listed.reportsPrimary = one.primary;
                one.listed.sequence += 1;
            }
            listing.push_back(one.listed);
        }
        events.emplace(now + network + listAge[index], [this, index, listing] {
            onListing(*instances[index], listing, now - 100ms, now);
            perform(index);
        });
    }
}

void commit_world::runFor(duration span)
{
    for (const time_point end = now + span; now < end; now += step) {
        replicate();
        while (!events.empty() && events.begin()->first <= now) {
            const auto event = events.begin()->second;
            events.erase(events.begin());
            event();
        }
        for (std::size_t index = 0; index < instances.size(); ++index) {
            const std::optional<time_point> due = nextTimer(*instances[index]);
            if (due && *due <= now) {
                onTimer(*instances[index], now);
                perform(index);
            }
        }
        if (now.time_since_epoch() % 400ms == 0ms) {
            publish();
        }
    }
}

void commit_world::join(const char *name)
{
    log_member added = newMember(name, static_cast<unsigned>(members.size() + 10));
    if (const log_member *from = leader()) {
        added.log = from->log;
        added.term = from->term;
    }
    members[added.listed.name] = added;
    publish();
}

void commit_world::drain(const char *name)
{
    member(name).listed.leaving = true;
    publish();
}

void commit_world::crash(const char *name)
{
    log_member &which = member(name);
    which.running = false;
    which.silentSince = now;
    for (auto it = m_channels.begin(); it != m_channels.end();) {
        if (it->second.to != which.listed.name) {
            ++it;
            continue;
        }
        const channel_key key = it->first;
        it = m_channels.erase(it);
        events.emplace(now + network, [this, key] {
            onConnectionClosed(*instances[key.first], key.second, now);
            perform(key.first);
        });
    }
}

void commit_world::setDark(const char *name, bool dark)
{
    member(name).dark = dark;
    member(name).silentSince = now;
    publish();
}

void commit_world::restart(const char *name, bool keepsLog)
{
    crash(name);
    log_member &which = member(name);
    which.running = true;
    which.listed.incarnation += 100;
    which.listed.sequence = 0;
    which.pausedUntilTerm = term_number{};
    which.linkSince = time_point{};
    which.primary = false;
    if (!keepsLog) {
        which.log.clear();
        which.startedEmptyAt = now;
        m_promoted = m_promoted == which.listed.name ? database_name() : m_promoted;
    }
    publish();
}

std::size_t commit_world::acknowledgedWithin(duration span) const
{
    return static_cast<std::size_t>(std::ranges::count_if(acknowledged, [&](const auto &commit) {
        return commit.second >= now - span;
    }));
}

bool commit_world::isReachable(const log_member &which, std::size_t instance) const
{
    return which.running && !which.dark && !which.cutFrom.contains(instance);
}

bool commit_world::isConfirmed(const log_member &primary, std::size_t index) const
{
    const auto holds = std::ranges::count_if(members, [&](const auto &entry) {
        const log_member &one = entry.second;
        return &one != &primary && one.log.size() > index && isSame(one.log[index], primary.log[index]);
    });
    return static_cast<std::uint32_t>(holds) >= conditions.syncReplicas;
}

void commit_world::receive(log_member &replica, const log_member &from)
{
    std::size_t common = std::min(replica.log.size(), from.log.size());
    while (common > 0 && !isSame(replica.log[common - 1], from.log[common - 1])) {
        --common;
    }
    replica.log.resize(common);
    while (replica.log.size() < from.log.size()) {
        const member_commit &next = from.log[replica.log.size()];
        if (std::max(next.at, replica.linkSince) + replica.delay > now) {
            break;
        }
        replica.log.push_back(next);
    }
    replica.term = std::max(replica.term, from.term);
}

void commit_world::replicate()
{
    const log_member *from = leader();
    for (auto &[name, one] : members) {
        const bool inReach = from != nullptr && from->running && !from->dark && one.running && !one.dark && !one.deaf;
        if (one.replaced && inReach && now - one.linkSince > discoveryTime) {
            one.primary = false;
            one.replaced = false;
        }
        if (!inReach || one.pausedUntilTerm != term_number{}) {
            one.linkSince = time_point{};
            continue;
        }
        one.linkSince = one.linkSince == time_point{} ? now : one.linkSince;
        if (!one.primary) {
            receive(one, *from);
        }
    }
}

void commit_world::promote(const database_name &name, time_point orderedAt)
{
    const auto found = members.find(name);
    if (found == members.end() || !found->second.running || found->second.dark || (found->second.primary && !found->second.replaced)) {
        return;
    }
    log_member &chosen = found->second;
    term_number highest;
    for (auto &[other, one] : members) {
        highest = std::max({highest, one.term, one.pausedUntilTerm});
        one.pausedUntilTerm = term_number{};
        if (!one.primary || &one == &chosen) {
            continue;
        }
        one.primary = !conditions.fenced;
        one.replaced = !conditions.fenced;
        one.linkSince = now;
    }
    chosen.primary = true;
    chosen.replaced = false;
    chosen.term = term_number(highest.value() + 1);
    promotions += 1;
    m_promoted = name;
    if (chosen.startedEmptyAt > orderedAt) {
        // Nobody can take an order back whose database loses its log before it is carried out.
        m_promoted = database_name();
        acknowledged.clear();
    }
    for (const auto &[id, at] : acknowledged) {
        checkAcknowledged(id);
    }
    publish();
}

void commit_world::checkAcknowledged(const std::string &id)
{
    const auto promoted = members.find(m_promoted);
    if (conditions.syncReplicas == 0 || promoted == members.end()) {
        return;
    }
    const bool isKept = std::ranges::any_of(promoted->second.log, [&](const member_commit &commit) {
        return commit.id == id;
    });
    if (!isKept) {
        lost.push_back(id + " is not in the log of " + m_promoted.value());
    }
}

void commit_world::write(std::size_t instance, session_id session)
{
    client_statement statement;
    statement.id = "w" + std::to_string(m_nextId++);
    statement.verb = client_verb::write;
    statement.text = "WRITE x 1";
    m_sent[{instance, session.value()}] = statement.id;
    onStatement(*instances[instance], session, statement, now);
    perform(instance);
}

void commit_world::perform(std::size_t instance)
{
    while (!instances[instance]->actions.empty()) {
        const std::vector<proxy_action> actions = std::exchange(instances[instance]->actions, {});
        for (const proxy_action &action : actions) {
            performOne(instance, action);
        }
    }
}

void commit_world::performOne(std::size_t instance, const proxy_action &action)
{
    proxy_engine &engine = *instances[instance];
    if (const auto *replied = std::get_if<reply_to_client>(&action)) {
        const session_id session = replied->session;
        if (replied->reply.code == reply_code::done) {
            const std::string &id = m_sent.at({instance, session.value()});
            acknowledged[id] = now;
            checkAcknowledged(id);
            if (committedByReplaced.contains(id)) {
                acknowledgedOfReplaced.push_back(id);
            }
        }
        events.emplace(now + 15ms, [this, instance, session] {
            write(instance, session);
        });
    } else if (const auto *open = std::get_if<open_database_connection>(&action)) {
        const channel_key key{instance, open->connection};
        const database_name to = open->database;
        events.emplace(now + network * 3, [this, key, to] {
            const auto found = members.find(to);
            if (found == members.end() || !found->second.running) {
                onConnectionClosed(*instances[key.first], key.second, now);
            } else if (isReachable(found->second, key.first)) {
                m_channels[key] = {key.first, key.second, to, {}, false, false};
                onConnectionOpened(*instances[key.first], key.second, now);
            }
            perform(key.first);
        });
    } else if (const auto *sent = std::get_if<send_commands>(&action)) {
        const channel_key key{instance, sent->connection};
        events.emplace(now + network, [this, key, commands = sent->commands] {
            const auto found = m_channels.find(key);
            if (found == m_channels.end() || !isReachable(members.at(found->second.to), key.first)) {
                return;
            }
            for (const database_command &command : commands) {
                found->second.queue.emplace_back(command, true);
            }
            runNext(key);
        });
    } else if (const auto *closed = std::get_if<close_database_connection>(&action)) {
        m_channels.erase({instance, closed->connection});
    } else if (const auto *read = std::get_if<read_claim>(&action)) {
        events.emplace(now + 4ms, [this, &engine, instance, group = read->group] {
            storeDown ? onClaimReadFailed(engine, group, now) : onClaimRead(engine, group, claim, now);
            perform(instance);
        });
    } else if (const auto *verified = std::get_if<verify_claim>(&action)) {
        const time_point requestedAt = now;
        events.emplace(now + 2ms, [this, &engine, instance, requestedAt, group = verified->group] {
            const std::optional<promotion_claim> read = storeDown ? std::nullopt : std::optional(claim);
            events.emplace(now + 2ms, [this, &engine, instance, requestedAt, group, read] {
                onClaimVerified(engine, group, read, requestedAt, now);
                perform(instance);
            });
        });
    } else if (const auto *written = std::get_if<write_claim>(&action)) {
        events.emplace(now + 4ms, [this, &engine, instance, write = *written] {
            if (storeDown || write.expected != claim.position) {
                onClaimWriteFailed(engine, write.group, now);
            } else {
                claim = {{store_era{}, store_revision(++storeRevision)}, write.term, write.successor, write.unsettledSuccessors};
                onClaimWritten(engine, write.group, claim.position, now);
            }
            perform(instance);
        });
    } else if (const auto *ordered = std::get_if<order_promotion>(&action)) {
        order(instance, *ordered);
    }
}

void commit_world::order(std::size_t instance, const order_promotion &given)
{
    orders += 1;
    const bool isLate = conditions.ordersLateBy > duration{};
    events.emplace(now + network + conditions.ordersLateBy, [this, instance, given, isLate] {
        const auto found = members.find(given.successor);
        const bool runs = found != members.end() && found->second.running && !found->second.dark;
        const bool accepted = runs && (!conditions.fenced || given.fence.value() >= highestFence);
        highestFence = std::max(highestFence, static_cast<std::uint64_t>(given.fence.value()));
        if (accepted) {
            events.emplace(now + promotionTime, [this, given, orderedAt = now] {
                promote(given.successor, orderedAt);
            });
        }
        if (!isLate) {
            onPromotionReply(*instances[instance], given.group, accepted, now);
            perform(instance);
        }
    });
    if (isLate) {
        events.emplace(now + 1000ms, [this, instance, given] {
            onPromotionReply(*instances[instance], given.group, false, now);
            perform(instance);
        });
    }
}

void commit_world::runNext(const channel_key &key)
{
    const auto found = m_channels.find(key);
    if (found == m_channels.end() || found->second.busy || found->second.queue.empty()) {
        return;
    }
    channel &which = found->second;
    which.busy = true;
    const database_command command = which.queue.front().first;
    which.queue.pop_front();
    const bool takesSlot = command.kind == command_kind::forward || command.kind == command_kind::status;
    events.emplace(now + (takesSlot ? work : duration{}), [this, key, command] {
        if (m_channels.contains(key)) {
            execute(key, command);
        }
    });
}

void commit_world::answer(const channel_key &key, database_reply reply)
{
    const auto found = m_channels.find(key);
    if (found == m_channels.end()) {
        return;
    }
    log_member &from = members.at(found->second.to);
    reply.position = endOf(from);
    reply.state = found->second.inTransaction ? transaction_state::open : transaction_state::none;
    found->second.busy = false;
    if (isReachable(from, key.first)) {
        events.emplace(now + network, [this, key, reply] {
            onDatabaseReply(*instances[key.first], key.second, reply, now);
            perform(key.first);
        });
    }
    runNext(key);
}

void commit_world::awaitReplicas(const channel_key &key, const database_name &at, std::size_t index, const std::string &id)
{
    const log_member &primary = members.at(at);
    database_reply reply;
    const bool isThere = primary.running && primary.log.size() > index && primary.log[index].id == id;
    if (isThere && isConfirmed(primary, index)) {
        reply.signature = "signed " + id;
        answer(key, reply);
        return;
    }
    if (!primary.primary || !isThere) {
        reply.code = reply_code::failed;
        answer(key, reply);
        return;
    }
    events.emplace(now + step, [this, key, at, index, id] {
        awaitReplicas(key, at, index, id);
    });
}

void commit_world::execute(const channel_key &key, const database_command &command)
{
    channel &from = m_channels.at(key);
    log_member &at = members.at(from.to);
    database_reply reply;
    switch (command.kind) {
    case command_kind::begin:
        from.inTransaction = at.primary;
        reply.code = at.primary ? reply_code::done : reply_code::readOnly;
        break;
    case command_kind::rollback:
        from.inTransaction = false;
        break;
    case command_kind::forward:
        if (!at.primary) {
            reply.code = reply_code::readOnly;
            break;
        }
        at.log.push_back({at.term, command.id, now});
        if (at.replaced) {
            committedByReplaced.insert(command.id);
        }
        awaitReplicas(key, from.to, at.log.size() - 1, command.id);
        return;
    case command_kind::pause:
        at.pausedUntilTerm = !at.primary && command.term > at.term ? command.term : at.pausedUntilTerm;
        break;
    case command_kind::resume:
        at.pausedUntilTerm = term_number{};
        break;
    case command_kind::stepDown:
        if (at.term < command.term) {
            at.primary = false;
            at.replaced = false;
        }
        break;
    default:
        break;
    }
    const bool isStatus = command.kind == command_kind::status || command.kind == command_kind::pause
                          || command.kind == command_kind::resume || command.kind == command_kind::stepDown;
    if (isStatus) {
        database_status status;
        status.primary = at.primary;
        status.term = at.term;
        status.received = endOf(at);
        status.pausedUntilTerm = at.pausedUntilTerm;
        reply.status = status;
        reply.rows = {"status"};
    }
    answer(key, reply);
}

} // namespace mustardrouter
