#include "fake_database.h"

#include <algorithm>

namespace mustardrouter::histories
{

namespace
{

constexpr auto reconnectPause = std::chrono::milliseconds(8);

std::string payload(const std::string &sql)
{
    return sql.substr(sql.find(' ') + 1);
}

statement_result doneResult(std::string rows)
{
    statement_result result;
    result.kind = outcome::done;
    result.rows = std::move(rows);
    return result;
}

} // namespace

fake_database::fake_database(endpoint_index index, event_queue &queue, fake_network &network, std::mt19937 &random, defect injected)
    : m_name("db" + std::to_string(index - firstDatabase))
    , m_index(index)
    , m_queue(queue)
    , m_network(network)
    , m_random(random)
    , m_defect(injected)
{
}

void fake_database::connect(std::vector<fake_database *> others)
{
    m_others = std::move(others);
}

log_entry fake_database::lastEntry() const
{
    return log.empty() ? log_entry{} : log.back().entry;
}

database_report fake_database::report(std::uint64_t round) const
{
    database_report report;
    report.term = term;
    report.role = role;
    report.received = lastEntry();
    if (applied > 0) {
        report.applied = log[applied - 1].entry;
    }
    report.round = round;
    report.inSync = inSync;
    if (m_defect == defect::skipRounds) {
        report.round = UINT64_MAX / 2;
    }
    if (m_defect == defect::skipBarrier && role != database_role::fenced) {
        report.received.term = term;
    }
    if (m_defect == defect::skipConfirmation && role == database_role::replica && m_primary != nullptr && inSync) {
        report.received = std::max(report.received, m_primary->lastEntry());
    }
    return report;
}

void fake_database::sendReport(const control_ptr &to)
{
    m_network.send(to->toInstance, [to, event = database_reported{m_name, report(to->round)}] {
        if (!to->closed) {
            to->deliver(event);
        }
    });
}

void fake_database::pushReports()
{
    if (m_reportScheduled) {
        return;
    }
    m_reportScheduled = true;
    m_queue.after(duration(50), [this] {
        m_reportScheduled = false;
        for (const control_ptr &control : controls) {
            sendReport(control);
        }
    });
}

void fake_database::onOrder(const control_ptr &from, const ownership_action &order)
{
    if (const auto *asked = std::get_if<order_report>(&order)) {
        from->round = std::max(from->round, asked->round);
    } else if (const auto *fenced = std::get_if<order_fence>(&order)) {
        if (fenced->term > term) {
            adoptTerm(fenced->term);
            role = database_role::fenced;
            m_primary = nullptr;
        }
    } else if (const auto *promoted = std::get_if<order_promote>(&order)) {
        promote(promoted->term);
    } else if (const auto *followed = std::get_if<order_follow>(&order)) {
        follow(followed->term, followed->primary);
    }
    sendReport(from);
}

void fake_database::adoptTerm(term_number newTerm)
{
    term = newTerm;
    inSync = false;
    m_followers.clear();
    ++m_stream;
    const std::vector<connection_ptr> open = connections;
    for (const connection_ptr &connection : open) {
        if (connection->term >= newTerm || m_defect == defect::ignoreTerms) {
            continue;
        }
        m_network.send(connection->toInstance, [connection] {
            connection->deliver(connection_closed{connection->id});
        });
        onClose(connection);
    }
}

void fake_database::promote(term_number newTerm)
{
    if (newTerm < term || (newTerm == term && role != database_role::fenced)) {
        return;
    }
    if (newTerm > term) {
        adoptTerm(newTerm);
    }
    applied = log.size();
    role = database_role::primary;
    m_primary = nullptr;
    if (m_defect != defect::skipBarrier) {
        append({}, {});
    }
}

void fake_database::follow(term_number newTerm, const database_name &primary)
{
    const bool already = newTerm == term && role == database_role::replica && m_primary != nullptr && m_primary->name() == primary;
    if (newTerm < term || already || (newTerm == term && role == database_role::primary)) {
        return;
    }
    if (newTerm > term) {
        adoptTerm(newTerm);
    }
    role = database_role::replica;
    for (fake_database *other : m_others) {
        if (other->name() == primary) {
            m_primary = other;
        }
    }
    startReplication();
}

void fake_database::startReplication()
{
    if (!up || role != database_role::replica || m_primary == nullptr) {
        return;
    }
    const std::uint64_t stream = ++m_stream;
    std::vector<log_entry> entries;
    for (const fake_record &record : log) {
        entries.push_back(record.entry);
    }
    fake_database *primary = m_primary;
    m_network.send(m_network.open(m_index, primary->index()), [this, primary, stream, entries, wanted = term] {
        if (primary->up && primary->role == database_role::primary && primary->term == wanted) {
            primary->onReplicate(this, stream, entries);
        }
    });
    // Retries until the primary has accepted the replication request.
    m_queue.after(reconnectPause, [this, stream] {
        if (stream == m_stream && !inSync) {
            startReplication();
        }
    });
}

void fake_database::onReplicate(fake_database *replica, std::uint64_t stream, const std::vector<log_entry> &theirs)
{
    std::size_t common = 0;
    while (common < log.size() && common < theirs.size() && log[common].entry == theirs[common]) {
        ++common;
    }
    std::erase_if(m_followers, [&](const follower &old) {
        return old.replica == replica;
    });
    m_followers.push_back({replica, m_network.open(m_index, replica->index()), stream, common});
    follower &added = m_followers.back();
    m_network.send(added.channel, [replica, stream, common] {
        replica->onTruncate(stream, common);
    });
    sendTo(added);
}

void fake_database::sendTo(follower &to)
{
    for (; to.next < log.size(); ++to.next) {
        m_network.send(
            to.channel,
            [replica = to.replica, stream = to.stream, record = log[to.next]] {
                replica->onRecord(stream, record);
            },
            to.replica->replicationDelay);
    }
}

void fake_database::onTruncate(std::uint64_t stream, std::size_t keep)
{
    if (stream != m_stream || !up) {
        return;
    }
    log.resize(std::min(log.size(), keep));
    applied = std::min(applied, log.size());
    inSync = true;
    pushReports();
}

void fake_database::onRecord(std::uint64_t stream, const fake_record &record)
{
    const bool next = record.entry.position.value() == log.size() + 1;
    if (stream != m_stream || !up || !inSync || !next) {
        return;
    }
    log.push_back(record);
    m_queue.after(applyLag, [this, stream, upTo = log.size()] {
        if (stream == m_stream) {
            applied = std::max(applied, std::min(upTo, log.size()));
            pushReports();
        }
    });
    pushReports();
}

log_entry fake_database::append(std::vector<std::string> rows, const request_key &key)
{
    const log_entry entry{term, log_position(log.size() + 1)};
    log.push_back({entry, std::move(rows), key});
    applied = log.size();
    pushReports();
    for (follower &to : m_followers) {
        sendTo(to);
    }
    return entry;
}

std::string fake_database::visibleRows(std::size_t records, const fake_connection &to) const
{
    std::string rows;
    for (std::size_t index = 0; index < records; ++index) {
        for (const std::string &row : log[index].rows) {
            rows += row + ",";
        }
    }
    for (const std::string &row : to.transactionRows) {
        rows += row + ",";
    }
    return rows;
}

bool fake_database::hasKey(const request_key &key) const
{
    return positionOf(key).value() != 0;
}

log_position fake_database::positionOf(const request_key &key) const
{
    for (const fake_record &record : log) {
        if (!key.value().empty() && record.key == key) {
            return record.entry.position;
        }
    }
    return {};
}

void fake_database::onOpen(const connection_ptr &from, term_number wanted)
{
    if (from->closed || !up) {
        return;
    }
    from->term = wanted;
    from->accepted = wanted >= term;
    if (from->accepted) {
        connections.push_back(from);
    }
    m_network.send(from->toInstance, [from, event = connection_opened{from->id, from->accepted, term}] {
        from->deliver(event);
    });
}

void fake_database::onStatement(const connection_ptr &from, const run_statement &statement)
{
    if (!up || from->closed) {
        return;
    }
    const duration service(std::uniform_int_distribution<int>(50, 800)(m_random));
    m_queue.after(service, [this, from, statement, incarnation = m_incarnation] {
        if (incarnation == m_incarnation && !from->closed) {
            execute(from, statement);
        }
    });
}

void fake_database::answer(const connection_ptr &to, const statement_answered &answer)
{
    m_network.send(to->toInstance, [to, answer] {
        to->deliver(answer);
    });
}

void fake_database::execute(const connection_ptr &from, const run_statement &statement)
{
    statement_answered reply;
    reply.connection = from->id;
    reply.request = statement.request;
    const bool wrongTerm = statement.term != term || (!statement.onReplica && role != database_role::primary);
    if (wrongTerm && m_defect != defect::ignoreTerms) {
        reply.result = notRun(failure::staleTerm);
        reply.refusedByTerm = term;
        answer(from, reply);
        return;
    }
    const bool writes = from->inTransaction || statement.kind == statement_kind::write || statement.kind == statement_kind::begin;
    if (writes) {
        if (m_writer && m_writer != from) {
            m_waiting.emplace_back(from, statement);
            return;
        }
        executeWriter(from, statement, reply);
        answer(from, reply);
        return;
    }
    if (applied > 0) {
        reply.entry = log[applied - 1].entry;
    }
    if (statement.kind == statement_kind::lookup) {
        reply.result = hasKey(statement.key) ? doneResult("") : notRun(failure::keyNotFound);
    } else if (statement.kind == statement_kind::read) {
        reply.result = doneResult(payload(statement.sql) + "|" + visibleRows(applied, *from));
    } else {
        reply.result = notRun(failure::transactionLost);
    }
    answer(from, reply);
}

void fake_database::executeWriter(const connection_ptr &from, const run_statement &statement, statement_answered &reply)
{
    const bool records = statement.kind == statement_kind::write || statement.kind == statement_kind::commit;
    if (records && hasKey(statement.key)) {
        reply.result = notRun(failure::duplicateKey);
        reply.entry = log[positionOf(statement.key).value() - 1].entry;
        return;
    }
    const std::string text = payload(statement.sql);
    switch (statement.kind) {
    case statement_kind::begin:
        m_writer = from;
        from->inTransaction = true;
        from->transactionRows.clear();
        reply.result = doneResult("");
        if (!log.empty()) {
            reply.entry = log.back().entry;
        }
        return;
    case statement_kind::commit:
        if (!from->transactionRows.empty()) {
            reply.entry = append(std::move(from->transactionRows), statement.key);
        }
        reply.result = doneResult("");
        [[fallthrough]];
    case statement_kind::rollback:
        reply.result.kind = outcome::done;
        from->inTransaction = false;
        from->transactionRows.clear();
        releaseWriter();
        return;
    case statement_kind::read:
        reply.result = doneResult(text + "|" + visibleRows(log.size(), *from));
        return;
    default:
        break;
    }
    if (from->inTransaction) {
        from->transactionRows.push_back(text);
        reply.result = doneResult(text + "|" + visibleRows(log.size(), *from));
        return;
    }
    reply.entry = append({text}, statement.key);
    reply.result = doneResult(text + "|" + visibleRows(log.size(), *from));
}

void fake_database::releaseWriter()
{
    m_writer.reset();
    std::vector<std::pair<connection_ptr, run_statement>> waiting;
    std::swap(waiting, m_waiting);
    for (const auto &[from, statement] : waiting) {
        if (!from->closed) {
            execute(from, statement);
        }
    }
}

void fake_database::onClose(const connection_ptr &from)
{
    if (from->closed) {
        return;
    }
    from->closed = true;
    std::erase(connections, from);
    if (m_writer != from) {
        return;
    }
    if (m_defect == defect::keepTransactions && !from->transactionRows.empty()) {
        append(std::move(from->transactionRows), {});
    }
    from->transactionRows.clear();
    from->inTransaction = false;
    releaseWriter();
}

void fake_database::crash()
{
    up = false;
    ++m_incarnation;
    ++m_stream;
    role = database_role::fenced;
    inSync = false;
    m_followers.clear();
    m_primary = nullptr;
    m_writer.reset();
    m_waiting.clear();
    for (const connection_ptr &connection : connections) {
        connection->closed = true;
        connection->transactionRows.clear();
        m_network.send(connection->toInstance, [connection] {
            connection->deliver(connection_closed{connection->id});
        });
    }
    connections.clear();
    for (fake_database *other : m_others) {
        if (other->m_primary == this) {
            other->resetReplication();
        }
    }
}

void fake_database::restart()
{
    up = true;
    applied = log.size();
}

void fake_database::resetReplication()
{
    inSync = false;
    startReplication();
}

} // namespace mustardrouter::histories
