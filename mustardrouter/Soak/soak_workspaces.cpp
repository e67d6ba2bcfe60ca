#include "mustardrouter/Soak/soak_workspaces.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace mustardrouter
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t workspaceCount = 6;
/// Workspaces of the clients by their number, in turn; `stranger` has a key that never existed.
constexpr std::size_t stranger = workspaceCount;
constexpr std::size_t ranks[] = {0, 1, 2, 0, 3, 0, 4, 1, 0, 5, 0, stranger};
/// A client does about 30 operations a second, and three times as many while its workspace is busy.
constexpr double usualLimitOfClient = 60;
/// Far below what a client asks for.
constexpr double loweredLimitOfClient = 4;
/// Bounds of limits (LATER.md, "Quotas"), as written to the settings.
constexpr duration limitWindow = 5s;
constexpr double limitOverrun = 0.1;
constexpr double limitSlack = 20;
/// Time after a busy span or a low limit in which the workspace may still be held to its limit, and in which a new key may be
/// refused.
constexpr duration settlingTime = 6s;
/// Key and name of the workspace of the soak's own probes (`route_probe`). It has no limit.
const char *const probeName = "probe";

} // namespace

std::size_t soak_workspaces::rankOf(std::size_t client)
{
    return ranks[client % std::size(ranks)];
}

void soak_workspaces::start(std::size_t clients, oldest_version oldest)
{
    m_oldest = std::move(oldest);
    for (std::size_t rank = 0; rank < workspaceCount; ++rank) {
        standin_workspace added;
        added.name = "workspace-" + std::to_string(rank + 1);
        added.priority = static_cast<std::uint32_t>(rank % 3);
        std::size_t members = 1;
        for (std::size_t client = 0; client < clients; ++client) {
            members += rankOf(client) == rank ? 1 : 0;
        }
        added.operationsPerSecond = usualLimitOfClient * static_cast<double>(members);
        added.burst = added.operationsPerSecond;
        m_current.push_back(added);
        for (std::size_t count = 0; count < 1 + rank % 2; ++count) {
            change({.kind = soak_fault::keyAdded, .target = static_cast<std::uint32_t>(rank)}, {});
        }
    }
    m_usual = m_current;
    m_current.push_back({.name = probeName, .keys = {probeName}});
}

const std::vector<standin_workspace> &soak_workspaces::current() const
{
    return m_current;
}

standin_workspace &soak_workspaces::at(std::size_t target)
{
    return m_current[target % workspaceCount];
}

void soak_workspaces::change(const planned_fault &fault, time_point now)
{
    // Keys are withdrawn where clients are: mostly from the large workspaces, and from one that has some.
    std::size_t target = fault.kind == soak_fault::keysWithdrawn ? rankOf(fault.target) : fault.target;
    for (std::size_t tries = 0; fault.kind == soak_fault::keysWithdrawn && tries < workspaceCount && at(target).keys.empty(); ++tries) {
        target += 1;
    }
    standin_workspace &changed = at(target);
    switch (fault.kind) {
    case soak_fault::keysWithdrawn:
        if (fault.variant % 2 == 0) {
            changed.keys.clear();
        } else if (!changed.keys.empty()) {
            changed.keys.erase(changed.keys.begin());
        }
        break;
    case soak_fault::keyAdded: {
        const std::string key = "key-" + std::to_string(m_nextKey++);
        changed.keys.push_back(key);
        m_allKeys[changed.name].push_back(key);
        m_firstHolder[key] = changed.name;
        break;
    }
    case soak_fault::keyMoved:
        if (!changed.keys.empty()) {
            // The clients come with the key: the largest workspace has room for those of another, but none for its own.
            const bool fromLargest = fault.target % workspaceCount == 0;
            standin_workspace &taker = fromLargest ? at(1 + fault.variant % (workspaceCount - 1)) : at(0);
            taker.keys.push_back(changed.keys.back());
            changed.keys.pop_back();
            if (fromLargest) {
                m_takers.insert(taker.name);
            }
        }
        break;
    case soak_fault::limitLowered:
        changed.operationsPerSecond =
            m_usual[fault.target % workspaceCount].operationsPerSecond * loweredLimitOfClient / usualLimitOfClient;
        changed.burst = changed.operationsPerSecond;
        m_unusualUntil[changed.name] = time_point::max();
        break;
    default:
        changed.operationsPerSecond = m_usual[fault.target % workspaceCount].operationsPerSecond;
        changed.burst = changed.operationsPerSecond;
        if (m_unusualUntil.contains(changed.name)) {
            m_unusualUntil[changed.name] = now + settlingTime + limitWindow;
        }
        break;
    }
}

void soak_workspaces::onPublished(time_point now)
{
    version next;
    next.at = now;
    next.workspaces = m_current;
    for (const standin_workspace &one : m_current) {
        for (const std::string &key : one.keys) {
            next.holderByKey[key] = one.name;
        }
    }
    m_versions.push_back(std::move(next));
}

void soak_workspaces::beginBusy(std::uint32_t target)
{
    m_busy.insert(at(target).name);
}

void soak_workspaces::endBusy(std::uint32_t target, time_point now)
{
    m_busy.erase(at(target).name);
    time_point &until = m_unusualUntil[at(target).name];
    until = std::max(until, now + settlingTime);
}

