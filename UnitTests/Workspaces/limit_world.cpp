#include "limit_world.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

constexpr duration millis(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

const char *kindOf(const limit_message &message)
{
    constexpr const char *names[] = {"poll", "loans", "return", "request", "grants", "join", "join known"};
    return names[message.content.index()];
}

} // namespace

std::size_t encodedSize(const limit_message &message)
{
    // A stamp takes 8 bytes and a tag; small numbers 2.
    std::size_t size = 4 + message.from.value().size();
    if (const auto *poll = std::get_if<limit_poll>(&message.content)) {
        size += 11 + (poll->slots != 0 ? 2 : 0);
    } else if (const auto *loans = std::get_if<limit_loans>(&message.content)) {
        size += 9 + loans->loans.size() * 8;
    } else if (const auto *request = std::get_if<limit_request>(&message.content)) {
        size += 9;
        for (const limit_ask &ask : request->asks) {
            size += 8 + ask.workspace.value().size() + (ask.spareUsed > 0 ? 11 : 0);
        }
    } else if (const auto *grants = std::get_if<limit_grants>(&message.content)) {
        size += 18;
        for (const limit_grant &grant : grants->grants) {
            size += 8 + grant.workspace.value().size();
        }
    } else if (std::holds_alternative<limit_return>(message.content)) {
        size += 11;
    }
    return size;
}

limit_world::limit_world(std::uint64_t seed)
    : random(seed)
{
    m_lists.emplace_back();
    m_limits.emplace_back();
}

double limit_world::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

time_point limit_world::clockOf(const limit_world_node &node) const
{
    return time_point(duration(static_cast<std::int64_t>(static_cast<double>(now.time_since_epoch().count()) * node.rate)) + node.offset);
}

time_point limit_world::trueTime(const limit_world_node &node, time_point local) const
{
    return time_point(
        duration(static_cast<std::int64_t>(static_cast<double>((local.time_since_epoch() - node.offset).count()) / node.rate) + 2));
}

void limit_world::at(time_point when, std::function<void()> run)
{
    m_events.push({std::max(when, now), m_nextEvent++, std::move(run)});
}

void limit_world::runUntil(time_point end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        now = next.at;
        next.run();
    }
    now = end;
}

void limit_world::onNode(std::size_t node, std::uint64_t process, std::function<void()> run)
{
    limit_world_node &target = nodes[node];
    if (target.process != process || !target.engine) {
        return;
    }
    if (target.frozen) {
        target.held.push_back(std::move(run));
        return;
    }
    run();
    perform(node);
}

std::size_t limit_world::addNode(bool firstSystemStart)
{
    const std::size_t number = nodes.size();
    limit_world_node added;
    added.listed.name = instance_name("instance-" + std::to_string(number));
    added.listed.capacity = 0.1 + 0.4 * uniform();
    added.rate = 1 + (uniform() - 0.5) * 400e-6;
    // Processes restart with a clock that went on; machines have clocks of any age.
    added.offset = std::chrono::seconds(10) + duration(static_cast<std::int64_t>(uniform() * 1e9));
    m_byName[added.listed.name.value()] = number;
    nodes.push_back(std::move(added));
    startProcess(number, firstSystemStart);
    at(now + millis(static_cast<std::int64_t>(uniform() * 300)), [this, number] {
        m_lists.push_back(m_lists.back());
        m_lists.back().push_back(nodes[number].listed);
        listChanged();
    });
    return number;
}

void limit_world::startProcess(std::size_t node, bool firstSystemStart)
{
    limit_world_node &started = nodes[node];
    limit_settings own = settings;
    own.self = started.listed.name;
    own.isFirstSystemStart = firstSystemStart;
    started.process += 1;
    started.frozen = false;
    started.held.clear();
    started.waiting.clear();
    own.tenure = random() | 1U;
    started.engine = std::make_unique<limit_engine>(own);
    started.listRead = 0;
    started.limitsRead = 0;
    started.timerAt = {};
    const std::uint64_t process = started.process;
    at(now + millis(5 + static_cast<std::int64_t>(uniform() * 100)), [this, node, process] {
        onNode(node, process, [this, node] {
            readList(node);
            readLimits(node);
        });
    });
}

void limit_world::kill(std::size_t node)
{
    nodes[node].engine.reset();
    nodes[node].frozen = false;
    nodes[node].waiting.clear();
}

void limit_world::restart(std::size_t node)
{
    if (nodes[node].engine) {
        return;
    }
    startProcess(node, false);
    if (nodes[node].listed.leaving) {
        nodes[node].listed.leaving = false;
        at(now + millis(200), [this, node] {
            m_lists.push_back(m_lists.back());
            for (limit_instance &instance : m_lists.back()) {
                instance = instance.name == nodes[node].listed.name ? nodes[node].listed : instance;
            }
            listChanged();
        });
    }
}

