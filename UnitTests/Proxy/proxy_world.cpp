#include "UnitTests/Proxy/proxy_world.h"

#include <algorithm>

namespace mustardrouter
{

using namespace std::chrono_literals;

namespace
{

proxy_settings settingsOf(std::uint64_t seed)
{
    proxy_settings settings;
    settings.instance = "instance-1";
    settings.dataCentre = "dc-0";
    settings.regions = {{"dc-0", "r-0"}, {"dc-1", "r-1"}, {"dc-2", "r-2"}};
    settings.seed = seed;
    return settings;
}

log_entry endOf(const fake_database &database)
{
    const term_number term = database.log.empty() ? term_number(1) : database.log.back().term;
    return {term, log_position(database.log.size())};
}

bool impliesNotCommitted(reply_code code)
{
    return code == reply_code::busy || code == reply_code::aborted || code == reply_code::lagging || code == reply_code::readOnly
           || code == reply_code::misrouted || code == reply_code::tooManyConnections;
}

} // namespace

proxy_world::proxy_world(std::uint64_t seed)
    : engine(settingsOf(seed))
    , random(seed)
{
}

void proxy_world::addGroup(const std::string &group, const std::string &prefix)
{
    for (int index = 0; index < 3; ++index) {
        fake_database database;
        database.listed.name = database_name(prefix + std::to_string(index));
        database.listed.group = group_name(group);
        database.listed.address = "10.0.0." + std::to_string(databases.size() + 1) + ":1";
        database.listed.dataCentre = "dc-" + std::to_string(index);
        database.listed.slots = 3;
        database.listed.reportsPrimary = index == 0;
        database.listed.incarnation = 1;
        database.primary = index == 0;
        database.networkDelay = index == 0 ? 1ms : 20ms;
        databases[database.listed.name] = database;
    }
    publishListing();
}

void proxy_world::publishListing(duration age)
{
    database_listing listing;
    for (const auto &[name, database] : databases) {
        listing.push_back(database.listed);
    }
    onListing(engine, listing, now - age, now);
    if (entry) {
        onListing(*entry, listing, now - age, now);
    }
    performActions();
}

void proxy_world::configure(std::uint64_t version)
{
    configure(engine, version);
    if (entry) {
        configure(*entry, version);
    }
}

void proxy_world::configure(proxy_engine &instance, std::uint64_t version)
{
    route_table table;
    table.version = revision_number(version);
    table.groups[group_name("g")] = {connectionLimit, 0};
    const auto add = [&](const char *name, read_rule rule, duration maxAge) {
        const auto moved = groupByRoute.find(name);
        const group_name group = moved == groupByRoute.end() ? group_name("g") : moved->second;
        table.groups[group] = {connectionLimit, 0};
        const auto changed = ruleByRoute.find(name);
        table.routes[name] = {group, changed == ruleByRoute.end() ? rule : changed->second, maxAge, 1000ms, 600ms, 2, false};
    };
    add("latest", read_rule::latest, 0ms);
    add("session", read_rule::session, 2500ms);
    add("age", read_rule::age, 1500ms);
    add("open", read_rule::age, 2500ms);
    table.routes["open"].isPublic = true;
    table.workspaces = workspaces;
    onConfiguration(instance, table, now);
    performActions();
}

void proxy_world::runFor(duration span)
{
    const time_point end = now + span;
    while (true) {
        const std::optional<time_point> own = holderStandsStill ? std::nullopt : nextTimer(engine);
        const std::optional<time_point> other = entry ? nextTimer(*entry) : std::nullopt;
        const bool hasEvent = !events.empty();
        const time_point next = std::min({own.value_or(end), other.value_or(end), hasEvent ? events.begin()->first : end});
        if (next >= end) {
            break;
        }
        now = std::max(now, next);
        if (hasEvent && events.begin()->first <= now) {
            const auto event = events.begin()->second;
            events.erase(events.begin());
            event();
        } else {
            if (!holderStandsStill) {
                onTimer(engine, now);
            }
            if (entry) {
                onTimer(*entry, now);
            }
        }
        performActions();
    }
    now = end;
}

fake_client &proxy_world::connect(const std::string &database, const std::string &key)
{
    const session_id id(nextSession++);
    fake_client &client = clients[id];
    client.id = id;
    client.database = database;
    client.key = api_key(key);
    onSessionStarted(engine, id, database, now, client.key);
    performActions();
    return client;
}

void proxy_world::send(fake_client &client, client_verb verb, const std::string &name, const std::string &value, bool writes)
{
    client_statement statement;
    statement.id = "q" + std::to_string(nextId++);
    statement.verb = verb;
    statement.name = name;
    statement.value = value;
    statement.writes = writes;
    statement.text = verb == client_verb::commit ? "COMMIT" : verb == client_verb::write ? "WRITE " + name + " " + value : "READ " + name;
    client.sent = statement;
    m_sentIds.insert(statement.id);
    m_senders[statement.id] = client.id;
    client.sentAt = now;
    client.awaitsReply = true;
    onStatement(engineOf(client.id), client.id, statement, now);
    performActions();
}

client_reply proxy_world::sendAndWait(fake_client &client, client_verb verb, const std::string &name, const std::string &value, bool writes)
{
    const std::size_t before = client.replies.size();
    send(client, verb, name, value, writes);
    for (int steps = 0; steps < 2000 && client.replies.size() == before && !client.closed; ++steps) {
        runFor(5ms);
    }
    if (client.replies.size() == before) {
        violations.emplace_back("no reply to " + client.sent.id);
        return {};
    }
    return client.replies.back().reply;
}

fake_database &proxy_world::primary(const group_name &group)
{
    fake_database *newest = nullptr;
    for (auto &[name, database] : databases) {
        if (database.listed.group == group && database.primary && (newest == nullptr || database.term > newest->term)) {
            newest = &database;
        }
    }
    return newest == nullptr ? databases.begin()->second : *newest;
}

promotion_claim &proxy_world::claimOf(const group_name &group)
{
    return group == group_name("g") ? claim : m_otherClaims[group];
}

void proxy_world::writeFromOtherInstance(const group_name &group)
{
    if (primary(group).unresponsive || !primary(group).primary) {
        return;
    }
    const std::string id = "elsewhere-" + std::to_string(nextId++);
    applyPendingCommits(primary(group));
    append(primary(group), id);
    acknowledged.push_back({id, session_id(0), now});
}

void proxy_world::crash(fake_database &database)
{
    database.unresponsive = true;
    database.connections.clear();
}

void proxy_world::resetConnections(fake_database &database)
{
    std::vector<database_connection_id> reset;
    for (const auto &[connection, fake] : database.connections) {
        reset.push_back(connection);
    }
    for (const database_connection_id connection : reset) {
        database.mutedConnections.insert(connection);
        onConnectionClosed(engineOf(connection), connection, now);
        performActions();
    }
}

void proxy_world::restart(fake_database &database)
{
    if (!database.unresponsive) {
        return;
    }
    database.unresponsive = false;
    database.primary = database.primary && &database == &primary(database.listed.group);
    if (!database.primary) {
        database.log = primary(database.listed.group).log;
        database.pendingCommits.clear();
    }
}

std::map<std::string, int> proxy_world::committed()
{
    std::map<std::string, int> counts;
    std::set<group_name> groups;
    for (const auto &[name, database] : databases) {
        groups.insert(database.listed.group);
    }
    for (const group_name &group : groups) {
        for (const fake_commit &commit : primary(group).log) {
            ++counts[commit.id];
        }
    }
    return counts;
}

void proxy_world::performActions()
{
    const auto pending = [this] {
        return !engine.actions.empty() || (entry && !entry->actions.empty());
    };
    while (pending()) {
        for (proxy_engine *from : {&engine, entry.get()}) {
            if (from == nullptr) {
                continue;
            }
            std::vector<proxy_action> actions = std::exchange(from->actions, {});
            for (proxy_action &action : actions) {
                observeCallers(*from, action);
                if (!performRelayed(action)) {
                    perform(*from, action);
                }
            }
        }
    }
}

void proxy_world::perform(proxy_engine &from, proxy_action &action)
{
    proxy_engine *const owner = &from;
    if (auto *report = std::get_if<report_event>(&action)) {
        reports[report->event] += 1;
    } else if (auto *accepted = std::get_if<accept_session>(&action)) {
        clients.at(accepted->session).accepted = true;
    } else if (auto *closed = std::get_if<close_session>(&action)) {
        clients.at(closed->session).closed = true;
        clients.at(closed->session).closedWith = closed->code;
    } else if (auto *replied = std::get_if<reply_to_client>(&action)) {
        fake_client &client = clients.at(replied->session);
        checkReply(client, replied->reply);
        client.replies.push_back({client.sent, replied->reply, now});
        client.awaitsReply = false;
    } else if (auto *open = std::get_if<open_database_connection>(&action)) {
        databaseByConnection[open->connection] = open->database;
        const database_connection_id connection = open->connection;
        const auto found = databases.find(open->database);
        if (found == databases.end() || found->second.unresponsive) {
            return;
        }
        events.emplace(now + found->second.networkDelay * 2 + found->second.openingTime, [this, connection] {
            fake_database &database = databases.at(databaseByConnection.at(connection));
            if (!database.unresponsive) {
                database.connections[connection] = {};
                proxy_engine &opener = engineOf(connection);
                whenRuns(opener, [this, &opener, connection] {
                    onConnectionOpened(opener, connection, now);
                });
            }
        });
    } else if (auto *sent = std::get_if<send_commands>(&action)) {
        const database_connection_id connection = sent->connection;
        const std::vector<database_command> commands = sent->commands;
        events.emplace(now + databases.at(databaseByConnection.at(connection)).networkDelay, [this, connection, commands] {
            deliver(connection, commands);
        });
    } else if (auto *gone = std::get_if<close_database_connection>(&action)) {
        const database_connection_id connection = gone->connection;
        events.emplace(now + 1ms, [this, connection] {
            databases.at(databaseByConnection.at(connection)).connections.erase(connection);
        });
    } else if (auto *read = std::get_if<read_claim>(&action)) {
        const group_name group = read->group;
        events.emplace(now + 4ms, [this, owner, group] {
            if (storeUnavailable) {
                onClaimReadFailed(*owner, group, now);
            } else {
                onClaimRead(*owner, group, claimOf(group), now);
            }
        });
    } else if (auto *verified = std::get_if<verify_claim>(&action)) {
        const group_name group = verified->group;
        const time_point requestedAt = now;
        claimsReadAsEvidence += 1;
        events.emplace(now + 4ms, [this, owner, group, requestedAt] {
            onClaimVerified(*owner, group, storeUnavailable ? std::nullopt : std::optional(claimOf(group)), requestedAt, now);
        });
    } else if (auto *write = std::get_if<write_claim>(&action)) {
        const write_claim written = *write;
        events.emplace(now + 4ms, [this, owner, written] {
            if (storeUnavailable || written.expected != claimOf(written.group).position) {
                onClaimWriteFailed(*owner, written.group, now);
                return;
            }
            promotion_claim &latest = claimOf(written.group);
            latest = {nextPosition(), written.term, written.successor, written.unsettledSuccessors};
            onClaimWritten(*owner, written.group, latest.position, now);
        });
    } else if (auto *order = std::get_if<order_promotion>(&action)) {
        if (!fences.empty() && order->fence.value() <= fences.back()) {
            violations.emplace_back("promotion order without a higher fence number than the previous one");
        }
        fences.push_back(order->fence.value());
        const database_name successor = order->successor;
        events.emplace(now + promotionTime, [this, successor] {
            if (!databases.at(successor).unresponsive) {
                promote(successor);
            }
        });
        const group_name group = order->group;
        const bool answered = !promotionRepliesLost;
        events.emplace(now + (answered ? 10ms : 1500ms), [this, owner, group, answered] {
            onPromotionReply(*owner, group, answered, now);
        });
    }
}

void proxy_world::deliver(database_connection_id connection, const std::vector<database_command> &commands)
{
    fake_database &database = databases.at(databaseByConnection.at(connection));
    const auto fake = database.connections.find(connection);
    if (database.unresponsive || fake == database.connections.end()) {
        return;
    }
    time_point runAt = std::max(now, fake->second.busyUntil);
    for (const database_command &command : commands) {
        const bool isStatement = command.kind == command_kind::forward || command.kind == command_kind::execute;
        runAt += isStatement ? database.serviceTime : duration{};
        runAt += command.kind == command_kind::status ? database.statusTime : duration{};
        const bool lost = isStatement && random() % 100 < database.replyLossPercent;
        events.emplace(runAt, [this, connection, command, lost] {
            fake_database &home = databases.at(databaseByConnection.at(connection));
            if (home.unresponsive || !home.connections.contains(connection)) {
                return;
            }
            const database_reply reply = execute(home, connection, command);
            if (lost) {
                home.mutedConnections.insert(connection);
            }
            if (home.mutedConnections.contains(connection)) {
                return;
            }
            events.emplace(now + home.networkDelay, [this, connection, reply] {
                if (!databases.at(databaseByConnection.at(connection)).unresponsive) {
                    proxy_engine &receiver = engineOf(connection);
                    whenRuns(receiver, [this, &receiver, connection, reply] {
                        onDatabaseReply(receiver, connection, reply, now);
                    });
                }
            });
        });
    }
    fake->second.busyUntil = runAt;
}

void proxy_world::applyPendingCommits(fake_database &database)
{
    while (!database.pendingCommits.empty() && database.pendingCommits.front().first <= now) {
        database.log.push_back(database.pendingCommits.front().second);
        database.pendingCommits.erase(database.pendingCommits.begin());
    }
}

void proxy_world::append(fake_database &database, const std::string &id)
{
    const fake_commit commit{database.term, id};
    database.log.push_back(commit);
    groupByStatement[id] = database.listed.group;
    if (&database != &primary(database.listed.group)) {
        m_committedAfterReplacement.insert(id);
        rolledBack.insert(id);
        return;
    }
    for (auto &[name, other] : databases) {
        const bool receives =
            other.listed.group == database.listed.group && !other.primary && !other.unresponsive && other.pausedUntilTerm <= database.term;
        if (&other != &database && receives) {
            const time_point before = other.pendingCommits.empty() ? now : other.pendingCommits.back().first;
            other.pendingCommits.emplace_back(std::max(before, now + other.lag), commit);
            other.term = std::max(other.term, database.term);
        }
    }
}

database_reply proxy_world::execute(fake_database &database, database_connection_id connection, const database_command &command)
{
    applyPendingCommits(database);
    fake_connection &fake = database.connections.at(connection);
    database_reply reply;
    reply.position = endOf(database);
    const auto refuse = [&](reply_code code) {
        reply.code = code;
        reply.state = fake.inTransaction ? transaction_state::failed : transaction_state::none;
        fake.failed = fake.inTransaction;
        return reply;
    };
    // Compares positions only, as the real databases do: a log of an older term may pass.
    if (command.floor && command.floor->position > reply.position->position) {
        return refuse(reply_code::lagging);
    }
    if (command.kind != command_kind::status && database.refusalPercent > 0 && random() % 100 < database.refusalPercent) {
        reply.code = reply_code::busy;
        reply.state = fake.inTransaction ? transaction_state::open : transaction_state::none;
        return reply;
    }
    switch (command.kind) {
    case command_kind::begin:
    case command_kind::beginRead:
        if (command.kind == command_kind::begin && !database.primary) {
            return refuse(reply_code::readOnly);
        }
        fake.inTransaction = true;
        fake.readWrite = command.kind == command_kind::begin;
        fake.beginTerm = database.term;
        break;
    case command_kind::rollback:
        if (database.refusesRollback && fake.inTransaction) {
            reply.code = reply_code::busy;
            break;
        }
        fake.inTransaction = false;
        fake.failed = false;
        fake.writes.clear();
        break;
    case command_kind::discard:
        fake.values.clear();
        fake.prepared.clear();
        break;
    case command_kind::setValue:
        fake.values[command.name] = command.value;
        break;
    case command_kind::prepare:
        fake.prepared[command.name] = (command.writes ? "w " : "r ") + command.value;
        break;
    case command_kind::status:
    case command_kind::pause:
    case command_kind::resume:
    case command_kind::stepDown: {
        if (command.kind == command_kind::stepDown && command.term > database.term) {
            if (&database == &primary(database.listed.group)) {
                database.primary = false;
            } else {
                stepDown(database);
            }
        } else if (command.kind == command_kind::pause && !database.primary) {
            database.pausedUntilTerm = command.term;
        } else if (command.kind == command_kind::resume) {
            database.pausedUntilTerm = term_number{};
        }
        database_status status;
        status.pausedUntilTerm = database.pausedUntilTerm;
        status.primary = database.primary;
        status.term = database.term;
        status.received = {reply.position->term, log_position(database.log.size() + database.pendingCommits.size())};
        status.connections = static_cast<std::uint32_t>(database.connections.size());
        reply.status = status;
        reply.rows = {"status"};
        break;
    }
    case command_kind::forward:
    case command_kind::execute:
        return runStatement(database, connection, command);
    }
    reply.state = fake.inTransaction ? transaction_state::open : transaction_state::none;
    return reply;
}

database_reply proxy_world::runStatement(fake_database &database, database_connection_id connection, const database_command &command)
{
    fake_connection &fake = database.connections.at(connection);
    database_reply reply;
    const auto refuse = [&](reply_code code) {
        reply.code = code;
        reply.position = endOf(database);
        fake.failed = fake.inTransaction;
        reply.state = fake.inTransaction ? transaction_state::failed : transaction_state::none;
        return reply;
    };
    if (fake.failed) {
        return refuse(reply_code::malformed);
    }
    if (database.full) {
        reply.code = reply_code::busy;
        reply.position = endOf(database);
        reply.state = fake.inTransaction ? transaction_state::open : transaction_state::none;
        return reply;
    }
    checkExecution(database, connection, command, fake);
    bool writes = command.text.starts_with("WRITE");
    if (command.kind == command_kind::execute) {
        if (!fake.prepared.contains(command.name)) {
            return refuse(reply_code::unknownStatement);
        }
        writes = fake.prepared.at(command.name).starts_with("w ");
    }
    const bool commits = command.kind == command_kind::forward && command.text == "COMMIT";
    const bool leads = database.primary && (!fake.inTransaction || fake.beginTerm == database.term);
    const bool emptyCommit = commits && fake.writes.empty();
    if (!leads && !emptyCommit && (writes || (fake.inTransaction && fake.readWrite))) {
        return refuse(reply_code::readOnly);
    }
    if (commits) {
        if (!fake.inTransaction) {
            return refuse(reply_code::malformed);
        }
        if (!fake.writes.empty()) {
            append(database, command.id);
        }
        fake.inTransaction = false;
        fake.writes.clear();
    } else if (writes && fake.inTransaction) {
        fake.writes.push_back(command.id);
    } else if (writes) {
        append(database, command.id);
    } else {
        std::set<std::string> seen;
        for (const fake_commit &commit : database.log) {
            seen.insert(commit.id);
        }
        seenByRead[command.id] = seen;
        groupByStatement[command.id] = database.listed.group;
        reply.rows = {"row of " + command.id};
    }
    reply.signature = "signed " + command.id;
    reply.position = endOf(database);
    reply.state = fake.inTransaction ? transaction_state::open : transaction_state::none;
    return reply;
}

void proxy_world::checkExecution(fake_database &,
                                 database_connection_id connection,
                                 const database_command &command,
                                 const fake_connection &fake)
{
    for (auto &[id, client] : clients) {
        if (client.sent.id != command.id || !client.awaitsReply) {
            continue;
        }
        if (fake.values != client.values) {
            violations.emplace_back("PINNED: " + command.id + " ran with another session's values");
        }
        if (command.kind == command_kind::execute) {
            const auto prepared = fake.prepared.find(command.name);
            if (prepared == fake.prepared.end() || prepared->second != client.preparedTexts[client.sent.name]) {
                violations.emplace_back("PINNED: " + command.id + " ran another prepared statement");
            }
        } else if (command.text != client.sent.text) {
            violations.emplace_back("UNASKED: changed text of " + command.id);
        }
        if (fake.inTransaction != client.inTransaction) {
            violations.emplace_back("PINNED: " + command.id + " ran inside or outside of the wrong transaction");
        }
        if (client.inTransaction) {
            if (client.transactionConnection != database_connection_id{} && client.transactionConnection != connection) {
                violations.emplace_back("PINNED: " + command.id + " ran on another connection than its transaction");
            }
            client.transactionConnection = connection;
        }
        return;
    }
    // A statement may run after its client was told that it timed out; whether that left a commit behind is checked at the end.
    if (!m_sentIds.contains(command.id)) {
        violations.emplace_back("UNASKED: no client sent " + command.id);
    }
}

void proxy_world::checkReply(fake_client &client, const client_reply &reply)
{
    const client_statement &statement = client.sent;
    const bool done = reply.code == reply_code::done;
    const bool forwarded = statement.verb == client_verb::read || statement.verb == client_verb::write
                           || statement.verb == client_verb::commit || statement.verb == client_verb::execute;
    if (done && forwarded && reply.signature != "signed " + statement.id) {
        violations.emplace_back("MIXED: reply to " + statement.id + " is signed '" + reply.signature + "'");
    }
    if (done && statement.verb == client_verb::setValue) {
        client.values[statement.name] = statement.value;
    }
    if (done && statement.verb == client_verb::prepare) {
        client.preparedTexts[statement.name] = (statement.writes ? "w " : "r ") + statement.value;
    }
    const bool reads = statement.verb == client_verb::read
                       || (statement.verb == client_verb::execute && client.preparedTexts[statement.name].starts_with("r "));
    if (done && reads) {
        checkFreshness(client, statement.id);
    }
    const bool singleWrite =
        !client.inTransaction && (statement.verb == client_verb::write || (statement.verb == client_verb::execute && !reads));
    if (done && m_committedAfterReplacement.contains(statement.id)) {
        violations.emplace_back("ONE: " + statement.id + " was committed by a replaced primary and acknowledged");
    }
    if (done && (singleWrite || (statement.verb == client_verb::commit && committed().contains(statement.id)))) {
        acknowledged.push_back({statement.id, client.id, now});
    }
    if (impliesNotCommitted(reply.code) && committed().contains(statement.id)) {
        violations.emplace_back("REFUSED: " + statement.id + " was committed, though the reply was " + std::string(toString(reply.code)));
    }
    const bool begins = statement.verb == client_verb::begin || statement.verb == client_verb::beginRead;
    if (begins && done) {
        client.inTransaction = true;
        client.transactionAt = client.sentAt;
        client.transactionConnection = database_connection_id{};
    } else if (reply.state == transaction_state::none) {
        client.inTransaction = false;
    }
}

void proxy_world::checkRefusedNotCommitted()
{
    const std::map<std::string, int> kept = committed();
    for (const auto &[id, client] : clients) {
        for (const statement_reply &received : client.replies) {
            if (impliesNotCommitted(received.reply.code) && kept.contains(received.statement.id)) {
                violations.emplace_back("REFUSED: " + received.statement.id + " was committed, though the reply was "
                                        + std::string(toString(received.reply.code)));
            }
        }
    }
}

void proxy_world::checkFreshness(const fake_client &client, const std::string &id)
{
    const time_point arrived = client.inTransaction ? client.transactionAt : client.sentAt;
    for (const acknowledged_commit &commit : acknowledged) {
        const bool otherGroup = groupByStatement[commit.id] != groupByStatement[id];
        if (otherGroup || rolledBack.contains(commit.id) || commit.acknowledgedAt >= arrived) {
            continue;
        }
        const bool own = client.database == "session" && commit.session == client.id;
        const duration age = client.database == "latest" ? 0ms : client.database == "age" ? 1500ms : 2500ms;
        const bool due = own || commit.acknowledgedAt < arrived - age;
        if (due && !seenByRead[id].contains(commit.id)) {
            violations.emplace_back("STALE: " + id + " on '" + client.database + "' lacks " + commit.id);
        }
    }
}

} // namespace mustardrouter
