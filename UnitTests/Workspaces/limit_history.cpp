#include "limit_history.h"

#include "limit_world.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

duration seconds(double count)
{
    return duration(static_cast<std::int64_t>(count * 1e6));
}

class history
{
public:
    explicit history(std::uint64_t seed)
        : m_world(seed)
    {
    }

    limit_history_result withFaults();
    limit_history_result steady();

private:
    double uniform(double from, double to);
    bool chance(double probability);
    std::size_t anyNode();
    void start(bool firstSystemStart);
    workspace_limit anyLimit();
    std::map<workspace_name, workspace_limit> anyLimits(std::size_t count);
    void scheduleOverload(const workspace_name &workspace, time_point from, time_point until);
    void scheduleFault(time_point from, time_point until);
    void fault();
    void partition(int parts, duration length);
    /// Cuts this share of the links between two instances each, so that others still reach both.
    void cutLinks(double share, duration length);
    void scheduleSteady(const workspace_name &workspace, const workspace_limit &limit, time_point from, time_point until);
    limit_history_result result();

    limit_world m_world;
    std::size_t m_count = 1;
    std::map<workspace_name, workspace_limit> m_limits;
    /// Instances that clients of a workspace use at present.
    std::map<workspace_name, std::vector<std::size_t>> m_used;
    /// Bucket by which demand is found to be within the limit, and when it was filled.
    std::map<workspace_name, std::pair<double, time_point>> m_ideal;
};

double history::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_world.random);
}

bool history::chance(double probability)
{
    return uniform(0, 1) < probability;
}

std::size_t history::anyNode()
{
    return static_cast<std::size_t>(m_world.random() % m_world.nodes.size());
}

workspace_limit history::anyLimit()
{
    const double rate = std::exp(uniform(std::log(0.2), std::log(150.0)));
    return {rate, std::floor(rate * uniform(0, 2)) + (chance(0.2) ? 0 : 1)};
}

std::map<workspace_name, workspace_limit> history::anyLimits(std::size_t count)
{
    std::map<workspace_name, workspace_limit> limits;
    for (std::size_t number = 0; number < count; ++number) {
        limits[workspace_name("workspace-" + std::to_string(number))] = anyLimit();
    }
    return limits;
}

void history::start(bool firstSystemStart)
{
    constexpr std::size_t counts[] = {1, 2, 3, 5, 9, 24, 40, 150};
    m_count = counts[std::min<std::size_t>(static_cast<std::size_t>(uniform(0, 8)), 7)];
    if (m_count > 30 && chance(0.6)) {
        m_count = static_cast<std::size_t>(uniform(1, 30));
    }
    for (std::size_t number = 0; number < m_count; ++number) {
        m_world.addNode(firstSystemStart);
    }
}

void history::scheduleOverload(const workspace_name &workspace, time_point from, time_point until)
{
    // For a while from a few instances, some of it at the same moment.
    const time_point ends = std::min(from + seconds(uniform(0.3, 3)), until);
    const double rate = std::min(m_limits[workspace].operationsPerSecond * uniform(0.3, 5) + uniform(0, 10), 400.0);
    const auto instances = static_cast<std::size_t>(uniform(1, 1 + static_cast<double>(m_world.nodes.size())));
    std::vector<std::size_t> used;
    for (std::size_t number = 0; number < std::min<std::size_t>(instances, 30); ++number) {
        used.push_back(anyNode());
    }
    for (time_point when = from; when < ends;) {
        const std::size_t count = chance(0.03) ? static_cast<std::size_t>(m_limits[workspace].burst + 5) : 1;
        for (std::size_t number = 0; number < count; ++number) {
            const std::size_t node = used[m_world.random() % used.size()];
            m_world.at(when, [this, node, workspace] {
                m_world.operate(node, workspace, false);
            });
        }
        when += seconds(std::exponential_distribution<double>(rate)(m_world.random));
    }
    if (ends < until) {
        m_world.at(ends + (chance(0.2) ? seconds(uniform(0, 2)) : duration{}), [this, workspace, until] {
            if (m_world.now < until) {
                scheduleOverload(workspace, m_world.now, until);
            }
        });
    }
}

