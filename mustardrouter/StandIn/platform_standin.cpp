#include "mustardrouter/StandIn/platform_standin.h"

#include "mustardrouter/Platform/platform_codes.h"

#include <thread>

namespace mustardrouter
{

namespace
{

[[noreturn]] void refuse(platform_code code, const std::string &message)
{
    throw json_rpc_refusal{static_cast<int>(code), message};
}

Json::Value toJson(const platform_object &object)
{
    Json::Value value(Json::objectValue);
    value["key"] = object.key;
    value["value"] = object.value;
    value["version"] = Json::UInt64(object.version);
    return value;
}

Json::Value versionOnly(std::uint64_t version)
{
    Json::Value value(Json::objectValue);
    value["version"] = Json::UInt64(version);
    return value;
}

bool isUpdate(const std::string &method)
{
    return method == "put" || method == "remove";
}

} // namespace

platform_standin::platform_standin(const std::string &address, std::chrono::milliseconds listLag)
    : m_host(address.substr(0, address.rfind(':')))
    , m_listLag(listLag)
    , m_server(address,
               {},
               {"get", "put", "remove", "list", "watch", "instances", "announce"},
               [this](const std::string &method, const Json::Value &parameters) {
                   return handle(method, parameters);
               })
{
}

platform_standin::~platform_standin()
{
    stop();
}

bool platform_standin::start()
{
    return m_server.start();
}

void platform_standin::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

std::string platform_standin::address() const
{
    return m_host + ":" + std::to_string(m_server.port());
}

void platform_standin::setFaults(const platform_faults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_changed.notify_all();
}

platform_counts platform_standin::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

void platform_standin::markGone(const std::string &instance)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_instances.find(instance);
    if (found == m_instances.end()) {
        return;
    }
    listed_instance gone = found->second.back();
    gone.gone = true;
    gone.visibleAt = std::chrono::steady_clock::now() + m_listLag;
    found->second.push_back(gone);
}

Json::Value platform_standin::handle(const std::string &method, const Json::Value &parameters)
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.down) {
            refuse(platform_code::unavailable, "the platform is down");
        }
        delay = m_faults.delay;
        std::uint64_t &count = isUpdate(method) ? m_counts.writes : m_counts.reads;
        ++count;
    }
    if (delay.count() > 0) {
        std::this_thread::sleep_for(delay);
    }
    Json::Value answer;
    if (method == "get") {
        answer = get(parameters);
    } else if (method == "put") {
        answer = put(parameters);
    } else if (method == "remove") {
        answer = remove(parameters);
    } else if (method == "list") {
        answer = list(parameters);
    } else if (method == "watch") {
        answer = watch(parameters);
    } else if (method == "instances") {
        answer = instances();
    } else {
        answer = announce(parameters);
    }
    if (isUpdate(method) && takeAnswerToDrop()) {
        refuse(platform_code::unavailable, "the answer is lost");
    }
    return answer;
}

bool platform_standin::takeAnswerToDrop()
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.answersToDrop == 0) {
        return false;
    }
    --m_faults.answersToDrop;
    return true;
}

void platform_standin::requireVersion(const std::string &key, std::uint64_t version) const
{
    const auto found = m_objects.find(key);
    const std::uint64_t stored = found == m_objects.end() ? 0 : found->second.version;
    if (stored != version) {
        refuse(platform_code::versionConflict, key + " has version " + std::to_string(stored));
    }
}

Json::Value platform_standin::get(const Json::Value &parameters)
{
    const std::lock_guard lock(m_mutex);
    const std::string key = parameters["key"].asString();
    const auto found = m_objects.find(key);
    return toJson(found == m_objects.end() ? platform_object{key, {}, 0} : found->second);
}

Json::Value platform_standin::put(const Json::Value &parameters)
{
    constexpr std::size_t maxValueBytes = 1U << 20U;
    const std::lock_guard lock(m_mutex);
    const std::string key = parameters["key"].asString();
    if (parameters["value"].asString().size() > maxValueBytes) {
        refuse(platform_code::badParameters, key + ": the value is above a megabyte");
    }
    requireVersion(key, parameters["version"].asUInt64());
    m_objects[key] = platform_object{key, parameters["value"].asString(), ++m_version};
    m_changed.notify_all();
    return versionOnly(m_version);
}

Json::Value platform_standin::remove(const Json::Value &parameters)
{
    const std::lock_guard lock(m_mutex);
    const std::string key = parameters["key"].asString();
    requireVersion(key, parameters["version"].asUInt64());
    m_objects.erase(key);
    return versionOnly(++m_version);
}

Json::Value platform_standin::list(const Json::Value &parameters)
{
    const std::lock_guard lock(m_mutex);
    const std::string prefix = parameters["prefix"].asString();
    Json::Value objects(Json::arrayValue);
    for (auto found = m_objects.lower_bound(prefix); found != m_objects.end() && found->first.starts_with(prefix); ++found) {
        objects.append(toJson(found->second));
    }
    Json::Value answer(Json::objectValue);
    answer["objects"] = objects;
    return answer;
}

Json::Value platform_standin::watch(const Json::Value &parameters)
{
    const std::string prefix = parameters["prefix"].asString();
    const std::uint64_t since = parameters["since"].asUInt64();
    const auto timeout = std::chrono::milliseconds(parameters["patienceMs"].asUInt64());
    Json::Value objects(Json::arrayValue);
    const auto collect = [&] {
        for (auto found = m_objects.lower_bound(prefix); found != m_objects.end() && found->first.starts_with(prefix); ++found) {
            if (found->second.version > since) {
                objects.append(toJson(found->second));
            }
        }
        return !objects.empty() || m_stopping || m_faults.down;
    };
    std::unique_lock lock(m_mutex);
    ++m_counts.watches;
    ++m_counts.pendingWatches;
    m_changed.wait_for(lock, timeout, collect);
    --m_counts.pendingWatches;
    if (m_faults.down) {
        refuse(platform_code::unavailable, "the platform is down");
    }
    Json::Value answer(Json::objectValue);
    answer["objects"] = objects;
    return answer;
}

Json::Value platform_standin::instances()
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    Json::Value listed(Json::arrayValue);
    for (auto &[name, states] : m_instances) {
        while (states.size() > 1 && states[1].visibleAt <= now) {
            states.pop_front();
        }
        const listed_instance &state = states.front();
        if (state.gone || state.visibleAt > now) {
            continue;
        }
        Json::Value value(Json::objectValue);
        value["name"] = name;
        value["address"] = state.view.address;
        value["place"] = state.view.place;
        value["incarnation"] = Json::UInt64(state.view.incarnation);
        value["leaving"] = state.view.leaving;
        listed.append(value);
    }
    Json::Value answer(Json::objectValue);
    answer["instances"] = listed;
    return answer;
}

Json::Value platform_standin::announce(const Json::Value &parameters)
{
    const std::lock_guard lock(m_mutex);
    const std::string name = parameters["name"].asString();
    instance_view view{instance_name(name),
                       parameters["address"].asString(),
                       parameters["place"].asString(),
                       parameters["incarnation"].asUInt64(),
                       parameters["leaving"].asBool()};
    const auto visibleAt = std::chrono::steady_clock::now() + m_listLag;
    m_instances[name].push_back({std::move(view), visibleAt, false});
    return versionOnly(m_version);
}

} // namespace mustardrouter
