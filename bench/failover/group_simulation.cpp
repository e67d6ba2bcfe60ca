#include "group_simulation.h"

#include <algorithm>
#include <variant>

namespace mustardrouter
{

namespace
{

constexpr duration tickInterval = std::chrono::milliseconds(5);
/// A call to a platform that is down fails after this time.
constexpr duration platformTimeout = std::chrono::seconds(1);

instance_name nameOf(std::size_t index, std::uint64_t incarnation)
{
    return instance_name("i" + std::to_string(index) + "." + std::to_string(incarnation));
}

} // namespace

bool group_simulation::fires_later::operator()(const pending_event &a, const pending_event &b) const
{
    return a.at == b.at ? a.order > b.order : a.at > b.at;
}

group_simulation::group_simulation(simulated_delays delays, ownership_settings settings, std::uint64_t seed)
    : m_delays(delays)
    , m_settings(settings)
    , m_random(seed)
    , m_instances(instanceCount)
{
    for (std::size_t index = 0; index < databaseCount; ++index) {
        simulated_database made;
        made.name = database_name("d" + std::to_string(index));
        m_databases.push_back(std::move(made));
    }
    for (std::size_t index = 0; index < instanceCount; ++index) {
        startInstance(index);
    }
}

void group_simulation::runFor(duration span)
{
    const time_point until = m_now + span;
    while (!m_events.empty() && m_events.top().at <= until) {
        const pending_event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.work();
    }
    m_now = until;
}

bool group_simulation::runUntilDone(duration recoveryTimeout)
{
    const time_point until = m_now + recoveryTimeout;
    while (m_times.firstDone == time_point{} && m_now < until) {
        runFor(std::chrono::milliseconds(1));
    }
    return m_times.firstDone != time_point{};
}

void group_simulation::killPrimary()
{
    const std::size_t primary = indexOf(m_instances[*m_serving].ownership->primary);
    m_databases[primary].state = fault::killed;
    m_times = {m_times.lastDone, m_now, {}, {}, {}, {}};
    ++m_databases[primary].connectionGeneration;
    const duration reset = jittered(m_delays.dataCentreDelay);
    for (std::size_t index = 0; index < databaseCount; ++index) {
        simulated_database &replica = m_databases[index];
        if (replica.primary != primary) {
            continue;
        }
        schedule(reset, [this, index, primary] {
            if (m_databases[index].primary == primary) {
                m_databases[index].inSync = false;
            }
        });
    }
    const std::size_t owner = *m_serving;
    const database_name name = m_databases[primary].name;
    schedule(reset, [this, owner, name] {
        deliver(owner, database_unreachable{name});
    });
}

void group_simulation::silencePrimary()
{
    m_databases[indexOf(m_instances[*m_serving].ownership->primary)].state = fault::silent;
    m_times = {m_times.lastDone, m_now, {}, {}, {}, {}};
}

void group_simulation::breakPrimaryConnection()
{
    const std::size_t owner = *m_serving;
    simulated_database &primary = m_databases[indexOf(m_instances[owner].ownership->primary)];
    ++primary.connectionGeneration;
    deliver(owner, database_unreachable{primary.name});
}

void group_simulation::killOwner()
{
    m_instances[*m_serving].alive = false;
    m_times = {m_times.lastDone, m_now, {}, {}, {}, {}};
    m_serving.reset();
}

void group_simulation::setPlatformDown(bool down)
{
    m_platformDown = down;
}

void group_simulation::repair()
{
    m_platformDown = false;
    for (simulated_database &database : m_databases) {
        database.state = fault::none;
    }
    for (std::size_t index = 0; index < instanceCount; ++index) {
        if (!m_instances[index].alive) {
            startInstance(index);
        }
    }
}

const failover_times &group_simulation::times() const
{
    return m_times;
}

std::uint64_t group_simulation::endedTerms() const
{
    return m_endedTerms;
}

const std::vector<duration> &group_simulation::confirmationTimes() const
{
    return m_confirmations;
}

void group_simulation::schedule(duration delay, std::function<void()> work)
{
    m_events.push({m_now + delay, m_nextOrder++, std::move(work)});
}

duration group_simulation::jittered(duration base)
{
    return base + duration(std::uniform_int_distribution<std::int64_t>(0, base.count() / 4)(m_random));
}

duration group_simulation::answerDelay()
{
    if (m_delays.slowShare <= 0 || !std::bernoulli_distribution(m_delays.slowShare)(m_random)) {
        return duration{};
    }
    const double mean = static_cast<double>(m_delays.slowMean.count());
    return duration(static_cast<std::int64_t>(std::exponential_distribution<>(1 / mean)(m_random)));
}

void group_simulation::startInstance(std::size_t index)
{
    simulated_instance &made = m_instances[index];
    made.alive = true;
    ++made.incarnation;
    std::vector<database_name> names;
    for (const simulated_database &database : m_databases) {
        names.push_back(database.name);
    }
    made.ownership = std::make_unique<group_ownership>(group_name("g"), nameOf(index, made.incarnation), "", names, m_settings);
    const duration phase(std::uniform_int_distribution<std::int64_t>(0, tickInterval.count())(m_random));
    schedule(phase, [this, index, incarnation = made.incarnation] {
        tick(index, incarnation);
    });
    owner_candidates_changed ranking;
    for (std::size_t other = 0; other < instanceCount; ++other) {
        if (m_instances[other].ownership) {
            ranking.ranking.push_back({m_instances[other].ownership->self, "", {}, {}});
        }
    }
    for (std::size_t other = 0; other < instanceCount; ++other) {
        if (m_instances[other].ownership) {
            deliver(other, ranking);
        }
    }
}

void group_simulation::tick(std::size_t index, std::uint64_t incarnation)
{
    if (!m_instances[index].alive || m_instances[index].incarnation != incarnation) {
        return;
    }
    deliver(index, clock_ticked{});
    schedule(tickInterval, [this, index, incarnation] {
        tick(index, incarnation);
    });
}

void group_simulation::deliver(std::size_t index, const ownership_event &event)
{
    if (!m_instances[index].alive) {
        return;
    }
    ownership_actions actions;
    step(*m_instances[index].ownership, event, m_now, actions);
    for (const ownership_action &action : actions) {
        apply(index, action);
    }
    recordStages(index);
    confirmWrites(index);
}

void group_simulation::apply(std::size_t index, const ownership_action &action)
{
    if (const auto *report = std::get_if<order_report>(&action)) {
        sendOrder(index, report->database, {}, report->round);
    } else if (const auto *fenced = std::get_if<order_fence>(&action)) {
        sendOrder(
            index,
            fenced->database,
            [this, term = fenced->term](simulated_database &at) {
                fence(at, term);
            },
            0);
    } else if (const auto *promoted = std::get_if<order_promote>(&action)) {
        sendOrder(
            index,
            promoted->database,
            [this, term = promoted->term](simulated_database &at) {
                promote(at, term);
            },
            0);
    } else if (const auto *followed = std::get_if<order_follow>(&action)) {
        sendOrder(
            index,
            followed->database,
            [this, what = *followed](simulated_database &at) {
                follow(at, what.term, what.primary);
            },
            0);
    } else if (const auto *renewed = std::get_if<replace_control_connection>(&action)) {
        simulated_database &database = m_databases[indexOf(renewed->database)];
        ++database.connectionGeneration;
        database.nextAnswerAt = m_now;
    } else if (const auto *beat = std::get_if<send_heartbeat>(&action)) {
        for (std::size_t other = 0; other < instanceCount; ++other) {
            if (m_instances[other].ownership->self != beat->to) {
                continue;
            }
            schedule(jittered(m_delays.dataCentreDelay), [this, other, what = *beat, from = m_instances[index].ownership->self] {
                if (m_instances[other].ownership->self == what.to) {
                    deliver(other, heartbeat_received{from, what.term, what.recordVersion, what.resigning});
                }
            });
        }
    } else if (const auto *started = std::get_if<term_started>(&action)) {
        m_serving = index;
        m_writes.clear();
        // The caller's write is queued at the owner until a connection to the new primary is open.
        const duration opening = m_delays.connectionCost + 2 * jittered(m_delays.dataCentreDelay);
        schedule(opening, [this, index, term = started->term] {
            writeNext(index, term);
        });
    } else if (std::holds_alternative<term_ended>(action)) {
        ++m_endedTerms;
        m_writes.clear();
        if (m_serving == index) {
            m_serving.reset();
        }
    } else if (std::holds_alternative<read_record>(action) || std::holds_alternative<write_record>(action)) {
        answerPlatform(index, action);
    }
}

void group_simulation::answerPlatform(std::size_t to, const ownership_action &action)
{
    schedule(m_delays.platformAnswer, [this, to, action, incarnation = m_instances[to].incarnation] {
        const auto answer = [this, to, incarnation](const ownership_event &event) {
            if (m_instances[to].incarnation == incarnation) {
                deliver(to, event);
            }
        };
        if (m_platformDown) {
            schedule(platformTimeout, [answer] {
                answer(record_request_failed{});
            });
            return;
        }
        if (std::holds_alternative<read_record>(action)) {
            answer(record_read{m_record});
            return;
        }
        const ownership_record &wanted = std::get<write_record>(action).record;
        if (wanted.version != m_record.version) {
            answer(record_conflict{});
            return;
        }
        m_record = wanted;
        ++m_record.version;
        answer(record_written{m_record});
    });
}

void group_simulation::confirmWrites(std::size_t index)
{
    if (m_serving != index || m_writes.empty()) {
        return;
    }
    const log_position confirmed = confirmedPosition(*m_instances[index].ownership);
    std::erase_if(m_writes, [&](const running_write &write) {
        if (confirmed < write.position) {
            return false;
        }
        m_confirmations.push_back(m_now - write.answeredAt);
        // Writes in flight at the time of the fault count as done before it.
        if (m_times.detected == time_point{}) {
            m_times.lastDone = m_now + m_delays.callerDelay;
        } else if (m_times.firstDone == time_point{}) {
            m_times.firstDone = m_now + m_delays.callerDelay;
        }
        return true;
    });
}

void group_simulation::recordStages(std::size_t index)
{
    const group_ownership &ownership = *m_instances[index].ownership;
    if (m_times.failed == time_point{} || ownership.role != ownership_role::owner) {
        return;
    }
    if (ownership.phase == promotion_phase::fencing && m_times.detected == time_point{}) {
        m_times.detected = m_now;
    }
    if (m_times.detected != time_point{} && m_times.fenced == time_point{} && ownership.phase != promotion_phase::fencing) {
        m_times.fenced = m_now;
    }
    if (m_times.fenced != time_point{} && m_times.promoted == time_point{} && isServing(ownership)) {
        m_times.promoted = m_now;
    }
}

std::size_t group_simulation::indexOf(const database_name &name) const
{
    const auto found = std::ranges::find(m_databases, name, &simulated_database::name);
    return static_cast<std::size_t>(found - m_databases.begin());
}

} // namespace mustardrouter
