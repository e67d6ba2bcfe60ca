#include "mustardrouter/StandIn/database_standin.h"

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Runtime/log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <filesystem>
#include <future>

namespace mustardrouter
{

namespace
{

void refuse(wire::database_answer &answer, failure cause, const std::string &detail)
{
    answer.mutable_result()->set_outcome(wire::OUTCOME_NOT_RUN);
    answer.mutable_result()->set_failure(static_cast<std::uint32_t>(cause));
    answer.mutable_result()->set_detail(detail);
}

} // namespace

database_standin::database_standin(const objects::database_settings &settings)
    : m_settings(settings)
    , m_address(settings.address())
    , m_workGuard(asio::make_work_guard(m_context))
{
    std::filesystem::path folder =
        settings.data_folder().empty() ? std::filesystem::temp_directory_path() : std::filesystem::path(settings.data_folder());
    const auto stamp = std::chrono::steady_clock::now().time_since_epoch().count();
    const std::string file = "mustardrouter-standin-" + settings.name() + "-" + std::to_string(stamp) + ".sqlite";
    const std::vector<std::string> initial(settings.initial_statements().begin(), settings.initial_statements().end());
    m_store = std::make_unique<sql_store>(folder / file, initial);
}

database_standin::~database_standin()
{
    stop();
}

bool database_standin::start()
{
    bool listening = true;
    const bool succeeded = handleErrors(
        [&]() -> result_of<bool> {
            m_listener = std::make_unique<frame_listener>(m_context, [this](const std::shared_ptr<frame_connection> &connection) {
                onAccept(connection);
            });
            BOOST_LEAF_CHECK(m_listener->listen(m_address));
            return true;
        },
        [&](const error &what) {
            writeLog(log_level::error, "standin", "cannot listen", {{"reason", what.detail}});
            return false;
        });
    listening = succeeded;
    if (!listening) {
        return false;
    }
    m_address = m_listener->address();
    m_thread = std::thread([this] {
        m_context.run();
    });
    return true;
}

void database_standin::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    asio::post(m_context, [this] {
        m_listener->stop();
        const std::set<session_ptr> sessions = m_sessions;
        for (const session_ptr &open : sessions) {
            open->connection->close(failure::shuttingDown);
        }
        if (m_primaryConnection) {
            m_primaryConnection->close(failure::shuttingDown);
        }
    });
    m_workGuard.reset();
    m_context.stop();
    m_thread.join();
}

const std::string &database_standin::address() const
{
    return m_address;
}

const std::string &database_standin::name() const
{
    return m_settings.name();
}

