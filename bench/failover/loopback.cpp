#include "loopback.h"

#include "figures.h"
#include "mustardrouter/Load/caller_client.h"
#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Load/workload.h"
#include "mustardrouter/Runtime/error.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstdio>
#include <functional>
#include <mutex>
#include <thread>

namespace mustardrouter
{

namespace
{

constexpr auto writeInterval = std::chrono::milliseconds(5);
constexpr auto readinessTimeout = std::chrono::seconds(20);
constexpr auto settleDuration = std::chrono::milliseconds(1500);
constexpr std::size_t instanceCount = 4;

time_point currentTime()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Writes to one group at a fixed interval and records when writes were done.
class steady_writer
{
public:
    steady_writer(std::string entry, std::string service, std::string partition)
        : m_client(std::make_shared<caller_client>(m_context, std::move(entry)))
        , m_service(std::move(service))
        , m_partition(std::move(partition))
        , m_timer(m_context)
    {
        m_client->connect();
        asio::post(m_context, [this] {
            sendNext();
        });
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~steady_writer()
    {
        m_context.stop();
        m_thread.join();
    }

    steady_writer(const steady_writer &) = delete;
    steady_writer &operator=(const steady_writer &) = delete;

    /// Largest gap between two consecutive done writes of which the later one was done at or after `since`. Empty if no
    /// write was done, or if the time since the last one exceeds that gap, so that writes have not resumed.
    std::optional<duration> gapAround(time_point since) const
    {
        const std::lock_guard lock(m_mutex);
        duration largest{};
        for (std::size_t index = 1; index < m_done.size(); ++index) {
            if (m_done[index] >= since) {
                largest = std::max(largest, m_done[index] - m_done[index - 1]);
            }
        }
        if (m_done.empty() || currentTime() - m_done.back() > largest) {
            return std::nullopt;
        }
        return largest;
    }

private:
    void sendNext()
    {
        wire::statement statement;
        statement.set_kind(wire::STATEMENT_WRITE);
        statement.set_service(m_service);
        statement.set_partition(m_partition);
        statement.set_sql("INSERT INTO items VALUES('x', 'bench', 'y')");
        m_client->send(statement, [this](const wire::result &result) {
            if (result.outcome() != wire::OUTCOME_DONE) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            m_done.push_back(currentTime());
        });
        m_timer.expires_after(writeInterval);
        m_timer.async_wait([this](const asio::error_code &code) {
            if (!code) {
                sendNext();
            }
        });
    }

    asio::io_context m_context;
    std::shared_ptr<caller_client> m_client;
    std::string m_service;
    std::string m_partition;
    asio::steady_timer m_timer;
    mutable std::mutex m_mutex;
    std::vector<time_point> m_done;
    std::thread m_thread;
};

struct loopback_failure {
    const char *name;
    std::function<void(database_standin &primary, instance &owner)> fail;
    bool endsOwner = false;
};

const std::vector<loopback_failure> &loopbackFailures()
{
    static const std::vector<loopback_failure> all{
        {"primary killed",
         [](database_standin &primary, instance &) {
             primary.kill();
         }},
        {"primary silent",
         [](database_standin &primary, instance &) {
             primary.setFrozen(true);
         }},
        {"owner killed",
         [](database_standin &, instance &owner) {
             owner.kill();
         },
         true},
    };
    return all;
}

void repair(testbed &bed, const loopback_failure &what, database_standin *database, const instance *owner)
{
    if (!what.endsOwner) {
        database->setFrozen(false);
        if (std::string(what.name) == "primary killed") {
            database->restart();
        }
        return;
    }
    std::erase_if(bed.instances(), [&](const auto &item) {
        return item.get() == owner;
    });
    handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(bed.addInstance());
            return true;
        },
        [](const error &) {
            return false;
        });
}

/// Address of an entry that survives the fault: of an instance that does not own the group.
std::optional<std::string> entryNotOwner(testbed &bed, const std::string &group)
{
    const instance *owner = bed.ownerOf(group);
    for (const auto &item : bed.instances()) {
        if (item.get() != owner) {
            return item->callerAddress();
        }
    }
    return std::nullopt;
}

std::optional<duration> measureOnce(testbed &bed, const std::string &group, const std::string &partition, const loopback_failure &what)
{
    const auto entry = entryNotOwner(bed, group);
    if (!entry || !bed.waitUntilServing(readinessTimeout)) {
        return std::nullopt;
    }
    database_standin *database = bed.primaryOf(group);
    instance *owner = bed.ownerOf(group);
    if (database == nullptr || owner == nullptr) {
        return std::nullopt;
    }
    steady_writer writer(*entry, bed.deploymentSettings().service, partition);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const time_point failed = currentTime();
    what.fail(*database, *owner);
    std::this_thread::sleep_for(settleDuration);
    const std::optional<duration> gap = writer.gapAround(failed);
    repair(bed, what, database, owner);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    return gap;
}

} // namespace

bool measureOverLoopback(const deployment &of, std::size_t failovers)
{
    testbed bed(of, instanceCount);
    const bool started = handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(bed.start());
            return true;
        },
        [](const error &) {
            return false;
        });
    if (!started || !bed.waitUntilServing(readinessTimeout)) {
        return false;
    }
    std::vector<std::string> groups;
    for (std::size_t group = 0; group < of.groups; ++group) {
        groups.push_back(groupNameOf(of, group));
    }
    const std::string partition = partitionsFor(groups).front();
    std::printf("\n## %s: gaps over loopback, %zu instances, median / 99th percentile / worst in ms\n\n", of.name.c_str(), instanceCount);
    bool fine = true;
    for (const loopback_failure &what : loopbackFailures()) {
        figures gaps{what.name, {}};
        std::size_t unfinished = 0;
        for (std::size_t index = 0; index < failovers; ++index) {
            const std::optional<duration> gap = measureOnce(bed, groups.front(), partition, what);
            if (gap) {
                gaps.samples.push_back(*gap);
            } else {
                ++unfinished;
            }
        }
        std::printf("%s: %s (%zu done, %zu unfinished)\n", what.name, describe(gaps).c_str(), gaps.samples.size(), unfinished);
        std::fflush(stdout);
        fine = fine && unfinished == 0;
    }
    return fine;
}

} // namespace mustardrouter
