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

load_instant::duration toSpan(double seconds)
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
    m_start = std::chrono::steady_clock::now();
    m_next = m_start;
    m_phaseEnd = m_start + toSpan(m_settings.phases.front().seconds());
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

const history &workload::seen() const
{
    return m_seen;
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
    while (m_next >= m_phaseEnd && m_phase + 1 < m_settings.phases.size()) {
        ++m_phase;
        m_phaseEnd += toSpan(m_settings.phases[m_phase].seconds());
    }
}

load::work_class workload::drawClass()
{
    const load::phase &phase = m_settings.phases[m_phase];
    double total = 0;
    for (const load::work_share &share : phase.mix()) {
        total += share.share();
    }
    double left = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const load::work_share &share : phase.mix()) {
        if (left < share.share()) {
            return share.class_();
        }
        left -= share.share();
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
    std::exponential_distribution<double> gap(m_settings.phases[m_phase].operations_per_second());
    m_next += toSpan(gap(m_random));
    m_timer.expires_at(m_next);
    m_timer.async_wait([this](const asio::error_code &code) {
        if (code || m_finishing) {
            return;
        }
        const auto late = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_next);
        m_statistics.generatorLate = std::max(m_statistics.generatorLate, late);
        startOperation(m_next);
        scheduleNext();
    });
}

std::shared_ptr<caller_client> workload::anyClient()
{
    std::shared_ptr<caller_client> &chosen = m_clients[m_random() % m_clients.size()];
    if (!chosen->takesNew()) {
        // The balancer sends a new connection to any entry that still listens.
        const std::string &entry = m_settings.entries[m_random() % m_settings.entries.size()];
        chosen = std::make_shared<caller_client>(m_context, entry);
        chosen->connect();
    }
    return chosen;
}

void workload::startOperation(load_instant intended)
{
    const std::size_t group = m_random() % m_settings.groups.size();
    operation what;
    what.id = "op-" + std::to_string(m_settings.seed) + "-" + std::to_string(m_nextOperation++);
    what.group = m_settings.groups[group];
    what.partition = m_partitions[group];
    what.intended = intended;
    what.phase = m_phase;
    what.workClass = drawClass();
    switch (what.workClass) {
    case load::BOOKING:
    case load::SAVE:
        save(what);
        break;
    case load::CHECK_IN:
        bookPair(what);
        break;
    default:
        browse(what);
        break;
    }
}

wire::statement workload::newStatement(const operation &what, wire::statement_kind kind, std::string sql) const
{
    wire::statement statement;
    statement.set_kind(kind);
    const class_settings &sent = settingsOf(what.workClass);
    statement.set_service(sent.service);
    statement.set_partition(what.partition);
    statement.set_session(what.id);
    statement.set_deadline_ms(static_cast<std::uint64_t>(sent.deadline.count()));
    statement.set_sql(std::move(sql));
    return statement;
}

void workload::countOutcome(const wire::result &result)
{
    ++m_seen.statements;
    switch (outcomeOf(result)) {
    case outcome::done:
        ++m_seen.done;
        break;
    case outcome::notRun:
        ++m_seen.notRun;
        break;
    case outcome::unknown:
        ++m_seen.unknown;
        break;
    }
}

void workload::send(const std::shared_ptr<caller_client> &client,
                    const operation &what,
                    const wire::statement &statement,
                    caller_client::handler onResult)
{
    ++m_inFlight;
    const bool replicaMayServe = statement.kind() == wire::STATEMENT_READ && statement.transaction() == 0;
    const statement_origin origin{what.phase, what.workClass, replicaMayServe, what.intended};
    // The client lives until its last answer, also when it has been replaced for new work.
    client->send(statement, [this, client, origin, onResult = std::move(onResult)](const wire::result &result) {
        countOutcome(result);
        const auto now = std::chrono::steady_clock::now();
        recordAnswer(m_statistics, origin, result, now - origin.intended, now - m_start);
        onResult(result);
        --m_inFlight;
        if (m_finishing && m_inFlight == 0) {
            m_context.stop();
        }
    });
}