void database_standin::runOnThread(const std::function<void()> &work)
{
    if (!m_thread.joinable()) {
        work();
        return;
    }
    std::promise<void> done;
    asio::post(m_context, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void database_standin::kill()
{
    runOnThread([this] {
        m_down = true;
        ++m_incarnation;
        m_listener->stop();
        const std::set<session_ptr> sessions = m_sessions;
        for (const session_ptr &open : sessions) {
            open->connection->close(failure::ioError);
        }
        if (m_primaryConnection) {
            m_primaryConnection->close(failure::ioError);
            m_primaryConnection.reset();
        }
        m_runningStatements = 0;
        m_waitingWrites.clear();
        m_primaryAddress.clear();
        m_inSync = false;
        m_role = wire::ROLE_FENCED;
    });
}

void database_standin::restart()
{
    runOnThread([this] {
        m_down = false;
        m_frozen = false;
        m_listener = std::make_unique<frame_listener>(m_context, [this](const std::shared_ptr<frame_connection> &connection) {
            onAccept(connection);
        });
        const bool listening = handleErrors(
            [&]() -> result_of<bool> {
                BOOST_LEAF_CHECK(m_listener->listen(m_address));
                return true;
            },
            [](const error &) {
                return false;
            });
        if (!listening) {
            writeLog(log_level::error, "standin", "cannot listen after the restart", {{"address", m_address}});
        }
        applyUpTo(lastEntry(m_log).position.value());
    });
}

void database_standin::setFrozen(bool frozen)
{
    runOnThread([this, frozen] {
        m_frozen = frozen;
        if (frozen) {
            return;
        }
        std::vector<std::function<void()>> deferred;
        std::swap(deferred, m_deferredWhileFrozen);
        for (const auto &work : deferred) {
            work();
        }
    });
}

void database_standin::setLag(std::chrono::microseconds replication, std::chrono::microseconds apply)
{
    runOnThread([this, replication, apply] {
        m_settings.set_replication_delay_us(static_cast<std::uint64_t>(replication.count()));
        m_settings.set_apply_lag_us(static_cast<std::uint64_t>(apply.count()));
    });
}

void database_standin::setLeaving(bool leaving)
{
    runOnThread([this, leaving] {
        m_leaving = leaving;
        pushReports();
    });
}

void database_standin::silenceOneConnection()
{
    runOnThread([this] {
        for (const session_ptr &open : m_sessions) {
            if (open->statementConnection && !open->unresponsive) {
                open->unresponsive = true;
                return;
            }
        }
    });
}

database_log database_standin::logCopy()
{
    database_log copy;
    runOnThread([&] {
        copy = m_log;
    });
    return copy;
}

wire::result database_standin::query(const std::string &sql)
{
    wire::result result;
    runOnThread([&] {
        applyUpTo(lastEntry(m_log).position.value());
        m_store->read(sql, result);
    });
    return result;
}

std::size_t database_standin::mostConnections()
{
    std::size_t most = 0;
    runOnThread([&] {
        most = m_maxOpenConnections;
    });
    return most;
}

std::size_t database_standin::refusedConnections()
{
    std::size_t refused = 0;
    runOnThread([&] {
        refused = m_refusedConnections;
    });
    return refused;
}

void database_standin::runAfter(std::chrono::microseconds delay, std::function<void()> work)
{
    const auto runIfCurrent = [this, incarnation = m_incarnation, work = std::move(work)] {
        if (incarnation != m_incarnation) {
            return;
        }
        if (m_frozen) {
            m_deferredWhileFrozen.push_back(work);
            return;
        }
        work();
    };
    if (delay.count() == 0) {
        runIfCurrent();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, runIfCurrent](const asio::error_code &code) {
        if (!code) {
            runIfCurrent();
        }
    });
}

void database_standin::onAccept(const std::shared_ptr<frame_connection> &connection)
{
    const auto accepted = std::make_shared<session>();
    accepted->connection = connection;
    m_sessions.insert(accepted);
    connection->start(
        [this, accepted](frame_connection &, std::string_view payload) {
            runAfter(std::chrono::microseconds(m_settings.network_delay_us()), [this, accepted, frame = std::string(payload)] {
                onFrame(accepted, frame);
            });
        },
        [this, accepted](frame_connection &, failure) {
            onClose(accepted);
        });
}

void database_standin::reply(const session_ptr &to, const wire::database_message &message)
{
    if (to->unresponsive) {
        return;
    }
    runAfter(std::chrono::microseconds(m_settings.network_delay_us()), [to, message] {
        to->connection->send(message);
    });
}

void database_standin::onFrame(const session_ptr &from, std::string_view payload)
{
    wire::database_message message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        from->connection->close(failure::malformedFrame);
        return;
    }
    if (!from->connection->isOpen() || from->unresponsive) {
        return;
    }
    switch (message.body_case()) {
    case wire::database_message::kOpen:
        onOpen(from, message.open());
        break;
    case wire::database_message::kOrder:
        onOrder(from, message.order());
        break;
    case wire::database_message::kStatement:
        onStatement(from, message.statement());
        break;
    case wire::database_message::kReplicate:
        onReplicate(from, message.replicate());
        break;
    default:
        from->connection->close(failure::malformedRequest);
        break;
    }
}

void database_standin::onClose(const session_ptr &from)
{
    m_sessions.erase(from);
    if (from->statementConnection) {
        --m_openConnections;
    }
    std::erase_if(m_waitingWrites, [&](const waiting_write &waiting) {
        if (waiting.from != from) {
            return false;
        }
        m_runningStatements -= std::min(m_runningStatements, 1U);
        return true;
    });
    if (m_writerSession == from) {
        rollbackWriter();
        releaseWriter();
    }
}

void database_standin::onOpen(const session_ptr &from, std::uint64_t term)
{
    runAfter(std::chrono::microseconds(m_settings.connection_cost_us()), [this, from, term] {
        if (from->connection->isOpen()) {
            completeOpen(from, term);
        }
    });
}

void database_standin::completeOpen(const session_ptr &from, std::uint64_t term)
{
    wire::database_message message;
    m_refusedConnections += m_openConnections >= m_settings.connections() ? 1 : 0;
    const bool accepted = term >= m_term && m_openConnections < m_settings.connections() && !from->statementConnection;
    message.mutable_opened()->set_accepted(accepted);
    message.mutable_opened()->set_term(m_term);
    if (accepted) {
        from->statementConnection = true;
        from->term = term;
        ++m_openConnections;
        m_maxOpenConnections = std::max(m_maxOpenConnections, m_openConnections);
    }
    reply(from, message);
}

