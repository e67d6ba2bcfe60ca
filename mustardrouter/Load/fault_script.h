#pragma once

#include "mustardrouter/Load/testbed.h"
#include "mustardrouter/Load/workload.h"
#include "mustardrouter/Schema/load.pb.h"

#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mustardrouter
{

/// Injects the faults of a profile and records when. Blocking, and not thread-safe.
class fault_script
{
public:
    fault_script(testbed &bed, workload &run);

    /// Injects one fault and records it with the time since `startedAt`.
    void apply(const load::fault &fault, load_instant startedAt);
    /// Restores the platform and every killed or frozen database, so that the final state can be read.
    void restoreAll();

    const std::vector<load::fault_mark> &marks() const;
    std::uint32_t shutdowns() const;
    std::uint32_t cleanShutdowns() const;

private:
    std::string inject(const load::fault &fault);
    std::string failPrimary(const std::string &group, bool freeze);
    std::string restoreDatabases(const std::string &prefix);
    std::string stopInstance(const load::fault &fault, bool graceful);
    std::string changeLag(const load::fault &fault);
    database_standin *databaseAt(const load::fault &fault);

    testbed &m_testbed;
    workload &m_workload;
    std::set<std::string> m_killed;
    std::set<std::string> m_frozen;
    std::vector<load::fault_mark> m_marks;
    std::uint32_t m_shutdowns = 0;
    std::uint32_t m_cleanShutdowns = 0;
};

} // namespace mustardrouter
