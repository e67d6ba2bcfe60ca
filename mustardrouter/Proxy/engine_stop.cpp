#include "mustardrouter/Proxy/engine_parts.h"

#include <vector>

/// The end of a planned stop.
namespace mustardrouter
{

namespace
{

using namespace proxying;

const char *waitsFor(const client_session &session)
{
    if (!session.current) {
        return session.transaction ? "the client's next statement" : "its start";
    }
    if (session.current->replyHeld) {
        return "evidence";
    }
    const bool sent = session.current->connection != database_connection_id{} || session.current->earlierRun;
    return sent ? "a database" : "a connection";
}

void reportUnfinished(proxy_engine &engine, const client_session &session, time_point now)
{
    const auto connection = session.current ? engine.connections.find(session.current->connection) : engine.connections.end();
    reportEvent(engine,
                "unfinished_at_stop",
                {{"request", session.current ? session.current->statement.id : std::string("-")},
                 {"transaction", session.transaction ? session.transaction->beginStatementId : std::string("-")},
                 {"waits_for", waitsFor(session)},
                 {"database", connection == engine.connections.end() ? std::string("-") : connection->second.database.value()},
                 {"waited_ms", toMillisText(session.current ? now - session.current->arrivedAt : now - session.startedAt)},
                 {"attempts", std::to_string(session.current ? session.current->attempts : 0)},
                 {"queued", std::to_string(session.queuedStatements.size())}});
}

/// Answers the statement that the session waits for, and those behind it.
void answerLast(proxy_engine &engine, client_session &session, time_point now)
{
    // Each answer starts the next statement of the session, and none is sent any more.
    while (session.current) {
        engine.counters.unfinishedAtStop += 1;
        giveUpStatement(engine, session, "the instance stops", now);
    }
}

/// Whether the instance that relayed the session's statement runs it elsewhere if it gets no answer.
bool isRunElsewhere(const client_session &session)
{
    return session.relayed && !session.transaction && session.current && !session.current->writes;
}

void leaveUnanswered(proxy_engine &engine, client_session &session, time_point now)
{
    engine.counters.unfinishedAtStop += 1;
    releaseEarlierRun(engine, session, now);
    releaseConnection(engine, session.current->connection, now);
}

} // namespace

void finishStop(proxy_engine &engine, time_point now)
{
    engine.exiting = true;
    std::vector<session_id> ids;
    ids.reserve(engine.sessions.size());
    for (const auto &[id, session] : engine.sessions) {
        ids.push_back(id);
    }
    for (const session_id id : ids) {
        client_session &session = engine.sessions.at(id);
        if (!session.accepted || session.current || session.transaction) {
            reportUnfinished(engine, session, now);
        }
        if (isRunElsewhere(session)) {
            leaveUnanswered(engine, session, now);
        } else {
            answerLast(engine, session, now);
        }
        if (session.transaction) {
            endTransaction(engine, session, transaction_state::none, now);
        }
        const reply_code code = session.accepted ? reply_code::done : reply_code::busy;
        engine.actions.emplace_back(close_session{id, code, session.accepted ? "" : "the instance stops"});
        engine.sessions.erase(id);
    }
}

} // namespace mustardrouter