void history::partition(int parts, duration length)
{
    for (limit_world_node &node : m_world.nodes) {
        node.part = static_cast<int>(m_world.random() % static_cast<unsigned>(parts));
    }
    m_world.at(m_world.now + length, [this] {
        for (limit_world_node &node : m_world.nodes) {
            node.part = 0;
        }
    });
}

void history::cutLinks(double share, duration length)
{
    for (std::size_t one = 0; one < m_world.nodes.size(); ++one) {
        for (std::size_t other = 0; other < one; ++other) {
            if (!chance(share)) {
                continue;
            }
            m_world.cutLink(one, other, true);
            m_world.at(m_world.now + length, [this, one, other] {
                m_world.cutLink(one, other, false);
            });
        }
    }
}

void history::fault()
{
    const std::size_t node = anyNode();
    const double kind = uniform(0, 1);
    if (kind < 0.2) {
        const std::size_t count = chance(0.2) ? m_world.nodes.size() / 2 : 1;
        for (std::size_t number = 0; number < count; ++number) {
            const std::size_t killed = count == 1 ? node : anyNode();
            m_world.kill(killed);
            if (!chance(0.1)) {
                m_world.at(m_world.now + seconds(uniform(0.02, 3)), [this, killed] {
                    m_world.restart(killed);
                });
            }
        }
    } else if (kind < 0.35) {
        const std::size_t count = chance(0.2) ? m_world.nodes.size() / 3 : 1;
        for (std::size_t number = 0; number < count; ++number) {
            const std::size_t frozen = count == 1 ? node : anyNode();
            m_world.freeze(frozen);
            m_world.at(m_world.now + seconds(uniform(0.05, 8)), [this, frozen] {
                m_world.thaw(frozen);
            });
        }
    } else if (kind < 0.5) {
        if (chance(0.3)) {
            cutLinks(uniform(0.05, 0.6), seconds(uniform(0.2, 10)));
        } else {
            partition(static_cast<int>(uniform(2, chance(0.3) ? 30 : 4)), seconds(uniform(0.2, 10)));
        }
    } else if (kind < 0.6) {
        const std::size_t count = chance(0.3) ? m_world.nodes.size() : 1;
        for (std::size_t number = 0; number < count; ++number) {
            const std::size_t cut = count == 1 ? node : number;
            m_world.cutStore(cut, true);
            m_world.at(m_world.now + seconds(uniform(0.5, 10)), [this, cut] {
                m_world.cutStore(cut, false);
            });
        }
    } else if (kind < 0.72) {
        m_world.leave(node);
        m_world.at(m_world.now + seconds(uniform(3, 5)), [this, node] {
            m_world.restart(node);
        });
    } else if (kind < 0.8) {
        m_world.addNode(false);
    } else if (kind < 0.9) {
        for (auto &[workspace, limit] : m_limits) {
            limit = chance(0.5) ? limit : anyLimit();
        }
        m_world.setLimits(m_limits);
    } else {
        m_world.lossChance = chance(0.5) ? uniform(0, 0.3) : 0;
        m_world.lateChance = chance(0.5) ? uniform(0, 0.3) : 0;
    }
}

void history::scheduleFault(time_point from, time_point until)
{
    const time_point when = from + seconds(std::exponential_distribution<double>(0.8)(m_world.random));
    if (when >= until) {
        return;
    }
    m_world.at(when, [this, until] {
        fault();
        scheduleFault(m_world.now, until);
    });
}

limit_history_result history::result()
{
    limit_history_result found;
    found.instances = m_count;
    found.worstWindow = m_world.worstWindow(found.description);
    found.served = m_world.served;
    found.owedServed = m_world.owedServed;
    found.owedRefused = m_world.owedRefused;
    return found;
}

limit_history_result history::withFaults()
{
    start(chance(0.7));
    m_limits = anyLimits(1 + m_world.random() % 4);
    m_world.setLimits(m_limits);
    const time_point end = m_world.now + seconds(25);
    for (const auto &[workspace, limit] : m_limits) {
        scheduleOverload(workspace, m_world.now + seconds(uniform(0, 4)), end);
    }
    scheduleFault(m_world.now + seconds(chance(0.5) ? 0 : 5), end);
    m_world.runUntil(end);
    return result();
}