void database_standin::onOrder(const session_ptr &from, const wire::database_order &order)
{
    from->controlConnection = true;
    from->round = std::max(from->round, order.round());
    switch (order.kind()) {
    case wire::database_order::ORDER_FENCE:
        fence(order.term());
        break;
    case wire::database_order::ORDER_PROMOTE:
        promote(order.term());
        break;
    case wire::database_order::ORDER_FOLLOW:
        follow(order.term(), order.primary_address());
        break;
    default:
        break;
    }
    wire::database_message message;
    *message.mutable_report() = report(from->round);
    reply(from, message);
}

void database_standin::adoptTerm(std::uint64_t term)
{
    m_term = term;
    m_inSync = false;
    const std::set<session_ptr> sessions = m_sessions;
    for (const session_ptr &open : sessions) {
        const bool outdated = (open->statementConnection && open->term < term) || open->nextReplicaPosition;
        if (outdated) {
            open->connection->close(failure::staleTerm);
        }
    }
    if (m_primaryConnection) {
        m_primaryConnection->close(failure::staleTerm);
        m_primaryConnection.reset();
    }
}

void database_standin::fence(std::uint64_t term)
{
    if (term <= m_term) {
        return;
    }
    adoptTerm(term);
    m_role = wire::ROLE_FENCED;
    m_primaryAddress.clear();
}

void database_standin::promote(std::uint64_t term)
{
    if (term < m_term || (term == m_term && m_role != wire::ROLE_FENCED)) {
        return;
    }
    if (term > m_term) {
        adoptTerm(term);
    }
    applyUpTo(lastEntry(m_log).position.value());
    m_role = wire::ROLE_PRIMARY;
    append({}, {});
}

void database_standin::follow(std::uint64_t term, const std::string &primaryAddress)
{
    const bool alreadyFollowing = term == m_term && m_role == wire::ROLE_REPLICA && m_primaryAddress == primaryAddress;
    if (term < m_term || alreadyFollowing || (term == m_term && m_role == wire::ROLE_PRIMARY)) {
        return;
    }
    if (term > m_term) {
        adoptTerm(term);
    }
    m_role = wire::ROLE_REPLICA;
    m_primaryAddress = primaryAddress;
    connectToPrimary();
}

wire::database_report database_standin::report(std::uint64_t round) const
{
    wire::database_report report;
    report.set_term(m_term);
    report.set_role(m_role);
    *report.mutable_received() = toWire(lastEntry(m_log));
    if (m_appliedPosition > 0) {
        *report.mutable_applied() = toWire(m_log.records[m_appliedPosition - 1].entry);
    }
    report.set_round(round);
    report.set_in_sync(m_inSync);
    report.set_leaving(m_leaving);
    return report;
}

void database_standin::pushReports()
{
    if (m_reportScheduled) {
        return;
    }
    m_reportScheduled = true;
    asio::post(m_context, [this] {
        m_reportScheduled = false;
        for (const session_ptr &open : m_sessions) {
            if (!open->controlConnection) {
                continue;
            }
            wire::database_message message;
            *message.mutable_report() = report(open->round);
            reply(open, message);
        }
    });
}

void database_standin::onStatement(const session_ptr &from, const wire::database_statement &statement)
{
    wire::database_answer answer;
    answer.set_id(statement.id());
    if (!from->statementConnection) {
        refuse(answer, failure::malformedRequest, "the connection was not opened for statements");
    } else if (statement.term() != m_term || (!statement.on_replica() && m_role != wire::ROLE_PRIMARY)) {
        refuse(answer, failure::staleTerm, "this database is in term " + std::to_string(m_term));
        answer.set_refused_by_term(m_term);
    } else if (m_runningStatements >= m_settings.slots()) {
        refuse(answer, failure::overloaded, "all slots are taken");
    }
    if (answer.has_result()) {
        wire::database_message message;
        *message.mutable_answer() = answer;
        reply(from, message);
        return;
    }
    ++m_runningStatements;
    runAfter(std::chrono::microseconds(m_settings.service_time_us()), [this, from, statement] {
        execute(from, statement);
    });
}

bool database_standin::needsWriter(const session_ptr &from, const wire::database_statement &statement) const
{
    return from->inTransaction || statement.kind() == wire::STATEMENT_WRITE || statement.kind() == wire::STATEMENT_BEGIN;
}

