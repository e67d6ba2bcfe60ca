#include "mustardrouter/Load/workload.h"

#include "mustardrouter/Routing/entry_router.h"

#include <asio/post.hpp>

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr std::size_t clientsPerEntry = 6;

outcome outcomeOf(const wire::result &result)
{
    return static_cast<outcome>(result.outcome());
}

load_instant::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<load_instant::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::vector<std::string> partitionsFor(const std::vector<std::string> &groups)
{
    service offered;
    offered.groups = groups;
    std::vector<std::string> partitions(groups.size());
    std::size_t missing = groups.size();
    for (int number = 0; missing > 0; ++number) {
        const std::string candidate = "partition-" + std::to_string(number);
        const std::string group = groupFor(offered, candidate).value();
        const auto index = static_cast<std::size_t>(std::ranges::find(groups, group) - groups.begin());
        if (partitions[index].empty()) {
            partitions[index] = candidate;
            --missing;
        }
    }
    return partitions;
}

workload::workload(workload_settings settings)
    : m_settings(std::move(settings))
    , m_timer(m_context)
    , m_random(m_settings.seed)
    , m_partitions(partitionsFor(m_settings.groups))
{
    m_defaultClass.service = m_settings.service;
}

workload::~workload()
{
    finish();
}

void workload::start()
{
    for (const std::string &entry : m_settings.entries) {
        for (std::size_t index = 0; index < clientsPerEntry; ++index) {
            m_clients.push_back(std::make_shared<caller_client>(m_context, entry));
            m_clients.back()->connect();
        }
    }
    m_startedAt = std::chrono::steady_clock::now();
    m_nextStartAt = m_startedAt;
    m_phaseEndsAt = m_startedAt + toDuration(m_settings.phases.front().seconds());
    scheduleNext();
    m_thread = std::thread([this] {
        m_context.run();
    });
}

void workload::finish()
{
    if (!m_thread.joinable()) {
        return;
    }
    asio::post(m_context, [this] {
        m_finishing = true;
        m_timer.cancel();
        if (m_inFlight == 0) {
            m_context.stop();
        }
    });
    m_thread.join();
}

const history &workload::observedHistory() const
{
    return m_history;
}

const load_statistics &workload::statistics() const
{
    return m_statistics;
}

void workload::setEntries(std::vector<std::string> entries)
{
    asio::post(m_context, [this, entries = std::move(entries)] {
        m_settings.entries = entries;
    });
}

void workload::advancePhase()
{
    while (m_nextStartAt >= m_phaseEndsAt && m_phase + 1 < m_settings.phases.size()) {
        ++m_phase;
        m_phaseEndsAt += toDuration(m_settings.phases[m_phase].seconds());
    }
}

load::work_class workload::drawClass()
{
    const load::phase &phase = m_settings.phases[m_phase];
    double total = 0;
    for (const load::work_share &share : phase.mix()) {
        total += share.share();
    }
    double remaining = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const load::work_share &share : phase.mix()) {
        if (remaining < share.share()) {
            return share.class_();
        }
        remaining -= share.share();
    }
    return phase.mix().rbegin()->class_();
}

const class_settings &workload::settingsOf(load::work_class workClass) const
{
    const auto found = m_settings.classes.find(workClass);
    return found == m_settings.classes.end() ? m_defaultClass : found->second;
}

void workload::scheduleNext()
{
    if (m_finishing) {
        return;
    }
    advancePhase();
    std::exponential_distribution<double> interval(m_settings.phases[m_phase].operations_per_second());
    m_nextStartAt += toDuration(interval(m_random));
    m_timer.expires_at(m_nextStartAt);
    m_timer.async_wait([this](const asio::error_code &code) {
        if (code || m_finishing) {
            return;
        }
        const auto startDelay = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_nextStartAt);
        m_statistics.maxGeneratorDelay = std::max(m_statistics.maxGeneratorDelay, startDelay);
        startOperation(m_nextStartAt);
        scheduleNext();
    });
}

std::shared_ptr<caller_client> workload::pickClient()
{
    std::shared_ptr<caller_client> &chosen = m_clients[m_random() % m_clients.size()];
    if (!chosen->acceptsNewRequests()) {
        // As a load balancer does, the new connection goes to any entry that still accepts callers.
        const std::string &entry = m_settings.entries[m_random() % m_settings.entries.size()];
        chosen = std::make_shared<caller_client>(m_context, entry);
        chosen->connect();
    }
    return chosen;
}

void workload::startOperation(load_instant intendedAt)
{
    const std::size_t group = m_random() % m_settings.groups.size();
    operation op;
    op.id = "op-" + std::to_string(m_settings.seed) + "-" + std::to_string(m_nextOperation++);
    op.group = m_settings.groups[group];
    op.partition = m_partitions[group];
    op.intendedAt = intendedAt;
    op.phase = m_phase;
    op.workClass = drawClass();
    switch (op.workClass) {
    case load::BOOKING:
    case load::SAVE:
        save(op);
        break;
    case load::CHECK_IN:
        insertPair(op);
        break;
    default:
        browse(op);
        break;
    }
}

wire::statement workload::newStatement(const operation &op, wire::statement_kind kind, std::string sql) const
{
    wire::statement statement;
    statement.set_kind(kind);
    const class_settings &classSettings = settingsOf(op.workClass);
    statement.set_service(classSettings.service);
    statement.set_partition(op.partition);
    statement.set_session(op.id);
    statement.set_deadline_ms(static_cast<std::uint64_t>(classSettings.deadline.count()));
    statement.set_sql(std::move(sql));
    return statement;
}

