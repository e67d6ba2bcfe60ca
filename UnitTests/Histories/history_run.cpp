#include "history_run.h"

#include "checker.h"
#include "fake_callers.h"

#include <algorithm>

namespace mustardrouter::histories
{

namespace
{

constexpr auto tickInterval = std::chrono::milliseconds(4);
constexpr duration startupDuration = std::chrono::milliseconds(150);

class history_run
{
public:
    history_run(const scenario &what, defect injected)
        : m_scenario(what)
        , m_random(what.seed)
        , m_network(m_queue, m_random)
        , m_platform(m_queue, m_network)
        , m_environment{m_queue,
                        m_network,
                        m_platform,
                        m_random,
                        m_databases,
                        m_instances,
                        [this](const answer_caller &answer) {
                            m_callers.onAnswer(answer);
                        },
                        [this](const std::string &text) {
                            m_history.violations.push_back(text);
                        },
                        what.confirmReplicas,
                        injected}
        , m_callers(m_scenario, m_environment, m_history)
    {
        for (std::size_t index = 0; index < databaseCount; ++index) {
            m_databases.push_back(std::make_unique<fake_database>(firstDatabase + index, m_queue, m_network, m_random, injected));
        }
        std::vector<fake_database *> all;
        for (const auto &database : m_databases) {
            all.push_back(database.get());
        }
        for (const auto &database : m_databases) {
            database->connect(all);
        }
        m_instances.resize(maxInstances);
    }

    run_result run()
    {
        for (endpoint_index index = 0; index < m_scenario.instances; ++index) {
            startInstance(index);
        }
        scheduleTick();
        m_queue.runUntil(m_queue.now() + startupDuration);
        const time_point begin = m_queue.now();
        m_callers.start();
        for (const fault &item : m_scenario.faults) {
            m_queue.after(std::chrono::milliseconds(item.start), [this, item] {
                inject(item);
            });
        }
        m_queue.runUntil(begin + operationPhaseDuration);
        m_queue.runUntil(begin + operationPhaseDuration + settleDuration);
        return evaluate();
    }

private:
    void startInstance(endpoint_index index)
    {
        const instance_name name("i" + std::to_string(index) + "-" + std::to_string(++m_incarnations));
        m_instances[index] = std::make_unique<fake_instance>(index, name, m_environment);
        updateRanking();
    }

    /// Sends the same list of instances to all of them, with a delay.
    void updateRanking()
    {
        m_queue.after(std::chrono::milliseconds(20), [this] {
            owner_candidates_changed changed;
            for (const auto &item : m_instances) {
                if (item && item->isUp()) {
                    changed.ranking.push_back({item->name(), item->name().value(), {}, {}});
                }
            }
            for (const auto &item : m_instances) {
                if (item && item->isUp()) {
                    item->stepEngine(ownership_event(changed));
                }
            }
        });
    }

    void scheduleTick()
    {
        m_queue.after(tickInterval, [this] {
            for (const auto &item : m_instances) {
                if (item) {
                    item->tick();
                }
            }
            scheduleTick();
        });
    }

    fake_database *primary()
    {
        fake_database *found = nullptr;
        for (const auto &database : m_databases) {
            const bool isPrimary = database->up && database->role == database_role::primary;
            if (isPrimary && (found == nullptr || found->term < database->term)) {
                found = database.get();
            }
        }
        return found == nullptr ? m_databases.front().get() : found;
    }

    fake_instance *owner()
    {
        fake_instance *found = nullptr;
        for (const auto &item : m_instances) {
            if (!item || !item->isUp() || item->engine().ownership.role != ownership_role::owner) {
                continue;
            }
            if (found == nullptr || found->engine().ownership.term < item->engine().ownership.term) {
                found = item.get();
            }
        }
        return found;
    }

    void cut(endpoint_index one, endpoint_index other, bool bothWays, duration length)
    {
        m_network.cut[one][other] = true;
        if (bothWays) {
            m_network.cut[other][one] = true;
        }
        m_queue.after(length, [this, one, other] {
            m_network.cut[one][other] = false;
            m_network.cut[other][one] = false;
        });
    }

    /// Partitions the primary from the other databases and from the instances, in half of the cases together with its
    /// owner.
    void cutPrimary(bool bothWays, duration length)
    {
        const endpoint_index cutOff = primary()->index();
        const bool keepsOwner = m_random() % 2 == 0;
        const fake_instance *owning = owner();
        for (endpoint_index other = 0; other < platformEndpoint; ++other) {
            const bool spared = keepsOwner && owning != nullptr && owning->index() == other;
            if (other != cutOff && !spared) {
                cut(cutOff, other, bothWays, length);
            }
        }
        if (keepsOwner && owning != nullptr) {
            // The owner is in the same partition as the primary.
            for (endpoint_index other = 0; other <= platformEndpoint; ++other) {
                if (other != cutOff && other != owning->index()) {
                    cut(owning->index(), other, bothWays, length);
                }
            }
        }
    }