void workload::countRead(const wire::result &result)
{
    ++(result.from_replica() ? m_seen.replicaReads : m_seen.primaryReads);
}

void workload::save(const operation &what)
{
    const std::string sql = "INSERT INTO items(id, owner, body) VALUES('" + what.id + "', '" + what.id + "', 'saved')";
    wire::statement statement = newStatement(what, wire::STATEMENT_WRITE, sql);
    statement.set_non_idempotent(true);
    statement.set_key(what.id);
    send(anyClient(), what, statement, [this, what](const wire::result &result) {
        m_seen.writes.push_back({what.id, what.group, outcomeOf(result), std::chrono::steady_clock::now()});
        if (outcomeOf(result) == outcome::done) {
            readBack(what, result.session_token());
        }
    });
}

void workload::readBack(const operation &what, const std::string &token)
{
    operation read = what;
    read.intended = std::chrono::steady_clock::now();
    wire::statement statement = newStatement(read, wire::STATEMENT_READ, "SELECT id FROM items WHERE id = '" + what.id + "'");
    if (m_settings.primaryOnly) {
        statement.set_read_rule(wire::READ_LATEST);
    }
    // Half of the sessions bring their token to whichever entry they meet, half only their name.
    if (m_random() % 2 == 0) {
        statement.set_session_token(token);
    }
    send(anyClient(), read, statement, [this, what](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            return;
        }
        countRead(result);
        if (result.rows_size() == 0) {
            ++m_seen.staleReads;
            return;
        }
        if (result.rows(0).values(0) != what.id) {
            ++m_seen.misattributed;
        }
    });
}

void workload::browse(const operation &what)
{
    wire::statement statement = newStatement(what, wire::STATEMENT_READ, "SELECT '" + what.id + "', count(*) FROM items");
    statement.set_read_rule(m_settings.primaryOnly ? wire::READ_LATEST : wire::READ_AGE);
    statement.set_max_age_ms(static_cast<std::uint64_t>(settingsOf(what.workClass).maxAge.count()));
    send(anyClient(), what, statement, [this, what](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            return;
        }
        countRead(result);
        if (result.rows_size() != 1 || result.rows(0).values(0) != what.id) {
            ++m_seen.misattributed;
        }
    });
}

void workload::bookPair(const operation &what)
{
    const auto client = anyClient();
    send(client, what, newStatement(what, wire::STATEMENT_BEGIN, {}), [this, what, client](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            endPair(what, outcome::notRun);
            return;
        }
        insertPart(what, client, result.transaction(), 1);
    });
}

void workload::insertPart(const operation &what, const std::shared_ptr<caller_client> &client, std::uint64_t transaction, int part)
{
    const std::string sql =
        "INSERT INTO pairs(transaction_id, owner, part) VALUES('" + what.id + "', '" + what.id + "', " + std::to_string(part) + ")";
    operation statementOf = what;
    statementOf.intended = std::chrono::steady_clock::now();
    wire::statement statement = newStatement(what, wire::STATEMENT_WRITE, sql);
    statement.set_transaction(transaction);
    send(client, statementOf, statement, [this, what, client, transaction, part](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            endPair(what, outcome::notRun);
            return;
        }
        if (part == 1) {
            insertPart(what, client, transaction, 2);
            return;
        }
        commitPair(what, client, transaction);
    });
}

void workload::commitPair(const operation &what, const std::shared_ptr<caller_client> &client, std::uint64_t transaction)
{
    operation commit = what;
    commit.intended = std::chrono::steady_clock::now();
    wire::statement statement = newStatement(what, wire::STATEMENT_COMMIT, {});
    statement.set_transaction(transaction);
    send(client, commit, statement, [this, what](const wire::result &result) {
        endPair(what, outcomeOf(result));
    });
}

void workload::endPair(const operation &what, outcome kind)
{
    m_seen.pairs.push_back({what.id, what.id, what.group, kind});
}

} // namespace mustardrouter
