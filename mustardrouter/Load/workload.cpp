#include "mustardrouter/Load/workload.h"

#include "mustardrouter/Routing/entry_router.h"

#include <asio/post.hpp>

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr std::size_t clientsPerEntry = 6;
constexpr std::uint64_t browseAgeMs = 2000;
constexpr std::uint64_t deadlineMs = 5000;

outcome outcomeOf(const wire::result &result)
{
    return static_cast<outcome>(result.outcome());
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
{
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
    m_next = std::chrono::steady_clock::now();
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

const std::vector<double> &workload::latencies() const
{
    return m_latencies;
}

void workload::scheduleNext()
{
    if (m_finishing) {
        return;
    }
    std::exponential_distribution<double> gap(m_settings.operationsPerSecond);
    m_next += std::chrono::duration_cast<load_instant::duration>(std::chrono::duration<double>(gap(m_random)));
    m_timer.expires_at(m_next);
    m_timer.async_wait([this](const asio::error_code &code) {
        if (code || m_finishing) {
            return;
        }
        startOperation(m_next);
        scheduleNext();
    });
}

std::shared_ptr<caller_client> workload::anyClient()
{
    std::shared_ptr<caller_client> &chosen = m_clients[m_random() % m_clients.size()];
    if (!chosen->isOpen()) {
        // The balancer sends a new connection to any entry that still listens.
        const std::string &entry = m_settings.entries[m_random() % m_settings.entries.size()];
        chosen = std::make_shared<caller_client>(m_context, entry);
        chosen->connect();
    }
    return chosen;
}

void workload::startOperation(load_instant intended)
{
    static constexpr int savesPercent = 30;
    static constexpr int pairsPercent = 10;
    const std::vector<std::string> partitions = partitionsFor(m_settings.groups);
    const std::size_t group = m_random() % m_settings.groups.size();
    operation what;
    what.id = "op-" + std::to_string(m_settings.seed) + "-" + std::to_string(m_nextOperation++);
    what.group = m_settings.groups[group];
    what.partition = partitions[group];
    what.intended = intended;
    const int dice = static_cast<int>(m_random() % 100);
    if (dice < savesPercent) {
        save(what);
    } else if (dice < savesPercent + pairsPercent) {
        bookPair(what);
    } else {
        browse(what);
    }
}

wire::statement workload::newStatement(const operation &what, wire::statement_kind kind, std::string sql) const
{
    wire::statement statement;
    statement.set_kind(kind);
    statement.set_service(m_settings.service);
    statement.set_partition(what.partition);
    statement.set_session(what.id);
    statement.set_deadline_ms(deadlineMs);
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
    const load_instant intended = what.intended;
    client->send(statement, [this, intended, onResult = std::move(onResult)](const wire::result &result) {
        countOutcome(result);
        const auto took = std::chrono::steady_clock::now() - intended;
        m_latencies.push_back(std::chrono::duration<double, std::milli>(took).count());
        onResult(result);
        --m_inFlight;
        if (m_finishing && m_inFlight == 0) {
            m_context.stop();
        }
    });
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
    // Half of the sessions bring their token to whichever entry they meet, half only their name.
    if (m_random() % 2 == 0) {
        statement.set_session_token(token);
    }
    send(anyClient(), read, statement, [this, what](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            return;
        }
        ++(result.from_replica() ? m_seen.replicaReads : m_seen.primaryReads);
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
    statement.set_read_rule(wire::READ_AGE);
    statement.set_max_age_ms(browseAgeMs);
    send(anyClient(), what, statement, [this, what](const wire::result &result) {
        if (outcomeOf(result) != outcome::done) {
            return;
        }
        ++(result.from_replica() ? m_seen.replicaReads : m_seen.primaryReads);
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
