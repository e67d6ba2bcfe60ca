#include "mustardrouter/Proxy/connection_budget.h"
#include "mustardrouter/Proxy/connection_choice.h"
#include "mustardrouter/Proxy/connection_setup.h"
#include "mustardrouter/Proxy/engine_parts.h"
#include "mustardrouter/Proxy/overload_admission.h"
#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace mustardrouter::proxying
{

namespace
{

/// A proof of the lead that is younger than this spares the one before a read: two promotions,
/// which alone could hide a change of lead, take longer.
constexpr duration proofValid = std::chrono::milliseconds(250);
/// A read that the gate keeps out asks again after about this time, and is refused when this part of its
/// objective, in tenths, has passed: what is left is enough for an attempt elsewhere.
constexpr duration gatePause = std::chrono::milliseconds(70);
constexpr std::int64_t gateWaitTenths = 3;
/// A question for the position is due this long before the newest sample is too old.
constexpr duration refreshAhead = std::chrono::milliseconds(400);
/// While replicas lag, samples are taken this far apart: a read's floor is the first sample within its age, so the
/// distance of two samples is taken from what a replica may lag.
constexpr duration refreshWhenLagging = std::chrono::milliseconds(200);
/// A refusal for lag tells of the lag for so long.
constexpr duration lagMemory = std::chrono::seconds(2);

database_command ownCommand(command_kind kind)
{
    database_command command;
    command.kind = kind;
    return command;
}

database_command clientCommand(database_connection &connection, const client_session &session, std::vector<database_command> &commands)
{
    const client_statement &what = session.current->what;
    database_command command;
    command.id = what.id;
    command.kind = command_kind::forward;
    command.text = what.text;
    if (what.verb == client_verb::execute) {
        command.kind = command_kind::execute;
        command.name = appendPrepare(connection, session.prepared.at(what.name), commands);
        command.value = what.value;
    }
    return command;
}

/// Commands that give the link the session's values and prepared statement, and the statement.
std::vector<database_command> prepareStatement(database_connection &connection,
                                               const client_session &session,
                                               std::vector<reply_part> &parts)
{
    std::vector<database_command> commands;
    appendSessionValues(connection, session, commands);
    database_command statement = clientCommand(connection, session, commands);
    statement.floor = session.current->floor;
    parts.assign(commands.size(), reply_part::setup);
    commands.push_back(std::move(statement));
    parts.push_back(reply_part::statement);
    return commands;
}

void noteSent(proxy_engine &engine, client_session &session, database_connection &connection, time_point now)
{
    running_statement &run = *session.current;
    run.connection = connection.id;
    run.sentAt = now;
    run.answer.reset();
    run.attempts += 1;
    connection.session = session.id;
    arm(engine, now + engine.settings.replyTimeout, timer_kind::session, session.id.value());
}

/// Sends a statement outside of a transaction.
void sendSingle(proxy_engine &engine, client_session &session, database_connection &connection, time_point now)
{
    running_statement &run = *session.current;
    std::vector<reply_part> parts;
    std::vector<database_command> commands = prepareStatement(connection, session, parts);
    run.proved = false;
    run.provedBefore = now - connection.provedAt <= proofValid;
    if (run.needsProof) {
        if (!run.provedBefore) {
            commands.insert(commands.begin(), {ownCommand(command_kind::begin), ownCommand(command_kind::rollback)});
            parts.insert(parts.begin(), {reply_part::proof, reply_part::proofEnd});
        }
        commands.push_back(ownCommand(command_kind::begin));
        commands.push_back(ownCommand(command_kind::rollback));
        parts.push_back(reply_part::proof);
        parts.push_back(reply_part::proofEnd);
    }
    connection.state = database_connection_state::busy;
    noteSent(engine, session, connection, now);
    sendOn(engine, connection, std::move(commands), parts, now);
}

void sendBegin(proxy_engine &engine, client_session &session, database_connection &connection, bool forReading, time_point now)
{
    client_transaction &transaction = *session.transaction;
    transaction.phase = transaction_phase::beginning;
    transaction.connection = connection.id;
    connection.session = session.id;
    connection.state = database_connection_state::held;
    connection.inTransaction = true;
    std::vector<database_command> commands;
    appendSessionValues(connection, session, commands);
    std::vector<reply_part> parts(commands.size(), reply_part::setup);
    commands.push_back(ownCommand(forReading ? command_kind::beginRead : command_kind::begin));
    commands.back().floor = forReading ? transaction.floor : std::nullopt;
    parts.push_back(reply_part::begin);
    sendOn(engine, connection, std::move(commands), parts, now);
}

/// Whether statements may go to the database: one that leaves gets none after a while.
bool takesWork(const proxy_engine &engine, const database_state &database, time_point now)
{
    return !database.listed.leaving || now - database.leavingSince < engine.settings.leavingGracePeriod;
}

/// An idle link of the database, or nothing; then one more is opened where that is allowed.
database_connection *takeOrOpen(
    proxy_engine &engine, group_state &group, const database_name &name, const client_session &session, time_point now)
{
    const auto found = group.databases.find(name);
    if (found == group.databases.end() || !takesWork(engine, found->second, now)) {
        return nullptr;
    }
    database_state &database = found->second;
    if (database_connection *idle = findIdle(engine, database, session.values)) {
        return idle;
    }
    if (now >= database.openNotBefore && mayOpenConnection(budgetOf(engine, group, database, now))) {
        openLink(engine, group, database, now);
    }
    return nullptr;
}

connection_option optionOf(const proxy_engine &engine, const group_state &group, const ranked_database &candidate, time_point now)
{
    const database_state &database = *candidate.database;
    connection_option option;
    option.expectedMicros = candidate.expectedMicros;
    option.mayOpen = now >= database.openNotBefore && mayOpenConnection(budgetOf(engine, group, database, now));
    for (const database_connection_id id : database.connections) {
        const database_connection &connection = engine.connections.at(id);
        option.idle = option.idle || connection.state == database_connection_state::idle;
        if (connection.state == database_connection_state::opening) {
            option.opening = true;
            option.openingFor = std::max(option.openingFor, now - connection.since);
        }
    }
    return option;
}

/// What a read of this session must see.
struct read_need {
    std::optional<log_entry> floor;
    /// Only a proof of the lead at or after the read will do.
    bool needsConfirmedPrimary = false;
    /// No position is known that is young enough.
    bool unknown = false;
};

read_need needOf(const group_state &group, const client_session &session, const route &rules, time_point arrivedAt)
{
    read_need need;
    if (rules.rule == read_rule::latest) {
        need.needsConfirmedPrimary = true;
        return need;
    }
    const bool ownRolledBack = session.ownCommits && group.primaryTerm > session.ownCommits->term;
    if (rules.rule == read_rule::session && ownRolledBack) {
        need.needsConfirmedPrimary = true;
        return need;
    }
    need.floor = floorAt(group.samples, arrivedAt - rules.maxAge);
    need.unknown = !need.floor.has_value();
    if (rules.rule == read_rule::session && session.ownCommits) {
        need.floor = need.floor ? std::max(*need.floor, *session.ownCommits) : need.floor;
    }
    return need;
}

/// A free link to one of the ranked databases; where that serves better, one is opened.
database_connection *takeForRead(proxy_engine &engine,
                                 group_state &group,
                                 const client_session &session,
                                 const std::vector<database_name> &excludedDatabases,
                                 const std::optional<log_entry> &floor,
                                 time_point now)
{
    for (auto &[name, database] : group.databases) {
        const auto working = std::ranges::count_if(database.connections, [&](database_connection_id id) {
            return engine.connections.at(id).state == database_connection_state::busy;
        });
        database.inFlight = static_cast<std::uint32_t>(working);
    }
    const std::vector<ranked_database> ranked =
        rankForRead({&group.databases, group.primary, &excludedDatabases, floor, true}, engine.settings, now, engine.random);
    std::vector<connection_option> options;
    options.reserve(ranked.size());
    for (const ranked_database &candidate : ranked) {
        options.push_back(optionOf(engine, group, candidate, now));
    }
    const connection_choice choice = chooseConnection(options);
    if (choice.openIndex < ranked.size()) {
        openLink(engine, group, group.databases.at(ranked[choice.openIndex].database->listed.name), now);
    }
    if (choice.idleIndex == ranked.size() && choice.openIndex == ranked.size() && group.pumpAt <= now) {
        // What is being opened may not come about.
        group.pumpAt = now + slowOpenThreshold;
        arm(engine, group.pumpAt, timer_kind::pump, 0, group.name);
    }
    return choice.idleIndex < ranked.size() ? findIdle(engine, *ranked[choice.idleIndex].database, session.values) : nullptr;
}

/// Whether a read may go to a database that is short of room.
bool passesGate(proxy_engine &engine,
                const group_state &group,
                client_session &session,
                const route &rules,
                const database_state &database,
                time_point now)
{
    running_statement &run = *session.current;
    if (rules.rule == read_rule::latest || (run.admitted && run.overloadRefusals == 0)) {
        return true;
    }
    admission_request request;
    request.priority = rules.priority;
    request.smoothedReadMicros = engine.smoothedReadMicros[session.database];
    request.groupReadMicros = group.smoothedReadMicros;
    request.overloadRefusals = run.overloadRefusals;
    run.admitted = std::uniform_real_distribution<double>(0, 1)(engine.random) < admissionProbability(database, request, now);
    run.admittedAt = run.admitted ? now : time_point{};
    return run.admitted;
}

/// Whether a transaction may begin at a primary that is short of room.
bool passesGate(proxy_engine &engine, const group_state &group, client_session &session, const database_state &primary, time_point now)
{
    client_transaction &transaction = *session.transaction;
    if (transaction.admitted || transaction.rules.rule == read_rule::latest) {
        return true;
    }
    // Until one has ended, a transaction is taken for one of a few statements.
    constexpr double usualLength = 4;
    const auto known = engine.transactionLength.find(session.database);
    admission_request request;
    request.priority = transaction.rules.priority;
    request.smoothedReadMicros = engine.smoothedReadMicros[session.database];
    request.groupReadMicros = group.smoothedReadMicros;
    request.statements = known == engine.transactionLength.end() ? usualLength : known->second;
    transaction.admitted = std::uniform_real_distribution<double>(0, 1)(engine.random) < admissionProbability(primary, request, now);
    return transaction.admitted;
}

/// Lets a transaction that was kept out ask again later, or refuses its statement; gives whether it no longer waits.
bool keepOutTransaction(proxy_engine &engine, const group_state &group, client_session &session, time_point now)
{
    client_transaction &transaction = *session.transaction;
    const duration patience = transaction.rules.latencyTarget * gateWaitTenths / 10;
    if (session.current && now - session.current->arrivedAt >= patience) {
        refuseStatement(engine, session, reply_code::busy, "the primary is full and the transaction has not begun", now);
        return true;
    }
    transaction.notBefore = now + gatePause + duration(static_cast<std::int64_t>(engine.random() % gatePause.count()));
    arm(engine, transaction.notBefore, timer_kind::pump, 0, group.name);
    return false;
}

/// Lets a read that was kept out ask again later, or refuses it; gives whether it no longer waits.
bool keepOut(proxy_engine &engine, const group_state &group, client_session &session, const route &rules, const char *why, time_point now)
{
    running_statement &run = *session.current;
    if (now - run.arrivedAt >= rules.latencyTarget * gateWaitTenths / 10) {
        refuseStatement(engine, session, reply_code::busy, why, now);
        return true;
    }
    run.notBefore = now + gatePause + duration(static_cast<std::int64_t>(engine.random() % gatePause.count()));
    arm(engine, run.notBefore, timer_kind::pump, 0, group.name);
    return false;
}

/// The database of the ranked ones that lets in most.
const database_state *mostOpen(const std::vector<ranked_database> &ranked, time_point now)
{
    const auto best = std::ranges::max_element(ranked, {}, [&](const ranked_database &candidate) {
        return admissibleReadShare(*candidate.database, now);
    });
    return best == ranked.end() ? nullptr : best->database;
}

/// Asks for the primary's position when reads of the route need a newer sample.
void refreshFor(proxy_engine &engine, group_state &group, const route &rules, time_point now)
{
    if (rules.rule == read_rule::latest) {
        return;
    }
    const duration age = now - newestSampleAt(group.samples);
    const bool lags = group.laggedAt != time_point{} && now - group.laggedAt < lagMemory;
    if (age + refreshAhead > rules.maxAge || (lags && age > refreshWhenLagging)) {
        refreshPosition(engine, group, now);
    }
}

bool placeRead(proxy_engine &engine, group_state &group, client_session &session, const route &rules, time_point now)
{
    running_statement &run = *session.current;
    const read_need need = needOf(group, session, rules, run.arrivedAt);
    refreshFor(engine, group, rules, now);
    const std::vector<ranked_database> ranked =
        rankForRead({&group.databases, group.primary, &run.excludedDatabases, need.floor, true}, engine.settings, now, engine.random);
    const bool triedAll = ranked.empty();
    if (need.needsConfirmedPrimary || need.unknown || triedAll) {
        if (!group.primary || (need.unknown && !need.needsConfirmedPrimary && !triedAll)) {
            return false;
        }
        const auto primary = group.databases.find(*group.primary);
        if (primary != group.databases.end() && !passesGate(engine, group, session, rules, primary->second, now)) {
            return keepOut(engine, group, session, rules, "replicas lag and the primary is full", now);
        }
        database_connection *connection = takeOrOpen(engine, group, *group.primary, session, now);
        if (connection == nullptr) {
            return false;
        }
        // The primary needs no floor where it proves its lead; with a floor it needs no proof. One that lacks the
        // floor has lost the entry in a promotion.
        const bool leadLacksFloor = std::ranges::find(run.excludedDatabases, *group.primary) != run.excludedDatabases.end();
        run.floor = need.needsConfirmedPrimary || leadLacksFloor ? std::nullopt : need.floor;
        run.needsProof = !run.floor.has_value();
        sendSingle(engine, session, *connection, now);
        return true;
    }
    if (!passesGate(engine, group, session, rules, *mostOpen(ranked, now), now)) {
        return keepOut(engine, group, session, rules, "all databases of the group are full", now);
    }
    database_connection *connection = takeForRead(engine, group, session, run.excludedDatabases, need.floor, now);
    if (connection == nullptr) {
        return false;
    }
    run.floor = need.floor;
    run.needsProof = false;
    sendSingle(engine, session, *connection, now);
    return true;
}

bool placeTransaction(proxy_engine &engine, group_state &group, client_session &session, time_point now)
{
    client_transaction &transaction = *session.transaction;
    const route &rules = transaction.rules;
    if (transaction.readOnly && rules.rule != read_rule::latest) {
        const read_need need = needOf(group, session, rules, transaction.beganAt);
        refreshFor(engine, group, rules, now);
        if (need.unknown) {
            return false;
        }
        const bool triedAll =
            rankForRead(
                {&group.databases, group.primary, &transaction.excludedDatabases, need.floor, true}, engine.settings, now, engine.random)
                .empty();
        if (!need.needsConfirmedPrimary && !triedAll) {
            database_connection *connection = takeForRead(engine, group, session, transaction.excludedDatabases, need.floor, now);
            if (connection == nullptr) {
                return false;
            }
            transaction.floor = need.floor;
            sendBegin(engine, session, *connection, true, now);
            return true;
        }
    }
    if (!group.primary || now < transaction.notBefore) {
        return false;
    }
    const auto primary = group.databases.find(*group.primary);
    if (primary != group.databases.end() && !passesGate(engine, group, session, primary->second, now)) {
        return keepOutTransaction(engine, group, session, now);
    }
    database_connection *connection = takeOrOpen(engine, group, *group.primary, session, now);
    if (connection == nullptr) {
        return false;
    }
    // A plain transaction proves the lead with each of its statements.
    transaction.floor.reset();
    sendBegin(engine, session, *connection, false, now);
    return true;
}

/// Whether the session no longer waits: it was placed, or has nothing to place.
bool place(proxy_engine &engine, group_state &group, client_session &session, time_point now)
{
    if (session.transaction) {
        if (session.transaction->phase != transaction_phase::waitsForLink) {
            return true;
        }
        return placeTransaction(engine, group, session, now);
    }
    if (!session.current || session.current->connection != database_connection_id{}) {
        return true;
    }
    if (now < session.current->notBefore) {
        return false;
    }
    const auto rules = engine.routes.routes.find(session.database);
    if (rules == engine.routes.routes.end()) {
        refuseStatement(engine, session, reply_code::busy, "the route was removed", now);
        return true;
    }
    if (!session.current->writes) {
        return placeRead(engine, group, session, rules->second, now);
    }
    if (!group.primary) {
        return false;
    }
    database_connection *connection = takeOrOpen(engine, group, *group.primary, session, now);
    if (connection == nullptr) {
        return false;
    }
    session.current->floor.reset();
    session.current->needsProof = false;
    sendSingle(engine, session, *connection, now);
    return true;
}

} // namespace

connection_budget budgetOf(const proxy_engine &engine, const group_state &group, const database_state &database, time_point now)
{
    const auto opening = std::ranges::count_if(database.connections, [&](database_connection_id id) {
        return engine.connections.at(id).state == database_connection_state::opening;
    });
    // A connection that owes an answer to nobody any more serves nobody until the answer comes.
    const auto owing = std::ranges::count_if(database.connections, [&](database_connection_id id) {
        const database_connection &connection = engine.connections.at(id);
        return connection.state == database_connection_state::busy && connection.session == session_id{} && !connection.expected.empty()
               && now - connection.expected.front().sentAt >= engine.settings.replyTimeout;
    });
    connection_budget budget;
    budget.connections = static_cast<std::uint32_t>(database.connections.size() - static_cast<std::size_t>(owing));
    budget.opening = static_cast<std::uint32_t>(opening);
    budget.maxConnections = engine.settings.maxConnectionsPerDatabase;
    budget.connectionsInUse = database.connectionsInUse;
    budget.limit = group.limits.connections;
    budget.recentlyOverloaded = database.overloadedAt != time_point{} && now - database.overloadedAt < engine.settings.overloadValidFor;
    return budget;
}

group_state *groupOf(proxy_engine &engine, const client_session &session)
{
    // A group without a listed database exists too: after a start, and while the platform's list recovers, statements wait for it.
    if (session.transaction) {
        return &groupNamed(engine, session.transaction->rules.group);
    }
    const auto rules = engine.routes.routes.find(session.database);
    return rules == engine.routes.routes.end() ? nullptr : &groupNamed(engine, rules->second.group);
}

void seekLink(proxy_engine &engine, client_session &session, time_point now)
{
    group_state *group = groupOf(engine, session);
    if (group == nullptr) {
        if (session.current) {
            refuseStatement(engine, session, reply_code::busy, "the route was removed", now);
        }
        return;
    }
    if (session.current) {
        session.current->connection = database_connection_id{};
    }
    if (!session.waiting) {
        session.waiting = true;
        group->waiting.push_back(session.id);
    }
    engine.unsettled.insert(group->name);
}

void sendInTransaction(proxy_engine &engine, client_session &session, time_point now)
{
    database_connection &connection = engine.connections.at(session.transaction->connection);
    session.transaction->statements += 1;
    session.current->floor.reset();
    session.current->needsProof = false;
    std::vector<reply_part> parts;
    std::vector<database_command> commands = prepareStatement(connection, session, parts);
    noteSent(engine, session, connection, now);
    sendOn(engine, connection, std::move(commands), parts, now);
}

namespace
{

/// Whether the session waits with a write, a transaction, or a statement of the most urgent kind.
bool isUrgent(const proxy_engine &engine, session_id id)
{
    const auto found = engine.sessions.find(id);
    if (found == engine.sessions.end()) {
        return false;
    }
    const client_session &session = found->second;
    const bool writes = session.transaction.has_value() || (session.current && session.current->writes);
    const auto rules = engine.routes.routes.find(session.database);
    return writes || (rules != engine.routes.routes.end() && rules->second.rule == read_rule::latest);
}

} // namespace

void pump(proxy_engine &engine, group_state &group, time_point now)
{
    std::deque<session_id> still;
    std::deque<session_id> waiting = std::exchange(group.waiting, {});
    // Urgent ones first, and those that only the primary can serve; within them the oldest.
    std::stable_partition(waiting.begin(), waiting.end(), [&](session_id id) {
        return isUrgent(engine, id);
    });
    for (std::size_t at = 0; at < waiting.size(); ++at) {
        const auto found = engine.sessions.find(waiting[at]);
        if (found == engine.sessions.end()) {
            continue;
        }
        // Placing may refuse the statement and so take the session's next one, which waits anew.
        client_session &session = found->second;
        session.waiting = false;
        if (!place(engine, group, session, now) && !session.waiting) {
            session.waiting = true;
            still.push_back(session.id);
        }
    }
    for (const session_id id : group.waiting) {
        still.push_back(id);
    }
    group.waiting = std::move(still);
    if (!group.waiting.empty() && !group.primary) {
        watchGroup(engine, group, now);
    }
}

void settle(proxy_engine &engine, time_point now)
{
    // Refusals while placing may unsettle a group again; a bound keeps one event finite.
    for (int round = 0; round < 8 && !engine.unsettled.empty(); ++round) {
        const std::set<group_name> names = std::exchange(engine.unsettled, {});
        for (const group_name &name : names) {
            const auto found = engine.groups.find(name);
            if (found != engine.groups.end()) {
                pump(engine, found->second, now);
            }
        }
    }
}

} // namespace mustardrouter::proxying