void workload::countOutcome(const wire::result &result)
{
    ++m_history.statements;
    switch (outcomeOf(result)) {
    case outcome::done:
        ++m_history.done;
        break;
    case outcome::notRun:
        ++m_history.notRun;
        break;
    case outcome::unknown:
        ++m_history.unknown;
        break;
    }
}

void workload::send(const std::shared_ptr<caller_client> &client,
                    const operation &op,
                    const wire::statement &statement,
                    caller_client::handler onResult)
{
    ++m_inFlight;
    const bool replicaMayServe = statement.kind() == wire::STATEMENT_READ && statement.transaction() == 0;
    const statement_origin origin{op.phase, op.workClass, replicaMayServe, op.intendedAt};
    // Keeps the client alive until its last reply, also when another has replaced it for new requests.
    client->send(statement, [this, client, origin, onResult = std::move(onResult)](const wire::result &result) {
        countOutcome(result);
        const auto now = std::chrono::steady_clock::now();
        recordAnswer(m_statistics, origin, result, now - origin.intendedAt, now - m_startedAt);
        onResult(result);
        --m_inFlight;
        if (m_finishing && m_inFlight == 0) {
            m_context.stop();
        }
    });
}

void workload::countRead(const wire::result &result)
{
    ++(result.from_replica() ? m_history.replicaReads : m_history.primaryReads);
}

void workload::save(const operation &op)
{
    const std::string sql = "INSERT INTO items(id, owner, body) VALUES('" + op.id + "', '" + op.id + "', 'saved')";
    wire::statement statement = newStatement(op, wire::STATEMENT_WRITE, sql);
    statement.set_non_idempotent(true);
    statement.set_key(op.id);
    send(pickClient(), op, statement, [this, op](const wire::result &result) {
        m_history.writes.push_back({op.id, op.group, outcomeOf(result), std::chrono::steady_clock::now()});
        if (outcomeOf(result) == outcome::done) {
            readBack(op, result.session_token());
        }
    });
}

void workload::readBack(const operation &op, const std::string &token)
{
    operation read = op;
    read.intendedAt = std::chrono::steady_clock::now();
    wire::statement statement = newStatement(read, wire::STATEMENT_READ, "SELECT id FROM items WHERE id = '" + op.id + "'");
    if (m_settings.primaryOnly) {
        statement.set_read_rule(wire::READ_LATEST);
    }
    // Half of the sessions send their token to the entry, the other half only the session's name.
    if (m_random() % 2 == 0) {
        statement.set_session_token(token);
    }
    send(pickClient(), read, statement, [this, op](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            return;
        }
        countRead(result);
        if (result.rows_size() == 0) {
            ++m_history.staleReads;
            return;
        }
        if (result.rows(0).values(0) != op.id) {
            ++m_history.misattributed;
        }
    });
}

void workload::browse(const operation &op)
{
    wire::statement statement = newStatement(op, wire::STATEMENT_READ, "SELECT '" + op.id + "', count(*) FROM items");
    statement.set_read_rule(m_settings.primaryOnly ? wire::READ_LATEST : wire::READ_AGE);
    statement.set_max_age_ms(static_cast<std::uint64_t>(settingsOf(op.workClass).maxAge.count()));
    send(pickClient(), op, statement, [this, op](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            return;
        }
        countRead(result);
        if (result.rows_size() != 1 || result.rows(0).values(0) != op.id) {
            ++m_history.misattributed;
        }
    });
}

void workload::insertPair(const operation &op)
{
    const auto client = pickClient();
    send(client, op, newStatement(op, wire::STATEMENT_BEGIN, {}), [this, op, client](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            recordPair(op, outcome::notRun);
            return;
        }
        insertPairRow(op, client, result.transaction(), 1);
    });
}

void workload::insertPairRow(const operation &op, const std::shared_ptr<caller_client> &client, std::uint64_t transaction, int part)
{
    const std::string sql =
        "INSERT INTO pairs(transaction_id, owner, part) VALUES('" + op.id + "', '" + op.id + "', " + std::to_string(part) + ")";
    operation insertion = op;
    insertion.intendedAt = std::chrono::steady_clock::now();
    wire::statement statement = newStatement(op, wire::STATEMENT_WRITE, sql);
    statement.set_transaction(transaction);
    send(client, insertion, statement, [this, op, client, transaction, part](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            recordPair(op, outcome::notRun);
            return;
        }
        if (part == 1) {
            insertPairRow(op, client, transaction, 2);
            return;
        }
        commitPair(op, client, transaction);
    });
}

void workload::commitPair(const operation &op, const std::shared_ptr<caller_client> &client, std::uint64_t transaction)
{
    operation commit = op;
    commit.intendedAt = std::chrono::steady_clock::now();
    wire::statement statement = newStatement(op, wire::STATEMENT_COMMIT, {});
    statement.set_transaction(transaction);
    send(client, commit, statement, [this, op](const wire::result &result) {
        recordPair(op, outcomeOf(result));
    });
}

void workload::recordPair(const operation &op, outcome kind)
{
    m_history.pairs.push_back({op.id, op.id, op.group, kind});
}

} // namespace mustardrouter