void history::scheduleSteady(const workspace_name &workspace, const workspace_limit &limit, time_point from, time_point until)
{
    // Half of the limit on average, and at times the whole burst at one moment; what exceeds an ideal token bucket is not asked.
    const double rate = limit.operationsPerSecond * uniform(0.3, 0.8);
    const time_point when = from + seconds(std::exponential_distribution<double>(rate)(m_world.random));
    if (when >= until) {
        return;
    }
    m_world.at(when, [this, workspace, limit, until] {
        auto &[tokens, at] = m_ideal.try_emplace(workspace, limit.burst, m_world.now).first->second;
        tokens += limit.operationsPerSecond * std::chrono::duration<double>(m_world.now - at).count();
        tokens = std::min(tokens, std::max(limit.burst, 1.0));
        at = m_world.now;
        std::vector<std::size_t> &used = m_used[workspace];
        if (used.empty() || chance(0.02)) {
            // Clients move to other instances.
            used.clear();
            const auto count = static_cast<std::size_t>(uniform(1, 10));
            for (std::size_t number = 0; number < count; ++number) {
                used.push_back(anyNode());
            }
        }
        const double asked = chance(0.01) ? tokens : 1;
        for (double number = 0; number + 1 <= asked && tokens >= 1; ++number) {
            tokens -= 1;
            m_world.operate(used[m_world.random() % used.size()], workspace, true);
        }
        scheduleSteady(workspace, limit, m_world.now, until);
    });
}

limit_history_result history::steady()
{
    start(true);
    m_limits = anyLimits(1 + m_world.random() % 6);
    m_world.setLimits(m_limits);
    const time_point from = m_world.now + seconds(8);
    const time_point end = from + seconds(30);
    for (const auto &[workspace, limit] : m_limits) {
        scheduleSteady(workspace, limit, from, end);
    }
    m_world.runUntil(end + seconds(3));
    return result();
}

} // namespace

limit_history_result runHistoryWithFaults(std::uint64_t seed)
{
    return history(seed).withFaults();
}

limit_history_result runSteadyHistory(std::uint64_t seed)
{
    return history(seed).steady();
}

limit_cost measureLimitCost(std::size_t spendersEach)
{
    constexpr std::size_t instances = 140;
    constexpr std::size_t workspaces = 87;
    constexpr double operations = 1000;
    limit_world world(1);
    for (std::size_t number = 0; number < instances; ++number) {
        world.addNode(true);
    }
    double sum = 0;
    for (std::size_t number = 1; number <= workspaces; ++number) {
        sum += std::pow(static_cast<double>(number), -1.2);
    }
    std::map<workspace_name, workspace_limit> limits;
    const time_point from = time_point(std::chrono::seconds(10));
    constexpr int span = 20;
    for (std::size_t number = 1; number <= workspaces; ++number) {
        const double rate = operations * std::pow(static_cast<double>(number), -1.2) / sum;
        const workspace_name name("workspace-" + std::to_string(number));
        limits[name] = {1.6 * rate, 3.2 * rate};
        for (time_point when = from; when < from + std::chrono::seconds(span);) {
            when += seconds(std::exponential_distribution<double>(rate)(world.random));
            const std::size_t node = (number * 31 + world.random() % spendersEach * 7) % instances;
            world.at(when, [&world, node, name] {
                world.operate(node, name, true);
            });
        }
    }
    world.setLimits(limits);
    world.runUntil(from);
    const std::uint64_t messages = world.messages;
    const std::uint64_t bytes = world.messageBytes;
    const std::uint64_t between = world.bytesBetweenRegions;
    world.messagesByKind.clear();
    world.runUntil(from + std::chrono::seconds(span));
    limit_cost cost;
    cost.messagesPerSecond = static_cast<double>(world.messages - messages) / span;
    cost.bytesPerSecond = static_cast<double>(world.messageBytes - bytes) / span;
    cost.bytesBetweenRegionsPerSecond = static_cast<double>(world.bytesBetweenRegions - between) / span;
    cost.operationsPerSecond = static_cast<double>(world.served) / span;
    cost.refusedShare = static_cast<double>(world.owedRefused) / static_cast<double>(world.owedRefused + world.owedServed);
    cost.meanWaitMillis = std::chrono::duration<double, std::milli>(world.sumOfWaits).count() / static_cast<double>(world.served);
    for (const auto &[kind, count] : world.messagesByKind) {
        cost.byKind += kind + " " + std::to_string(count / span) + ", ";
    }
    return cost;
}

} // namespace mustardrouter
