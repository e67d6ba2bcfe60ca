#include "mustardrouter/Load/testbed.h"

#include "mustardrouter/Platform/configuration_store.h"

#include <algorithm>
#include <thread>

namespace mustardrouter
{

namespace
{

constexpr auto listLag = std::chrono::milliseconds(200);
constexpr auto platformTimeout = std::chrono::milliseconds(2000);

bool ownsGroup(const Json::Value &status, const std::string &group)
{
    return status["groups"][group]["serving"].asBool();
}

} // namespace

change_set configurationOf(const deployment &settings, const std::vector<database> &databases)
{
    change_set changes;
    for (const std::string &name : settings.places) {
        changes.changed.emplace_back(place{name, settings.region});
    }
    changes.changed.emplace_back(named_read_rule{"own-work", read_rule::session, {}});
    changes.changed.emplace_back(named_read_rule{"recent", read_rule::age, std::chrono::seconds(2)});
    session_policy policy;
    policy.name = "default";
    policy.readRule = "own-work";
    changes.changed.emplace_back(policy);
    service deploymentService;
    deploymentService.name = settings.service;
    deploymentService.sessionPolicy = policy.name;
    for (std::size_t group = 0; group < settings.groups; ++group) {
        database_group created;
        created.name = groupNameOf(settings, group);
        const auto first = databases.begin() + static_cast<std::ptrdiff_t>(group * settings.databasesPerGroup);
        created.databases.assign(first, first + static_cast<std::ptrdiff_t>(settings.databasesPerGroup));
        deploymentService.groups.push_back(created.name);
        changes.changed.emplace_back(std::move(created));
    }
    for (const class_service &item : settings.classServices) {
        session_policy own = policy;
        own.name = item.name;
        own.weight = item.weight;
        changes.changed.emplace_back(own);
        service copy = deploymentService;
        copy.name = item.name;
        copy.sessionPolicy = own.name;
        changes.changed.emplace_back(std::move(copy));
    }
    changes.changed.emplace_back(std::move(deploymentService));
    return changes;
}

testbed::testbed(deployment settings, std::size_t instances)
    : m_deploymentSettings(std::move(settings))
    , m_instanceCount(instances)
    , m_platform("127.0.0.1:0", listLag)
{
}

testbed::~testbed()
{
    stop();
}

result_of<void> testbed::start()
{
    if (!m_platform.start()) {
        return fail(failure::addressUnavailable, "the platform stand-in cannot listen");
    }
    for (std::size_t group = 0; group < m_deploymentSettings.groups; ++group) {
        for (std::size_t index = 0; index < m_deploymentSettings.databasesPerGroup; ++index) {
            m_databases.push_back(std::make_unique<database_standin>(databaseSettings(m_deploymentSettings, group, index)));
            if (!m_databases.back()->start()) {
                return fail(failure::addressUnavailable, "a database stand-in cannot listen");
            }
        }
    }
    BOOST_LEAF_CHECK(publishConfiguration());
    for (std::size_t index = 0; index < m_instanceCount; ++index) {
        BOOST_LEAF_CHECK(addInstance());
    }
    return {};
}

result_of<void> testbed::publishConfiguration()
{
    std::vector<database> databases;
    for (std::size_t index = 0; index < m_databases.size(); ++index) {
        database created;
        created.name = database_name(m_databases[index]->name());
        created.place = m_deploymentSettings.places[index % m_deploymentSettings.places.size()];
        created.address = m_databases[index]->address();
        created.slots = m_deploymentSettings.slots;
        created.connections = m_deploymentSettings.connections;
        created.connectionCostMs = static_cast<std::uint32_t>(m_deploymentSettings.connectionCost.count());
        databases.push_back(created);
    }
    const publication_result published = publish(configurationOf(m_deploymentSettings, databases));
    if (published.cause != failure::none) {
        std::string detail;
        for (const configuration_problem &problem : published.problems) {
            detail += " " + problem.object + "." + problem.field + ": " + problem.detail;
        }
        return fail(published.cause, detail);
    }
    return {};
}

publication_result testbed::publish(const change_set &changes)
{
    platform_client platform(m_platform.address(), platformTimeout);
    publication metadata;
    metadata.id = newPublicationId();
    metadata.author = "testbed";
    return publishChanges(objectApiOf(platform), changes, metadata);
}

result_of<void> testbed::addInstance()
{
    objects::instance_settings settings;
    settings.set_name("entry-" + std::to_string(m_instancesCreated + 1));
    settings.set_place(m_deploymentSettings.places[m_instancesCreated % m_deploymentSettings.places.size()]);
    ++m_instancesCreated;
    settings.set_caller_address("127.0.0.1:0");
    settings.set_peer_address("127.0.0.1:0");
    settings.set_platform_address(m_platform.address());
    settings.set_token_key("testbed");
    auto created = std::make_unique<instance>(settings);
    BOOST_LEAF_CHECK(created->start());
    m_instances.push_back(std::move(created));
    return {};
}

bool testbed::waitUntilServing(std::chrono::milliseconds timeout) const
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::size_t served = 0;
        for (std::size_t group = 0; group < m_deploymentSettings.groups; ++group) {
            const std::string name = groupNameOf(m_deploymentSettings, group);
            const bool owned = std::ranges::any_of(m_instances, [&](const auto &item) {
                return ownsGroup(item->status(), name);
            });
            served += owned ? 1U : 0U;
        }
        if (served == m_deploymentSettings.groups) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

void testbed::stop()
{
    m_instances.clear();
    m_databases.clear();
    m_platform.stop();
}

const deployment &testbed::deploymentSettings() const
{
    return m_deploymentSettings;
}

platform_standin &testbed::platform()
{
    return m_platform;
}

std::vector<std::unique_ptr<instance>> &testbed::instances()
{
    return m_instances;
}

std::vector<std::string> testbed::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &item : m_instances) {
        addresses.push_back(item->callerAddress());
    }
    return addresses;
}

instance *testbed::ownerOf(const std::string &group)
{
    for (const auto &item : m_instances) {
        if (ownsGroup(item->status(), group)) {
            return item.get();
        }
    }
    return nullptr;
}

database_standin *testbed::findDatabase(const std::string &name)
{
    for (const auto &item : m_databases) {
        if (item->name() == name) {
            return item.get();
        }
    }
    return nullptr;
}

database_standin *testbed::primaryOf(const std::string &group)
{
    const instance *owner = ownerOf(group);
    return owner == nullptr ? nullptr : findDatabase(owner->status()["groups"][group]["primary"].asString());
}

std::vector<database_standin *> testbed::databasesOf(const std::string &group)
{
    std::vector<database_standin *> found;
    for (const auto &item : m_databases) {
        if (item->name().starts_with(group + "-")) {
            found.push_back(item.get());
        }
    }
    return found;
}

} // namespace mustardrouter
