#include "mustardrouter/PlatformStandIn/standin_store.h"

#include "mustardrouter/PlatformStandIn/delayed_call.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace mustardrouter
{

namespace
{

/// The store's answers take so long on a good day.
constexpr std::chrono::milliseconds usualWait{4};
/// What is carried out late comes after this time, over the spread.
constexpr std::uint64_t lateMillis = 1000;
constexpr std::uint64_t lateSpreadMillis = 4000;
/// Objects on one page of a list; few, so that lists have several pages.
constexpr std::size_t pageSize = 5;
/// Longest wait of a watch.
constexpr std::uint64_t longestWaitMillis = 30'000;

const std::string objectsPath = "/v1/objects/";

std::uint64_t toNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string parameterOf(const standin_request &request, const std::string &name)
{
    const auto found = request.parameters.find(name);
    return found == request.parameters.end() ? std::string() : found->second;
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parse(const std::string &text)
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

standin_answer failureAnswer(store_failure how)
{
    standin_answer answer;
    answer.silent = how == store_failure::silent;
    answer.closes = how == store_failure::reset;
    answer.status = how == store_failure::tooMany ? 429 : 503;
    return answer;
}

} // namespace

standin_store::standin_store(asio::io_context &context, handlers callbacks, std::uint64_t seed)
    : m_context(context)
    , m_handlers(std::move(callbacks))
    , m_random(seed)
{
}

std::string standin_store::addInstance()
{
    const std::size_t index = m_listeners.size();
    m_listeners.push_back(
        std::make_unique<standin_http>(m_context, [this, index](const standin_request &request, const standin_http::responder &respond) {
            handle(index, request, respond);
        }));
    return m_listeners.back()->listen() ? m_listeners.back()->address() : std::string();
}

standin_objects &standin_store::objects()
{
    return m_objects;
}

store_faults &standin_store::faults()
{
    return m_faults;
}

bool standin_store::fails(std::size_t instance, const standin_http::responder &respond) const
{
    const store_failure how = m_faults.refused.contains(instance) ? m_faults.refusal : m_faults.down;
    if (how == store_failure::none) {
        return false;
    }
    respond(failureAnswer(how));
    return true;
}

void standin_store::handle(std::size_t instance, const standin_request &request, const standin_http::responder &respond)
{
    if (fails(instance, respond)) {
        return;
    }
    callLater(m_context, usualWait + m_faults.slow, [this, instance, request, respond] {
        const bool isOrder = request.method == "POST" && request.path == "/failover";
        if (request.method == "GET") {
            read(instance, request, respond);
            return;
        }
        const unsigned percent = isOrder ? m_faults.percentOrdersLate : m_faults.percentLost;
        const bool lost = m_random() % 100 < percent;
        const bool late = lost && (isOrder || m_faults.late);
        if (late) {
            respond(failureAnswer(store_failure::silent));
            callLater(m_context, std::chrono::milliseconds(lateMillis + m_random() % lateSpreadMillis), [this, request, isOrder] {
                isOrder ? order(request) : write(request);
            });
            return;
        }
        const standin_answer answer = isOrder ? order(request) : write(request);
        respond(lost ? failureAnswer(store_failure::silent) : answer);
    });
}

Json::Value standin_store::toJson(
    std::size_t instance, const std::string &kind, const std::string &name, std::uint64_t revision, const Json::Value &spec) const
{
    Json::Value object;
    object["meta"]["name"] = name;
    object["meta"]["revision"] = Json::UInt64(revision);
    object["spec"] = spec;
    if (kind == "servers" && spec.isObject() && spec["address"].isString()) {
        object["spec"]["address"] = m_handlers.addressFor(instance, spec["address"].asString());
    }
    return object;
}

void standin_store::read(std::size_t instance, const standin_request &request, const standin_http::responder &respond)
{
    if (!request.path.starts_with(objectsPath)) {
        respond({404, "{}"});
        return;
    }
    const std::string rest = request.path.substr(objectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    if (slash != std::string::npos) {
        const std::string name = rest.substr(slash + 1);
        const std::optional<standin_object> object = m_objects.find(kind, name);
        respond(object ? standin_answer{200, toText(toJson(instance, kind, name, object->revision, object->spec))}
                       : standin_answer{404, "{}"});
        return;
    }
    if (request.parameters.contains("watch")) {
        watch(instance, request, kind, respond);
        return;
    }
    Json::Value page;
    page["items"] = Json::arrayValue;
    page["has_more"] = false;
    page["as_of"] = Json::UInt64(m_objects.revision());
    const standin_objects::named &all = m_objects.ofKind(kind);
    for (auto at = all.upper_bound(parameterOf(request, "after")); at != all.end(); ++at) {
        if (page["items"].size() == pageSize) {
            page["has_more"] = true;
            break;
        }
        page["items"].append(toJson(instance, kind, at->first, at->second.revision, at->second.spec));
    }
    respond({200, toText(page)});
}

void standin_store::watch(std::size_t instance,
                          const standin_request &request,
                          const std::string &kind,
                          const standin_http::responder &respond)
{
    pending_watch waiting{instance, kind, toNumber(parameterOf(request, "watch")), respond, nullptr};
    if (!m_objects.changesSince(kind, waiting.since)) {
        respond({410, "{}"});
        return;
    }
    if (answerWatch(waiting, false)) {
        return;
    }
    const std::uint64_t wait = std::min(longestWaitMillis, toNumber(parameterOf(request, "wait_ms")));
    waiting.timer = std::make_unique<asio::steady_timer>(m_context, std::chrono::milliseconds(wait));
    const auto place = m_watches.insert(m_watches.end(), std::move(waiting));
    place->timer->async_wait([this, place](const asio::error_code &problem) {
        if (!problem) {
            if (isShut(place->instance)) {
                place->respond(failureAnswer(store_failure::silent));
            } else {
                answerWatch(*place, true);
            }
            m_watches.erase(place);
        }
    });
}

bool standin_store::answerWatch(pending_watch &waiting, bool timedOut)
{
    const std::optional<std::vector<standin_change>> changes = m_objects.changesSince(waiting.kind, waiting.since);
    if (!changes) {
        waiting.respond({410, "{}"});
        return true;
    }
    if (changes->empty() && !timedOut) {
        return false;
    }
    Json::Value body;
    body["events"] = Json::arrayValue;
    for (const standin_change &change : *changes) {
        Json::Value event;
        event["object"] = toJson(waiting.instance, change.kind, change.name, change.revision, change.spec);
        event["deleted"] = change.removed;
        body["events"].append(event);
    }
    body["as_of"] = Json::UInt64(m_objects.revision());
    waiting.respond({200, toText(body)});
    return true;
}

bool standin_store::isShut(std::size_t instance) const
{
    return m_faults.down != store_failure::none || m_faults.refused.contains(instance);
}

void standin_store::wakeWatches()
{
    for (auto at = m_watches.begin(); at != m_watches.end();) {
        at = !isShut(at->instance) && answerWatch(*at, false) ? m_watches.erase(at) : std::next(at);
    }
}

void standin_store::cutWatches()
{
    for (pending_watch &waiting : std::exchange(m_watches, {})) {
        waiting.respond(failureAnswer(store_failure::reset));
    }
}

standin_answer standin_store::write(const standin_request &request)
{
    const std::string rest = request.path.starts_with(objectsPath) ? request.path.substr(objectsPath.size()) : std::string();
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const Json::Value body = parse(request.body);
    if (!body.isObject() || kind.empty()) {
        return {400, "{}"};
    }
    const Json::Value &meta = body["meta"];
    const std::string name = slash == std::string::npos ? meta["name"].asString() : rest.substr(slash + 1);
    const std::uint64_t expected = meta["revision"].isUInt64() ? meta["revision"].asUInt64() : 0;
    const write_result result =
        request.method == "POST" ? m_objects.create(kind, name, body["spec"]) : m_objects.replace(kind, name, body["spec"], expected);
    if (result == write_result::absent) {
        return {404, "{}"};
    }
    const std::optional<standin_object> present = m_objects.find(kind, name);
    wakeWatches();
    return {result == write_result::conflict ? 409U : 200U, toText(toJson(0, kind, name, present->revision, present->spec))};
}

standin_answer standin_store::order(const standin_request &request)
{
    const Json::Value body = parse(request.body);
    const auto holder = request.headers.find("Duty-Holder");
    const auto fence = request.headers.find("Fencing-Token");
    if (!body.isObject() || holder == request.headers.end() || fence == request.headers.end()) {
        return {400, "{}"};
    }
    const standin_order order{body["service"].asString(), body["id"].asString(), holder->second, toNumber(fence->second)};
    std::uint64_t &highest = m_fences[order.group];
    if (order.fence < highest) {
        return {409, "{}"};
    }
    highest = order.fence;
    return {m_handlers.onOrder(order) ? 200U : 409U, "{}"};
}

} // namespace mustardrouter
