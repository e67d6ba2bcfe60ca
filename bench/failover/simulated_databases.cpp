#include "group_simulation.h"

namespace mustardrouter
{

void group_simulation::sendOrder(std::size_t from,
                                 const database_name &to,
                                 std::function<void(simulated_database &)> effect,
                                 std::uint64_t round)
{
    const std::size_t index = indexOf(to);
    schedule(jittered(m_delays.dataCentreDelay), [this, from, index, effect = std::move(effect), round] {
        simulated_database &database = m_databases[index];
        if (database.state == fault::silent) {
            return;
        }
        if (database.state == fault::killed) {
            schedule(jittered(m_delays.dataCentreDelay), [this, from, name = database.name] {
                deliver(from, database_unreachable{name});
            });
            return;
        }
        if (effect) {
            effect(database);
        }
        sendReport(from, index, round);
    });
}

void group_simulation::sendReport(std::size_t to, std::size_t database, std::uint64_t round)
{
    simulated_database &from = m_databases[database];
    if (from.state != fault::none) {
        return;
    }
    const time_point departure = std::max(m_now, from.nextAnswerAt) + answerDelay();
    from.nextAnswerAt = departure;
    database_report report;
    report.term = from.term;
    report.role = from.role;
    report.received = from.last;
    report.applied = from.last;
    report.round = round;
    report.inSync = from.inSync;
    schedule(departure - m_now + jittered(m_delays.dataCentreDelay),
             [this, to, name = from.name, report, connectionGeneration = from.connectionGeneration, database] {
                 if (m_databases[database].connectionGeneration == connectionGeneration) {
                     deliver(to, database_reported{name, report});
                 }
             });
}

void group_simulation::pushReports(std::size_t database)
{
    if (m_serving) {
        sendReport(*m_serving, database, 0);
        return;
    }
    for (std::size_t index = 0; index < instanceCount; ++index) {
        if (m_instances[index].ownership->role == ownership_role::owner) {
            sendReport(index, database, 0);
        }
    }
}

void group_simulation::fence(simulated_database &database, term_number term)
{
    if (term <= database.term) {
        return;
    }
    database.term = term;
    database.role = database_role::fenced;
    database.inSync = false;
    database.primary.reset();
}

void group_simulation::promote(simulated_database &database, term_number term)
{
    if (term != database.term || database.role != database_role::fenced) {
        return;
    }
    database.role = database_role::primary;
    database.log.push_back({term, log_position(database.log.size() + 1)});
    database.last = database.log.back();
}

void group_simulation::follow(simulated_database &database, term_number term, const database_name &primary)
{
    const bool already = term == database.term && database.role != database_role::fenced;
    if (term < database.term || already) {
        return;
    }
    database.term = term;
    database.role = database_role::replica;
    database.inSync = false;
    database.primary = indexOf(primary);
    // One and a half round trips: opening a connection to the primary and receiving its first batch.
    const std::size_t replica = indexOf(database.name);
    schedule(3 * jittered(m_delays.dataCentreDelay), [this, replica, from = *database.primary, term] {
        if (m_databases[from].state == fault::none && m_databases[from].term == term) {
            receive(replica, from, m_databases[from].log, term);
        }
    });
}

void group_simulation::replicate(std::size_t from)
{
    const term_number term = m_databases[from].term;
    for (std::size_t index = 0; index < databaseCount; ++index) {
        if (m_databases[index].primary != from || !m_databases[index].inSync) {
            continue;
        }
        const log_entry added = m_databases[from].last;
        schedule(m_delays.replication + jittered(m_delays.dataCentreDelay), [this, index, from, added, term] {
            simulated_database &replica = m_databases[index];
            const bool isNextEntry =
                replica.term == term && replica.primary == from && replica.inSync && added.position.value() == replica.log.size() + 1;
            if (!isNextEntry) {
                return;
            }
            replica.log.push_back(added);
            replica.last = added;
            pushReports(index);
        });
    }
}

void group_simulation::receive(std::size_t replica, std::size_t from, const std::vector<log_entry> &log, term_number term)
{
    simulated_database &database = m_databases[replica];
    if (database.term != term || database.primary != from) {
        return;
    }
    database.log = log;
    database.last = log.back();
    database.inSync = true;
    pushReports(replica);
    // Entries appended while the batch was in flight are sent immediately afterwards.
    schedule(jittered(m_delays.dataCentreDelay), [this, replica, from, term] {
        simulated_database &behind = m_databases[replica];
        const simulated_database &primary = m_databases[from];
        const bool lags = behind.term == term && behind.primary == from && primary.term == term && behind.log.size() < primary.log.size();
        if (lags && primary.state == fault::none) {
            receive(replica, from, primary.log, term);
        }
    });
}

void group_simulation::writeNext(std::size_t owner, term_number term)
{
    const group_ownership &ownership = *m_instances[owner].ownership;
    if (m_serving != owner || ownership.term != term) {
        return;
    }
    const std::size_t primary = indexOf(ownership.primary);
    schedule(jittered(m_delays.dataCentreDelay) + m_delays.statement, [this, owner, primary, term] {
        simulated_database &database = m_databases[primary];
        if (database.state != fault::none || database.term != term || database.role != database_role::primary) {
            return;
        }
        database.log.push_back({term, log_position(database.log.size() + 1)});
        database.last = database.log.back();
        replicate(primary);
        pushReports(primary);
        const log_position position = database.last.position;
        schedule(answerDelay() + jittered(m_delays.dataCentreDelay), [this, owner, primary, term, position] {
            if (m_serving == owner && m_instances[owner].ownership->term == term) {
                deliver(owner, database_answered{m_databases[primary].name});
                m_writes.push_back({position, m_now});
                confirmWrites(owner);
            }
        });
    });
    schedule(m_delays.writeInterval, [this, owner, term] {
        writeNext(owner, term);
    });
}

} // namespace mustardrouter
