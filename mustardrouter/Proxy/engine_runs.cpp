#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <utility>

/// A read whose reply is overdue is sent to a second database, and its first run goes on: the database may be silent or the reply
/// lost, and the statement may as well be a long one, which would take as long anywhere.
namespace mustardrouter::proxying
{

namespace
{

statement_run &latestRunOf(running_statement &running)
{
    return running;
}

/// Whether both runs are at one database, so that neither is more likely to be answered for its database's sake.
bool areAtOneDatabase(const proxy_engine &engine, const statement_run &first, const statement_run &second)
{
    const auto one = engine.connections.find(first.connection);
    const auto other = engine.connections.find(second.connection);
    return one != engine.connections.end() && other != engine.connections.end() && one->second.database == other->second.database;
}

} // namespace

bool isAtSuspectedDatabase(proxy_engine &engine, const statement_run &run)
{
    const auto connection = engine.connections.find(run.connection);
    if (connection == engine.connections.end()) {
        return true;
    }
    const database_state *database = databaseOf(engine, connection->second);
    return database == nullptr || database->suspectedSince != time_point{};
}

statement_run *runOn(client_session &session, database_connection_id connection)
{
    if (!session.current) {
        return nullptr;
    }
    running_statement &running = *session.current;
    if (running.connection == connection) {
        return &running;
    }
    return running.earlierRun && running.earlierRun->connection == connection ? &*running.earlierRun : nullptr;
}

void makeLatestRun(client_session &session, database_connection_id connection)
{
    running_statement &running = *session.current;
    if (running.connection == connection || !running.earlierRun) {
        return;
    }
    std::swap(latestRunOf(running), *running.earlierRun);
    if (running.earlierRun->connection == database_connection_id{}) {
        running.earlierRun.reset();
    }
}

duration replyTimeoutOf(const proxy_engine &engine, const running_statement &running)
{
    // The first two runs elsewhere answer for a lost reply soon. If these replies are overdue, too, the statement is probably a
    // long one, and the next run is given more time.
    constexpr std::uint32_t maxDoublings = 6;
    const std::uint32_t doublings = running.overdueRuns < 2 ? 0 : std::min(running.overdueRuns - 1, maxDoublings);
    return engine.settings.replyTimeout * (1 << doublings);
}

void runElsewhere(proxy_engine &engine, client_session &session, time_point now)
{
    running_statement &running = *session.current;
    running.overdueRuns += 1;
    // The limit of a workspace applies to what databases run.
    running.counted = false;
    engine.counters.retries += 1;
    const bool firstGoesOn =
        running.earlierRun
        && (!isAtSuspectedDatabase(engine, *running.earlierRun) || areAtOneDatabase(engine, *running.earlierRun, running));
    if (firstGoesOn) {
        releaseConnection(engine, running.connection, now);
    } else {
        releaseEarlierRun(engine, session, now);
        running.earlierRun = std::exchange(latestRunOf(running), {});
    }
    queueForConnection(engine, session, now);
}

bool awaitEarlierRun(proxy_engine &engine, client_session &session, time_point now)
{
    running_statement &running = *session.current;
    if (!running.earlierRun) {
        return false;
    }
    latestRunOf(running) = std::move(*running.earlierRun);
    running.earlierRun.reset();
    running.overdueRuns += 1;
    running.replyDueAt = now + replyTimeoutOf(engine, running);
    scheduleTimer(engine, running.replyDueAt, timer_kind::session, session.id.value());
    return true;
}

void refuseRun(proxy_engine &engine, client_session &session, reply_code code, const char *reason, time_point now)
{
    if (!awaitEarlierRun(engine, session, now)) {
        refuseStatement(engine, session, code, reason, now);
    }
}

void releaseEarlierRun(proxy_engine &engine, client_session &session, time_point now)
{
    if (!session.current || !session.current->earlierRun) {
        return;
    }
    const database_connection_id connection = session.current->earlierRun->connection;
    releaseConnection(engine, connection, now);
    session.current->earlierRun.reset();
}

} // namespace mustardrouter::proxying
