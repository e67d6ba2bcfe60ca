#include "mustardrouter/Load/fault_script.h"

namespace mustardrouter
{

namespace
{

constexpr std::chrono::seconds shutdownTimeout{10};

} // namespace

fault_script::fault_script(testbed &bed, workload &run)
    : m_testbed(bed)
    , m_workload(run)
{
}

void fault_script::apply(const load::fault &fault, load_instant startedAt)
{
    load::fault_mark mark;
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
    mark.set_at_seconds(elapsed.count());
    mark.set_what(inject(fault));
    m_marks.push_back(std::move(mark));
}

std::string fault_script::inject(const load::fault &fault)
{
    const std::string group = groupNameOf(m_testbed.deploymentSettings(), fault.group());
    switch (fault.kind()) {
    case load::KILL_PRIMARY:
        return failPrimary(group, false);
    case load::FREEZE_PRIMARY:
        return failPrimary(group, true);
    case load::RESTORE_DATABASES:
        return restoreDatabases(group + "-");
    case load::KILL_INSTANCE:
        return stopInstance(fault, false);
    case load::SHUT_DOWN_INSTANCE:
        return stopInstance(fault, true);
    case load::ADD_INSTANCE:
        if (!handleErrors(
                [&]() -> result_of<bool> {
                    BOOST_LEAF_CHECK(m_testbed.addInstance());
                    return true;
                },
                [](const error &) {
                    return false;
                })) {
            return "could not add an instance";
        }
        m_workload.setEntries(m_testbed.entryAddresses());
        return "add an instance";
    case load::PLATFORM_DOWN:
    case load::PLATFORM_UP: {
        const bool down = fault.kind() == load::PLATFORM_DOWN;
        platform_faults faults;
        faults.down = down;
        m_testbed.platform().setFaults(faults);
        return down ? "platform down" : "platform up";
    }
    case load::LEAVE_DATABASE: {
        database_standin *leaving = databaseAt(fault);
        leaving->setLeaving(true);
        return leaving->name() + " leaves";
    }
    case load::CHANGE_LAG:
        return changeLag(fault);
    case load::SILENCE_CONNECTION: {
        database_standin *database = databaseAt(fault);
        database->silenceOneConnection();
        return "silence a connection of " + database->name();
    }
    default:
        return "unknown fault";
    }
}

database_standin *fault_script::databaseAt(const load::fault &fault)
{
    const auto databases = m_testbed.databasesOf(groupNameOf(m_testbed.deploymentSettings(), fault.group()));
    return databases.at(fault.index() % databases.size());
}

std::string fault_script::failPrimary(const std::string &group, bool freeze)
{
    database_standin *primary = m_testbed.primaryOf(group);
    if (primary == nullptr) {
        return group + " has no primary to take";
    }
    if (freeze) {
        primary->setFrozen(true);
        m_frozen.insert(primary->name());
        return "freeze the primary " + primary->name();
    }
    primary->kill();
    m_killed.insert(primary->name());
    return "kill the primary " + primary->name();
}

std::string fault_script::restoreDatabases(const std::string &prefix)
{
    std::erase_if(m_killed, [&](const std::string &name) {
        if (!name.starts_with(prefix)) {
            return false;
        }
        m_testbed.findDatabase(name)->restart();
        return true;
    });
    std::erase_if(m_frozen, [&](const std::string &name) {
        if (!name.starts_with(prefix)) {
            return false;
        }
        m_testbed.findDatabase(name)->setFrozen(false);
        return true;
    });
    return prefix.empty() ? "restore all databases" : "restore the databases of " + prefix.substr(0, prefix.size() - 1);
}

std::string fault_script::stopInstance(const load::fault &fault, bool graceful)
{
    auto &instances = m_testbed.instances();
    if (instances.size() < 2) {
        return "the last instance stays";
    }
    const std::size_t index = fault.index() % instances.size();
    // As a load balancer does, new connections are directed away from an instance before it ends.
    std::vector<std::string> entries = m_testbed.entryAddresses();
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(index));
    m_workload.setEntries(entries);
    const std::string name = instances[index]->name();
    if (graceful) {
        ++m_shutdowns;
        m_cleanShutdowns += instances[index]->shutDown(shutdownTimeout) ? 1 : 0;
    } else {
        instances[index]->kill();
    }
    instances.erase(instances.begin() + static_cast<std::ptrdiff_t>(index));
    if (!graceful) {
        m_testbed.platform().markGone(name);
    }
    return (graceful ? "shut down " : "kill ") + name;
}

std::string fault_script::changeLag(const load::fault &fault)
{
    for (database_standin *database : m_testbed.databasesOf(groupNameOf(m_testbed.deploymentSettings(), fault.group()))) {
        database->setLag(m_testbed.deploymentSettings().replicationDelay, std::chrono::microseconds(fault.apply_lag_us()));
    }
    return "replicas apply " + std::to_string(fault.apply_lag_us() / 1000) + " ms later";
}

void fault_script::restoreAll()
{
    m_testbed.platform().setFaults({});
    restoreDatabases("");
}

const std::vector<load::fault_mark> &fault_script::marks() const
{
    return m_marks;
}

std::uint32_t fault_script::shutdowns() const
{
    return m_shutdowns;
}

std::uint32_t fault_script::cleanShutdowns() const
{
    return m_cleanShutdowns;
}

} // namespace mustardrouter