std::string soak_workspaces::chooseKey(std::size_t client, std::mt19937_64 &random) const
{
    const std::size_t rank = rankOf(client);
    if (rank == stranger) {
        return "unknown-key";
    }
    constexpr std::uint64_t percent = 100;
    constexpr std::uint64_t percentOld = 15;
    const standin_workspace &own = m_current[rank];
    const std::vector<std::string> &all = m_allKeys.at(own.name);
    const bool old = own.keys.empty() || random() % percent < percentOld;
    const std::vector<std::string> &choices = old ? all : own.keys;
    return choices[random() % choices.size()];
}

std::string soak_workspaces::holderOf(const std::string &key) const
{
    const auto found = m_versions.back().holderByKey.find(key);
    return found == m_versions.back().holderByKey.end() ? std::string() : found->second;
}

bool soak_workspaces::isBusy(const std::string &key) const
{
    const auto holder = m_firstHolder.find(key);
    return holder != m_firstHolder.end() && m_busy.contains(holder->second);
}

bool soak_workspaces::isOwed(const std::string &key, time_point startedAt, time_point now) const
{
    const std::set<std::string> holders = holdersSince(key, startedAt - settlingTime);
    if (holders.size() != 1 || holders.contains(std::string())) {
        return false;
    }
    const std::string &holder = *holders.begin();
    const auto unusual = m_unusualUntil.find(holder);
    return !m_busy.contains(holder) && !m_takers.contains(holder) && (unusual == m_unusualUntil.end() || unusual->second < now);
}

void soak_workspaces::visitVersions(time_point since, const std::function<void(const version &)> &visit) const
{
    for (std::size_t index = m_versions.size(); index > 0; --index) {
        visit(m_versions[index - 1]);
        if (m_versions[index - 1].at <= since) {
            return;
        }
    }
}

std::set<std::string> soak_workspaces::holdersSince(const std::string &key, time_point since) const
{
    std::set<std::string> holders;
    visitVersions(since, [&](const version &one) {
        const auto found = one.holderByKey.find(key);
        holders.insert(found == one.holderByKey.end() ? std::string() : found->second);
    });
    return holders;
}

double soak_workspaces::mostOperationsSince(const std::string &workspace, time_point since) const
{
    double most = 0;
    visitVersions(since, [&](const version &one) {
        const auto found = std::ranges::find(one.workspaces, workspace, &standin_workspace::name);
        const double seconds = std::chrono::duration<double>(limitWindow).count();
        most = std::max(most, (found->operationsPerSecond * seconds + found->burst) * (1 + limitOverrun) + limitSlack);
    });
    return most;
}

std::string soak_workspaces::checkLimit(const std::string &workspace, time_point now)
{
    std::deque<time_point> &operations = m_operations[workspace];
    operations.push_back(now);
    while (operations.front() <= now - limitWindow) {
        operations.pop_front();
    }
    const double most = mostOperationsSince(workspace, m_oldest(now - limitWindow));
    if (static_cast<double>(operations.size()) <= most) {
        return {};
    }
    return "QUOTA: databases ran more than " + std::to_string(std::lround(most)) + " operations of " + workspace + " in "
           + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(limitWindow).count()) + " s";
}

std::vector<std::string> soak_workspaces::onRun(const statement_run &run, const sent_statement &sent, time_point now)
{
    const bool isPublic = sent.routeIsPublic;
    std::vector<std::string> violations;
    const std::set<std::string> holders = holdersSince(sent.key, m_oldest(sent.sentAt));
    const bool held = holders.size() > 1 || !holders.contains(std::string());
    const bool isKey = m_firstHolder.contains(run.caller) || run.caller == sent.key;
    const bool isWorkspace = std::ranges::find(m_current, run.caller, &standin_workspace::name) != m_current.end();
    if (isKey) {
        violations.push_back("UNASKED: " + run.id + " ran on a connection that was opened with a key as name");
    } else if (!held && !isPublic) {
        const bool never = !m_firstHolder.contains(sent.key);
        violations.push_back((never ? "ROUTE: " : "CONFIG: ") + run.id + " ran with " + sent.key
                             + (never ? ", which never existed" : ", which was withdrawn"));
    } else if (!holders.contains(run.caller) && (!isPublic || isWorkspace)) {
        violations.push_back("UNASKED: " + run.id + " ran as " + run.caller + " with " + sent.key + " of "
                             + (held ? *holders.rbegin() : "nobody"));
    }
    // Counted for the client's workspace also where the database was told another.
    const std::string counted = holders.contains(run.caller) ? run.caller : holderOf(sent.key);
    if (!counted.empty() && !isPublic && m_countedAttempts.insert(sent.attempt).second) {
        if (std::string violation = checkLimit(counted, now); !violation.empty()) {
            violations.push_back(std::move(violation));
        }
    }
    return violations;
}

std::string soak_workspaces::onUnknownKey(const std::string &key, bool isPublic, time_point sentAt, time_point now) const
{
    if (holdersSince(key, std::min(m_oldest(sentAt), now)).contains(std::string()) && !isPublic) {
        return {};
    }
    return "CONFIG: " + key + (isPublic ? " was refused on a public route" : " was refused as unknown, though it is held");
}

} // namespace mustardrouter