    void crashInstance(fake_instance *victim, duration length)
    {
        if (victim == nullptr || !victim->isUp()) {
            return;
        }
        const endpoint_index index = victim->index();
        victim->crash();
        m_callers.onEntryLost(index);
        updateRanking();
        m_queue.after(length, [this, index] {
            m_retiredInstances.push_back(std::move(m_instances[index]));
            startInstance(index);
        });
    }

    void crashDatabase(fake_database *victim, duration length)
    {
        if (!victim->up) {
            return;
        }
        victim->crash();
        for (const auto &item : m_instances) {
            if (!item || !item->isUp()) {
                continue;
            }
            m_queue.after(m_network.randomDelay(), [to = item.get(), name = victim->name()] {
                to->failControlConnection(name);
            });
        }
        m_queue.after(length, [victim] {
            victim->restart();
        });
    }

    void pause(endpoint_index endpoint, duration length)
    {
        if (endpoint < maxInstances) {
            m_callers.recordPause(endpoint);
        }
        m_network.paused[endpoint] = true;
        m_queue.after(length, [this, endpoint] {
            m_network.paused[endpoint] = false;
            if (endpoint < maxInstances) {
                m_callers.recordPause(endpoint);
            }
        });
    }

    void inject(const fault &item)
    {
        const duration length = std::chrono::milliseconds(item.length);
        fake_instance *owning = owner();
        switch (item.kind) {
        case fault_kind::cutPrimary:
            cutPrimary(true, length);
            break;
        case fault_kind::cutPrimaryOneWay:
            cutPrimary(false, length);
            break;
        case fault_kind::crashPrimary:
            crashDatabase(primary(), length);
            break;
        case fault_kind::pausePrimary:
            pause(primary()->index(), length);
            break;
        case fault_kind::slowReplicas:
            slowReplicas(length);
            break;
        case fault_kind::crashReplica:
            crashDatabase(m_databases[m_random() % databaseCount].get(), length);
            break;
        case fault_kind::crashOwner:
            crashInstance(owning, length);
            break;
        case fault_kind::pauseOwner:
            if (owning != nullptr) {
                pause(owning->index(), length);
            }
            break;
        case fault_kind::cutOwnerFromPeers:
            cutOwner(owning, 0, maxInstances, length);
            break;
        case fault_kind::cutOwnerFromDatabases:
            cutOwner(owning, firstDatabase, platformEndpoint, length);
            break;
        case fault_kind::crashEntry:
            crashInstance(m_instances[m_random() % m_scenario.instances].get(), length);
            break;
        case fault_kind::resetPeers:
            for (const auto &instance : m_instances) {
                if (instance && instance->isUp() && !m_network.paused[instance->index()]) {
                    instance->resetPeerConnections();
                }
            }
            break;
        case fault_kind::platformDown:
            m_platform.down = true;
            m_queue.after(length, [this] {
                m_platform.down = false;
            });
            break;
        case fault_kind::platformSlow:
            m_platform.answerDelay = std::chrono::milliseconds(40);
            m_queue.after(length, [this] {
                m_platform.answerDelay = duration::zero();
            });
            break;
        case fault_kind::platformLosesAnswers:
            m_platform.losesAnswers = true;
            m_queue.after(length, [this] {
                m_platform.losesAnswers = false;
            });
            break;
        case fault_kind::silentConnections:
            if (owning != nullptr) {
                owning->silenceConnections();
            }
            break;
        case fault_kind::callersLeave:
            m_callers.disconnectSome();
            break;
        case fault_kind::changePrimary:
            if (owning != nullptr && !m_network.paused[owning->index()]) {
                const database_name wanted = m_databases[m_random() % databaseCount]->name();
                owning->stepEngine(ownership_event(primary_change_requested{wanted}));
            }
            break;
        case fault_kind::resign:
            resign(owning, length);
            break;
        case fault_kind::count:
            break;
        }
    }

    void slowReplicas(duration length)
    {
        for (const auto &database : m_databases) {
            if (database.get() == primary()) {
                continue;
            }
            database->replicationDelay = std::chrono::milliseconds(m_random() % 80);
            database->applyLag = std::chrono::milliseconds(m_random() % 80);
            m_queue.after(length, [slow = database.get()] {
                slow->replicationDelay = duration::zero();
                slow->applyLag = duration::zero();
            });
        }
    }

