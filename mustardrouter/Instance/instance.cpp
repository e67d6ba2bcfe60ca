#include "mustardrouter/Instance/instance.h"

#include "mustardrouter/Core/failure.h"
#include "mustardrouter/Runtime/log.h"

#include <thread>

namespace mustardrouter
{

namespace
{

constexpr std::size_t ringCapacity = 16384;
constexpr std::size_t spanCapacity = 4096;
constexpr std::size_t recentTraces = 2000;
constexpr std::size_t tracesPerCall = 200;
constexpr int controlRefused = -32020;

std::uint64_t unixMicroseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

instance::instance(const objects::instance_settings &settings)
    : m_settings(settings)
    , m_inputs(ringCapacity)
    , m_network(m_inputs.networkEvents, ringCapacity)
    , m_platform(settings.platform_address(), m_inputs.recordEvents, ringCapacity)
    , m_telemetry(settings.trace_file(), settings.name(), spanCapacity)
    , m_recent(recentTraces)
{
}

instance::~instance()
{
    stopThreads();
}

result_of<void> instance::start()
{
    BOOST_LEAF_CHECK(m_network.start(m_settings.caller_address(), m_settings.peer_address()));
    const std::uint64_t incarnation = unixMicroseconds();
    m_name = m_settings.name() + "." + std::to_string(incarnation);
    const instance_view self{instance_name(m_name), m_network.peerAddress(), m_settings.place(), incarnation, false};
    const decision_settings decisionSettings{
        self, m_settings.token_key(), m_settings.trace_sample(), {m_settings.seeds().begin(), m_settings.seeds().end()}};
    m_discovery = std::make_unique<discovery_thread>(m_settings.platform_address(), self, m_inputs.discoveryEvents);
    m_decisions = std::make_unique<decision_thread>(
        decisionSettings, m_inputs, decision_outputs{m_network, m_platform, m_telemetry, m_metrics, m_recent, *m_discovery});
    if (!m_settings.control_address().empty()) {
        m_control = std::make_unique<json_rpc_server>(m_settings.control_address(),
                                                      m_settings.operator_key(),
                                                      std::vector<std::string>{"status", "failover", "drain", "traces"},
                                                      [this](const std::string &method, const Json::Value &parameters) {
                                                          return onControl(method, parameters);
                                                      });
        if (!m_control->start()) {
            return fail(failure::addressUnavailable, m_settings.control_address() + ": the control interface cannot listen");
        }
    }
    if (!m_settings.metrics_address().empty() && !m_metrics.expose(m_settings.metrics_address())) {
        return fail(failure::addressUnavailable, m_settings.metrics_address() + ": the metrics endpoint cannot listen");
    }
    m_telemetry.start();
    m_platform.start();
    m_decisions->start();
    m_discovery->start();
    writeLog(log_level::info,
             "instance",
             "started",
             {{"instance", m_name}, {"callers", m_network.callerAddress()}, {"peers", m_network.peerAddress()}});
    return {};
}

bool instance::shutDown(std::chrono::milliseconds timeout)
{
    m_discovery->announceLeaving();
    command(drain_instance{});
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!m_decisions->isDrained() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const bool drained = m_decisions->isDrained();
    writeLog(drained ? log_level::info : log_level::warning,
             "instance",
             drained ? "drained" : "drain timed out; in-flight requests are cut off",
             {{"instance", m_name}});
    // Let the network thread send the answers that were just queued.
    constexpr auto replyFlushTime = std::chrono::milliseconds(50);
    std::this_thread::sleep_for(replyFlushTime);
    stopThreads();
    return drained;
}

void instance::kill()
{
    stopThreads();
}

void instance::stopThreads()
{
    if (m_control) {
        m_control->stop();
    }
    m_network.stop();
    if (m_decisions) {
        m_decisions->stop();
    }
    if (m_discovery) {
        m_discovery->stop();
    }
    m_platform.stop();
    m_telemetry.stop();
}

const std::string &instance::name() const
{
    return m_name;
}

std::string instance::callerAddress() const
{
    return m_network.callerAddress();
}

std::string instance::controlAddress() const
{
    return m_control ? hostOf(m_settings.control_address()) + ":" + std::to_string(m_control->port()) : std::string();
}

std::uint64_t instance::revision() const
{
    return m_decisions->revision();
}

Json::Value instance::status() const
{
    return m_decisions->status();
}

failure instance::command(operator_command what)
{
    const std::lock_guard lock(m_commandMutex);
    return m_inputs.commands.push(std::move(what));
}

Json::Value instance::traces(const Json::Value &parameters)
{
    const trace_filter filter{parameters["service"].asString(), parameters["outcome"].asString()};
    const trace_page page = m_recent.read(parameters["from"].asUInt64(), tracesPerCall, filter);
    Json::Value shown(Json::objectValue);
    shown["next"] = Json::UInt64(page.next);
    shown["missed"] = Json::UInt64(page.missed);
    shown["traces"] = Json::Value(Json::arrayValue);
    for (const request_trace &trace : page.traces) {
        Json::Value spans(Json::arrayValue);
        for (const trace_span &span : trace) {
            spans.append(toJson(span));
        }
        shown["traces"].append(spans);
    }
    return shown;
}

Json::Value instance::onControl(const std::string &method, const Json::Value &parameters)
{
    if (method == "status") {
        return status();
    }
    if (method == "traces") {
        return traces(parameters);
    }
    operator_command what = drain_instance{};
    if (method == "failover" && parameters["giveUp"].isArray() && !parameters["giveUp"].empty()) {
        force_promotion force{group_name(parameters["group"].asString()), {}};
        for (const Json::Value &name : parameters["giveUp"]) {
            force.excludedFromQuorum.emplace_back(name.asString());
        }
        what = force;
    } else if (method == "failover") {
        move_primary move{group_name(parameters["group"].asString()), std::nullopt};
        if (parameters.isMember("to") && !parameters["to"].asString().empty()) {
            move.to = database_name(parameters["to"].asString());
        }
        what = move;
    } else {
        m_discovery->announceLeaving();
    }
    writeLog(log_level::info, "control", "operator command", {{"command", method}, {"operator", parameters["operator"].asString()}});
    if (command(std::move(what)) != failure::none) {
        throw json_rpc_refusal{controlRefused, std::string(toString(failure::ringFull))};
    }
    Json::Value accepted(Json::objectValue);
    accepted["accepted"] = true;
    return accepted;
}

} // namespace mustardrouter