void database_standin::execute(const session_ptr &from, const wire::database_statement &statement)
{
    if (!from->connection->isOpen()) {
        m_runningStatements -= std::min(m_runningStatements, 1U);
        return;
    }
    wire::database_answer answer;
    answer.set_id(statement.id());
    if (statement.term() != m_term) {
        refuse(answer, failure::staleTerm, "this database is in term " + std::to_string(m_term));
        answer.set_refused_by_term(m_term);
        finishStatement(from, answer);
        return;
    }
    if (needsWriter(from, statement)) {
        if (m_writerSession && m_writerSession != from) {
            m_waitingWrites.push_back({from, statement});
            return;
        }
        executeOnWriter(from, statement, answer);
        finishStatement(from, answer);
        return;
    }
    answer.mutable_result()->set_outcome(wire::OUTCOME_DONE);
    if (statement.kind() == wire::STATEMENT_LOOKUP) {
        const auto found = m_log.keys.find(request_key(statement.key()));
        if (found == m_log.keys.end()) {
            refuse(answer, failure::keyNotFound, "no request with this key has run");
        }
    } else if (statement.kind() != wire::STATEMENT_READ) {
        refuse(answer, failure::transactionLost, "no transaction is open on this connection");
    } else if (!m_store->read(statement.sql(), *answer.mutable_result())) {
        refuse(answer, failure::statementRejected, answer.result().detail());
    }
    if (m_appliedPosition > 0) {
        *answer.mutable_entry() = toWire(m_log.records[m_appliedPosition - 1].entry);
    }
    finishStatement(from, answer);
}

void database_standin::executeCommit(const session_ptr &from, wire::database_answer &answer)
{
    m_store->commit();
    from->inTransaction = false;
    if (!from->transactionStatements.empty()) {
        *answer.mutable_entry() = toWire(append(std::move(from->transactionStatements), from->transactionKey));
    }
    from->transactionStatements.clear();
    releaseWriter();
}

void database_standin::executeOnWriter(const session_ptr &from, const wire::database_statement &statement, wire::database_answer &answer)
{
    wire::result &result = *answer.mutable_result();
    result.set_outcome(wire::OUTCOME_DONE);
    const request_key key(statement.key());
    const bool keyAlreadyUsed = !key.value().empty() && m_log.keys.contains(key);
    const bool appendsRecord = statement.kind() == wire::STATEMENT_WRITE || statement.kind() == wire::STATEMENT_COMMIT;
    if (keyAlreadyUsed && appendsRecord) {
        refuse(answer, failure::duplicateKey, "a request with this key has run already");
        *answer.mutable_entry() = toWire(m_log.records[m_log.keys.at(key).value() - 1].entry);
        return;
    }
    switch (statement.kind()) {
    case wire::STATEMENT_BEGIN:
        m_writerSession = from;
        from->inTransaction = true;
        from->transactionStatements.clear();
        m_store->begin();
        // There is a single writer, so no entry is appended while the transaction is open and its reads see this position.
        *answer.mutable_entry() = toWire(lastEntry(m_log));
        return;
    case wire::STATEMENT_COMMIT:
        from->transactionKey = key;
        executeCommit(from, answer);
        return;
    case wire::STATEMENT_ROLLBACK:
        rollbackWriter();
        releaseWriter();
        return;
    default:
        break;
    }
    if (!m_store->write(statement.sql(), result)) {
        refuse(answer, failure::statementRejected, result.detail());
        return;
    }
    if (statement.kind() != wire::STATEMENT_WRITE) {
        return;
    }
    if (from->inTransaction) {
        from->transactionStatements.push_back(statement.sql());
        return;
    }
    *answer.mutable_entry() = toWire(append({statement.sql()}, key));
}

void database_standin::finishStatement(const session_ptr &from, wire::database_answer answer)
{
    m_runningStatements -= std::min(m_runningStatements, 1U);
    wire::database_message message;
    *message.mutable_answer() = std::move(answer);
    reply(from, message);
}

void database_standin::rollbackWriter()
{
    if (m_writerSession && m_writerSession->inTransaction) {
        m_store->rollback();
        m_writerSession->inTransaction = false;
        m_writerSession->transactionStatements.clear();
    }
}

void database_standin::releaseWriter()
{
    m_writerSession.reset();
    std::deque<waiting_write> waiting;
    std::swap(waiting, m_waitingWrites);
    for (const waiting_write &write : waiting) {
        execute(write.from, write.statement);
    }
}

log_entry database_standin::append(std::vector<std::string> statements, const request_key &key)
{
    const log_entry entry{term_number(m_term), log_position(lastEntry(m_log).position.value() + 1)};
    appendRecord(m_log, {entry, std::move(statements), key});
    m_appliedPosition = entry.position.value();
    pushReports();
    const std::set<session_ptr> sessions = m_sessions;
    for (const session_ptr &open : sessions) {
        if (open->nextReplicaPosition) {
            sendToReplica(open);
        }
    }
    return entry;
}

} // namespace mustardrouter