    void cutOwner(const fake_instance *owning, endpoint_index first, endpoint_index last, duration length)
    {
        if (owning == nullptr) {
            return;
        }
        for (endpoint_index other = first; other < last; ++other) {
            if (other != owning->index()) {
                cut(owning->index(), other, m_random() % 2 == 0, length);
            }
        }
    }

    /// Graceful shutdown: the owner resigns, then the instance stops.
    void resign(fake_instance *leaving, duration length)
    {
        if (leaving == nullptr || m_network.paused[leaving->index()]) {
            return;
        }
        leaving->stepEngine(ownership_event(resignation_requested{}));
        const instance_name name = leaving->name();
        m_queue.after(std::chrono::milliseconds(300), [this, name, length] {
            crashInstance(findInstance(m_environment, name), length);
        });
    }

    /// State of all instances and databases, for reports.
    std::string describeState() const
    {
        std::string text;
        for (const auto &item : m_instances) {
            if (!item || !item->isUp()) {
                continue;
            }
            const group_ownership &ownership = item->engine().ownership;
            text += " " + item->name().value() + " role " + std::to_string(static_cast<int>(ownership.role)) + " phase "
                    + std::to_string(static_cast<int>(ownership.phase)) + " term " + std::to_string(ownership.term.value()) + " range "
                    + std::to_string(ownership.ownRange.first.value()) + "-" + std::to_string(ownership.ownRange.last.value()) + " asked "
                    + std::to_string(static_cast<int>(ownership.recordRequestPending)) + " record v"
                    + std::to_string(ownership.record.version);
            for (const term_range &range : ownership.record.ranges) {
                text += " " + range.holder.value() + "=" + std::to_string(range.first.value());
            }
            text += ";";
        }
        for (const auto &database : m_databases) {
            text += " " + database->name().value() + " role " + std::to_string(static_cast<int>(database->role)) + " term "
                    + std::to_string(database->term.value()) + " log " + std::to_string(database->log.size())
                    + (database->inSync ? " in sync;" : ";");
        }
        return text;
    }

    run_result evaluate()
    {
        run_result result;
        fake_instance *serving = owner();
        if (serving == nullptr || !isServing(serving->engine().ownership)) {
            result.stuck = true;
            m_history.violations.emplace_back("stuck: no owner is serving after all faults have ended and the settle time has passed;"
                                              + describeState());
        } else if (!serving->engine().running.empty()) {
            m_history.violations.emplace_back("leak: a request is still running after all deadlines have passed");
        } else if (!serving->engine().transactions.empty()) {
            m_history.violations.emplace_back("leak: a transaction is still open after its caller has disconnected");
        }
        result.violations = m_history.violations;
        for (std::string &found : checkHistory(m_history, primary()->log)) {
            result.violations.push_back(std::move(found));
        }
        for (const recorded_request &request : m_history.requests) {
            ++result.requests;
            const bool unresolved = !request.answered || request.result.kind == outcome::unknown;
            result.unknown += unresolved ? 1U : 0U;
            result.done += request.answered && request.result.kind == outcome::done ? 1U : 0U;
            result.notRun += request.answered && request.result.kind == outcome::notRun ? 1U : 0U;
            result.replicaReads += request.answered && request.result.fromReplica ? 1U : 0U;
        }
        for (const recorded_request &request : m_history.requests) {
            result.trace.push_back(describe(request) + " " + request.row + " " + request.result.rows);
        }
        std::size_t terms = 0;
        term_number last;
        for (const fake_record &record : primary()->log) {
            terms += record.entry.term != last ? 1U : 0U;
            last = record.entry.term;
            std::string rows;
            for (const std::string &row : record.rows) {
                rows += " " + row;
            }
            result.trace.push_back("entry " + std::to_string(record.entry.term.value()) + "/"
                                   + std::to_string(record.entry.position.value()) + rows);
        }
        result.failovers = terms == 0 ? 0 : terms - 1;
        return result;
    }

    scenario m_scenario;
    std::mt19937 m_random;
    event_queue m_queue;
    fake_network m_network;
    fake_platform m_platform;
    std::vector<std::unique_ptr<fake_database>> m_databases;
    std::vector<std::unique_ptr<fake_instance>> m_instances;
    /// Earlier incarnations, kept because scheduled events still refer to them.
    std::vector<std::unique_ptr<fake_instance>> m_retiredInstances;
    recorded_history m_history;
    history_environment m_environment;
    fake_callers m_callers;
    std::uint64_t m_incarnations = 0;
};

} // namespace

run_result runHistory(const scenario &what, defect injected)
{
    return history_run(what, injected).run();
}

} // namespace mustardrouter::histories