void limit_world::leave(std::size_t node)
{
    limit_world_node &leaving = nodes[node];
    if (!leaving.engine || leaving.frozen) {
        return;
    }
    onLimitStop(*leaving.engine, clockOf(leaving));
    perform(node);
    leaving.listed.leaving = true;
    m_lists.push_back(m_lists.back());
    for (limit_instance &instance : m_lists.back()) {
        instance = instance.name == leaving.listed.name ? leaving.listed : instance;
    }
    listChanged();
    const std::uint64_t process = leaving.process;
    at(now + millis(1000 + static_cast<std::int64_t>(uniform() * 2000)), [this, node, process] {
        if (nodes[node].process == process) {
            kill(node);
        }
    });
}

void limit_world::removeEntry(std::size_t node)
{
    m_lists.push_back(m_lists.back());
    std::erase_if(m_lists.back(), [&](const limit_instance &instance) {
        return instance.name == nodes[node].listed.name;
    });
    listChanged();
}

void limit_world::freeze(std::size_t node)
{
    nodes[node].frozen = nodes[node].engine != nullptr;
}

void limit_world::thaw(std::size_t node)
{
    limit_world_node &thawed = nodes[node];
    if (!thawed.frozen) {
        return;
    }
    thawed.frozen = false;
    // Events that waited are handled in any order.
    std::vector<std::function<void()>> held = std::exchange(thawed.held, {});
    std::shuffle(held.begin(), held.end(), random);
    const std::uint64_t process = thawed.process;
    for (auto &run : held) {
        onNode(node, process, std::move(run));
    }
}

void limit_world::cutStore(std::size_t node, bool cut)
{
    nodes[node].storeCut = cut;
    if (!cut) {
        at(now + millis(static_cast<std::int64_t>(uniform() * 1000)), [this, node] {
            onNode(node, nodes[node].process, [this, node] {
                readList(node);
                readLimits(node);
            });
        });
    }
}

void limit_world::cutLink(std::size_t one, std::size_t other, bool cut)
{
    if (cut) {
        m_cutLinks.insert(std::minmax(one, other));
    } else {
        m_cutLinks.erase(std::minmax(one, other));
    }
}

void limit_world::listChanged()
{
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        const std::uint64_t process = nodes[node].process;
        at(now + millis(5 + static_cast<std::int64_t>(uniform() * uniform() * 1500)), [this, node, process] {
            onNode(node, process, [this, node] {
                readList(node);
            });
        });
    }
}

void limit_world::readList(std::size_t node)
{
    limit_world_node &reader = nodes[node];
    if (reader.storeCut || (reader.listRead == m_lists.size() && reader.listRead != 0)) {
        return;
    }
    reader.listRead = m_lists.size();
    onLimitInstances(*reader.engine, m_lists.back(), clockOf(reader));
}

void limit_world::setLimits(const std::map<workspace_name, workspace_limit> &limits)
{
    m_limits.push_back({limits, now, now});
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        const std::uint64_t process = nodes[node].process;
        at(now + millis(5 + static_cast<std::int64_t>(uniform() * uniform() * 1500)), [this, node, process] {
            onNode(node, process, [this, node] {
                readLimits(node);
            });
        });
    }
}

void limit_world::readLimits(std::size_t node)
{
    limit_world_node &reader = nodes[node];
    if (reader.storeCut || reader.limitsRead == m_limits.size()) {
        return;
    }
    for (std::size_t version = std::max<std::size_t>(reader.limitsRead, 1); version < m_limits.size(); ++version) {
        m_limits[version].readByAllAt = std::max(m_limits[version].readByAllAt, now);
    }
    reader.limitsRead = m_limits.size();
    onLimits(*reader.engine, m_limits.back().limits, clockOf(reader));
}

void limit_world::perform(std::size_t node)
{
    limit_world_node &acting = nodes[node];
    for (int round = 0; acting.engine && !acting.engine->actions.empty() && round < 100; ++round) {
        for (const limit_action &action : std::exchange(acting.engine->actions, {})) {
            if (const auto *sent = std::get_if<send_limit_message>(&action)) {
                deliver(node, *sent);
            } else if (const auto *resumed = std::get_if<resume_workspace>(&action)) {
                retryWaiting(node, resumed->workspace);
            }
        }
    }
    if (!acting.engine) {
        return;
    }
    const std::optional<time_point> next = nextLimitTimer(*acting.engine);
    if (!next || (acting.timerAt == *next && trueTime(acting, *next) > now)) {
        return;
    }
    acting.timerAt = *next;
    const std::uint64_t process = acting.process;
    const time_point due = *next;
    at(std::max(trueTime(acting, *next), now + duration(50)), [this, node, process, due] {
        if (nodes[node].timerAt != due) {
            return;
        }
        onNode(node, process, [this, node] {
            nodes[node].timerAt = {};
            onLimitTimer(*nodes[node].engine, clockOf(nodes[node]));
        });
    });
}

