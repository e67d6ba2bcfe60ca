#include "mustardrouter/Proxy/engine_parts.h"

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

} // namespace

void reportUnfinished(proxy_engine &engine, time_point now)
{
    for (const auto &[id, session] : engine.sessions) {
        if (session.accepted && !session.current && !session.transaction) {
            continue;
        }
        engine.counters.unfinishedAtStop += session.current ? 1 : 0;
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
}

} // namespace mustardrouter
