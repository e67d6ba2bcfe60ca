#include "review/standin-2/store_front.h"

#include "mustardrouter/PlatformStandIn/delayed_call.h"
#include "platform/http_client.h"

#include <algorithm>
#include <charconv>

namespace mustardrouter::review
{

namespace
{

using namespace std::chrono_literals;

constexpr duration pollInterval = 10ms;
constexpr duration oldestState = 20s;
/// Longest time that the store keeps a watch waiting.
constexpr std::uint64_t maxWaitMillis = 30'000;

std::uint64_t numberOf(const standin_request &request, const std::string &name)
{
    const auto found = request.parameters.find(name);
    std::uint64_t value = 0;
    if (found != request.parameters.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

std::string textOf(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace

store_front::store_front(asio::io_context &context, now_function now)
    : m_context(context)
    , m_now(std::move(now))
    , m_timer(context)
{
}

std::string store_front::listenFor(const std::string &address)
{
    m_listeners.push_back(
        std::make_unique<standin_http>(m_context, [this, address](const standin_request &request, const standin_http::responder &respond) {
            handle(address, request, respond);
        }));
    return m_listeners.back()->listen() ? m_listeners.back()->address() : std::string();
}

void store_front::delayOrders(duration delay)
{
    m_orderDelay = delay;
}

void store_front::refuseOrders(bool refuses)
{
    m_refusesOrders = refuses;
}

std::size_t store_front::refusedOrders() const
{
    return m_refusedOrders;
}

void store_front::remember(standin_store &store)
{
    m_store = &store;
    keepState();
}

void store_front::setStaleness(duration age)
{
    m_staleness = age;
}

void store_front::keepState()
{
    const time_point now = m_now();
    if (m_states.empty() || m_states.back().second.revision() != m_store->objects().revision()) {
        m_states.emplace_back(now, m_store->objects());
    }
    while (m_states.size() > 1 && now - m_states[1].first > oldestState) {
        m_states.pop_front();
    }
    m_timer.expires_after(pollInterval);
    m_timer.async_wait([this](const asio::error_code &problem) {
        if (!problem) {
            keepState();
        }
    });
}

const standin_objects &store_front::visible() const
{
    if (m_staleness == duration{}) {
        return m_store->objects();
    }
    const time_point seen = m_now() - m_staleness;
    const auto later = std::ranges::find_if(m_states, [&](const auto &state) {
        return state.first > seen;
    });
    return later == m_states.begin() ? m_states.front().second : std::prev(later)->second;
}

void store_front::handle(const std::string &address, const standin_request &request, const standin_http::responder &respond)
{
    const bool watches = request.parameters.contains("watch") && numberOf(request, "allow_stale") == 1;
    if (watches && m_store != nullptr) {
        const auto wait = std::chrono::milliseconds(std::min(maxWaitMillis, numberOf(request, "wait_ms")));
        answerWatch(request, m_now() + wait, respond);
        return;
    }
    const bool orders = request.method == "POST" && request.path == "/failover";
    if (orders && m_refusesOrders) {
        m_refusedOrders += 1;
        respond({503, "{}"});
        return;
    }
    if (orders && m_orderDelay > duration{}) {
        // The call is answered; its effect comes some hundred milliseconds later.
        respond({200, "{}"});
        callLater(m_context, m_orderDelay, [this, address, request] {
            passOn(address, request, [](standin_answer) {
            });
        });
        return;
    }
    passOn(address, request, respond);
}

void store_front::answerWatch(const standin_request &request, time_point until, const standin_http::responder &respond)
{
    const std::string kind = request.path.substr(request.path.rfind('/') + 1);
    const std::uint64_t since = numberOf(request, "watch");
    const standin_objects &seen = visible();
    const auto changes = seen.changesSince(kind, since);
    const bool any = changes && !changes->empty();
    if (!any && m_now() < until) {
        callLater(m_context, pollInterval, [this, request, until, respond] {
            answerWatch(request, until, respond);
        });
        return;
    }
    Json::Value body;
    body["events"] = Json::arrayValue;
    for (const standin_change &change : any ? *changes : std::vector<standin_change>{}) {
        Json::Value event;
        event["object"]["meta"]["name"] = change.name;
        event["object"]["meta"]["revision"] = Json::UInt64(change.revision);
        event["object"]["spec"] = change.spec;
        event["deleted"] = change.removed;
        body["events"].append(event);
    }
    body["as_of"] = Json::UInt64(std::max(since, seen.revision()));
    respond({200, textOf(body)});
}

void store_front::passOn(const std::string &address, const standin_request &request, const standin_http::responder &respond)
{
    platform::http_request call;
    call.method = request.method;
    call.target = request.path;
    char separator = '?';
    for (const auto &[name, value] : request.parameters) {
        call.target += separator + name + "=" + value;
        separator = '&';
    }
    call.body = request.body;
    for (const char *header : {"Duty-Holder", "Fencing-Token"}) {
        if (const auto found = request.headers.find(header); found != request.headers.end()) {
            call.headers.emplace_back(header, found->second);
        }
    }
    call.requestTimeout = std::chrono::milliseconds(maxWaitMillis) + 2s;
    const auto client = std::make_shared<platform::http_client>(m_context, address);
    client->call(std::move(call), [client, respond](const platform::http_response &response) {
        standin_answer answer{response.status, response.body};
        answer.closes = response.status == 0;
        respond(answer);
    });
}

} // namespace mustardrouter::review