void limit_world::deliver(std::size_t from, const send_limit_message &sent)
{
    messages += 1;
    messagesByKind[kindOf(sent.message)] += 1;
    messageBytes += encodedSize(sent.message);
    const auto found = m_byName.find(sent.to.value());
    if (found == m_byName.end() || uniform() < lossChance) {
        return;
    }
    const std::size_t to = found->second;
    if (nodes[from].part != nodes[to].part || m_cutLinks.contains(std::minmax(from, to))) {
        return;
    }
    const bool sameRegion = from % regions == to % regions;
    bytesBetweenRegions += sameRegion ? 0 : encodedSize(sent.message);
    duration delay = sameRegion ? millis(1) : millis(20);
    delay += duration(static_cast<std::int64_t>(uniform() * 4000));
    if (uniform() < lateChance) {
        delay += duration(static_cast<std::int64_t>(uniform() * 2e6));
    }
    // Late messages may reach the next process of the same address.
    at(now + delay, [this, to, message = sent.message] {
        onNode(to, nodes[to].process, [this, to, message] {
            onLimitMessage(*nodes[to].engine, message, clockOf(nodes[to]));
        });
    });
}

bool limit_world::attempt(std::size_t node, const waiting_operation &operation)
{
    limit_world_node &target = nodes[node];
    const limit_verdict verdict = spend(*target.engine, operation.workspace, operation.id, clockOf(target));
    if (verdict.decision == limit_decision::send) {
        served += 1;
        owedServed += operation.owed ? 1 : 0;
        runs[operation.workspace].push_back(now);
        longestWait = std::max(longestWait, now - operation.since);
        sumOfWaits += now - operation.since;
        return true;
    }
    const bool refused = verdict.decision == limit_decision::refuse || now - operation.since >= patience;
    owedRefused += refused && operation.owed ? 1 : 0;
    return refused;
}

void limit_world::retryWaiting(std::size_t node, const workspace_name &workspace)
{
    std::vector<waiting_operation> waiting = std::exchange(nodes[node].waiting, {});
    for (const waiting_operation &operation : waiting) {
        if (operation.workspace != workspace || !attempt(node, operation)) {
            nodes[node].waiting.push_back(operation);
        }
    }
}

void limit_world::operate(std::size_t node, const workspace_name &workspace, bool owed)
{
    limit_world_node &target = nodes[node];
    if (!target.engine || target.limitsRead == 0) {
        // Without a configuration nobody is served.
        return;
    }
    waiting_operation operation{m_nextOperation++, workspace, now, owed};
    onNode(node, target.process, [this, node, operation] {
        if (!attempt(node, operation)) {
            nodes[node].waiting.push_back(operation);
            const std::uint64_t process = nodes[node].process;
            at(now + patience, [this, node, process, operation] {
                onNode(node, process, [this, node, operation] {
                    const auto removed = std::erase_if(nodes[node].waiting, [&](const waiting_operation &waits) {
                        return waits.id == operation.id;
                    });
                    owedRefused += removed > 0 && operation.owed ? 1 : 0;
                });
            });
        }
    });
}

double limit_world::worstWindow(std::string &description) const
{
    double worst = 0;
    // Versions that an instance has not read are not in force there.
    std::size_t readByAll = m_limits.size();
    for (const limit_world_node &node : nodes) {
        readByAll = node.engine ? std::min(readByAll, node.limitsRead) : readByAll;
    }
    for (const auto &[workspace, times] : runs) {
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= settings.window) {
                ++first;
            }
            // The largest limit that was in force at any instance in the window.
            double allowed = 0;
            for (std::size_t version = 1; version < m_limits.size(); ++version) {
                const bool over = version + 1 < readByAll && times[first] > m_limits[version + 1].readByAllAt;
                const auto found = m_limits[version].limits.find(workspace);
                if (over || m_limits[version].writtenAt > times[last] || found == m_limits[version].limits.end()) {
                    continue;
                }
                const double seconds = std::chrono::duration<double>(settings.window).count();
                const double limit = found->second.operationsPerSecond * seconds + found->second.burst;
                allowed = std::max(allowed, limit * (1 + settings.overrun) + settings.slack);
            }
            const double use = static_cast<double>(last - first + 1) / allowed;
            if (use > worst) {
                worst = use;
                description = workspace.value() + ": " + std::to_string(last - first + 1) + " of " + std::to_string(allowed) + " up to "
                              + std::to_string(times[last].time_since_epoch().count() / 1000) + " ms";
            }
        }
    }
    return worst;
}

} // namespace mustardrouter
