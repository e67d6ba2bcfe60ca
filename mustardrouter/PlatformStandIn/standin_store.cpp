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

/// Time of the store's answers without faults.
constexpr std::chrono::milliseconds responseDelay{4};
/// Oldest copy from which the store may return.
constexpr duration oldestCopy = std::chrono::seconds(11);
/// Delay of writes and orders that are executed late: the minimum, and the spread added at random.
constexpr std::uint64_t minLateMillis = 1000;
constexpr std::uint64_t lateSpreadMillis = 4000;
/// Few objects per page, so that lists have several pages.
constexpr std::size_t objectsPerPage = 5;
/// Longest time that a watch is kept waiting.
constexpr std::uint64_t maxWatchWaitMillis = 30'000;

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

standin_answer failureAnswer(store_failure failure)
{
    standin_answer answer;
    answer.silent = failure == store_failure::silent;
    answer.closes = failure == store_failure::reset;
    answer.status = failure == store_failure::tooMany ? 429 : 503;
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

std::uint64_t standin_store::requestCount() const
{
    return m_requestCount;
}

bool standin_store::respondWithFault(std::size_t instance, const standin_http::responder &respond) const
{
    const store_failure failure = m_faults.refusedInstances.contains(instance) ? m_faults.refusal : m_faults.down;
    if (failure == store_failure::none) {
        return false;
    }
    respond(failureAnswer(failure));
    return true;
}

void standin_store::setChecksFences(bool checksFences)
{
    m_checksFences = checksFences;
}

void standin_store::keepCopy(time_point now)
{
    m_copyCheckedAt = now;
    if (m_copies.empty() || m_copies.back().second.revision() != m_objects.revision()) {
        m_copies.emplace_back(now, m_objects);
    }
    // The newest copy that is older than all that may be asked for has to stay.
    while (m_copies.size() > 1 && now - m_copies[1].first > oldestCopy) {
        m_copies.pop_front();
    }
    if (m_faults.staleness > duration{}) {
        notifyWatches();
    }
}

void standin_store::returnFromCopy(duration age, time_point now)
{
    while (m_copies.size() > 1 && now - m_copies.back().first < age) {
        m_copies.pop_back();
    }
    if (!m_copies.empty()) {
        m_objects = m_copies.back().second;
    }
    m_era += 1;
    disconnectWatches();
}

void standin_store::handle(std::size_t instance, const standin_request &request, const standin_http::responder &respondTo)
{
    m_requestCount += 1;
    const bool isOrder = request.method == "POST" && request.path == "/failover";
    const standin_http::responder respond = [this, isOrder, respondTo](standin_answer answer) {
        answer.bytesPerSecond = m_faults.bytesPerSecond;
        if (!isOrder) {
            answer.headers = "Store-Era: " + std::to_string(m_era) + "\r\n";
        }
        respondTo(std::move(answer));
    };
    if (respondWithFault(instance, respond)) {
        return;
    }
    callLater(m_context, responseDelay + m_faults.extraDelay, [this, instance, request, respond, isOrder] {
        if (request.method == "GET") {
            read(instance, request, respond);
            return;
        }
        const unsigned percent = isOrder ? m_faults.percentOrdersDelayed : m_faults.percentAnswersLost;
        const bool lost = m_random() % 100 < percent;
        const bool delayed = lost && (isOrder || m_faults.writesLate);
        if (delayed) {
            respond(failureAnswer(store_failure::silent));
            callLater(m_context, std::chrono::milliseconds(minLateMillis + m_random() % lateSpreadMillis), [this, request, isOrder] {
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
    const standin_objects::objects_by_name &all = m_objects.ofKind(kind);
    for (auto at = all.upper_bound(parameterOf(request, "after")); at != all.end(); ++at) {
        if (page["items"].size() == objectsPerPage) {
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
    const bool allowsStale = parameterOf(request, "allow_stale") == "1";
    pending_watch pending{instance, kind, toNumber(parameterOf(request, "watch")), allowsStale, respond, nullptr};
    if (answerWatch(pending, false)) {
        return;
    }
    const std::uint64_t wait = std::min(maxWatchWaitMillis, toNumber(parameterOf(request, "wait_ms")));
    pending.timer = std::make_unique<asio::steady_timer>(m_context, std::chrono::milliseconds(wait));
    const std::uint64_t number = m_nextWatch++;
    const auto inserted = m_watches.emplace(number, std::move(pending)).first;
    inserted->second.timer->async_wait([this, number](const asio::error_code &) {
        // A timer that has expired completes without an error even if it is destroyed before its handler runs.
        const auto found = m_watches.find(number);
        if (found == m_watches.end()) {
            return;
        }
        if (isUnavailable(found->second.instance)) {
            found->second.respond(failureAnswer(store_failure::silent));
        } else {
            answerWatch(found->second, true);
        }
        m_watches.erase(found);
    });
}

const standin_objects &standin_store::seenBy(const pending_watch &pending) const
{
    if (!pending.allowsStale || m_faults.staleness == duration{} || m_copies.empty()) {
        return m_objects;
    }
    const time_point seen = m_copyCheckedAt - m_faults.staleness;
    const auto later = std::ranges::find_if(m_copies, [&](const auto &copy) {
        return copy.first > seen;
    });
    return later == m_copies.begin() ? m_copies.front().second : std::prev(later)->second;
}

bool standin_store::answerWatch(pending_watch &pending, bool timedOut)
{
    const standin_objects &objects = seenBy(pending);
    // What the instance knows already may be newer than what it is shown.
    const bool isBehind = &objects != &m_objects && objects.revision() < pending.since;
    const std::optional<std::vector<standin_change>> changes =
        isBehind ? std::vector<standin_change>() : objects.changesSince(pending.kind, pending.since);
    if (!changes) {
        pending.respond({410, "{}"});
        return true;
    }
    if (changes->empty() && !timedOut) {
        return false;
    }
    Json::Value body;
    body["events"] = Json::arrayValue;
    for (const standin_change &change : *changes) {
        Json::Value event;
        event["object"] = toJson(pending.instance, change.kind, change.name, change.revision, change.spec);
        event["deleted"] = change.removed;
        body["events"].append(event);
    }
    body["as_of"] = Json::UInt64(std::max(objects.revision(), isBehind ? pending.since : 0));
    pending.respond({200, toText(body)});
    return true;
}

bool standin_store::isUnavailable(std::size_t instance) const
{
    return m_faults.down != store_failure::none || m_faults.refusedInstances.contains(instance);
}

void standin_store::notifyWatches()
{
    for (auto at = m_watches.begin(); at != m_watches.end();) {
        at = !isUnavailable(at->second.instance) && answerWatch(at->second, false) ? m_watches.erase(at) : std::next(at);
    }
}

void standin_store::disconnectWatches()
{
    for (auto &[number, pending] : std::exchange(m_watches, {})) {
        pending.respond(failureAnswer(store_failure::reset));
    }
}

standin_answer standin_store::write(const standin_request &request)
{
    const std::string rest = request.path.starts_with(objectsPath) ? request.path.substr(objectsPath.size()) : std::string();
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    if (request.method == "DELETE" && slash != std::string::npos) {
        return remove(kind, rest.substr(slash + 1), toNumber(parameterOf(request, "revision")));
    }
    const Json::Value body = parse(request.body);
    if (!body.isObject() || kind.empty()) {
        return {400, "{}"};
    }
    const Json::Value &meta = body["meta"];
    const std::string name = slash == std::string::npos ? meta["name"].asString() : rest.substr(slash + 1);
    const std::uint64_t expected = meta["revision"].isUInt64() ? meta["revision"].asUInt64() : 0;
    const write_result result =
        request.method == "POST" ? m_objects.create(kind, name, body["spec"]) : m_objects.replace(kind, name, body["spec"], expected);
    if (result == write_result::notFound) {
        return {404, "{}"};
    }
    const std::optional<standin_object> present = m_objects.find(kind, name);
    notifyWatches();
    return {result == write_result::conflict ? 409U : 200U, toText(toJson(0, kind, name, present->revision, present->spec))};
}

standin_answer standin_store::remove(const std::string &kind, const std::string &name, std::uint64_t expected)
{
    const std::optional<standin_object> present = m_objects.find(kind, name);
    if (!present) {
        return {404, "{}"};
    }
    const bool conflicts = expected != 0 && expected != present->revision;
    if (!conflicts) {
        m_objects.remove(kind, name);
        notifyWatches();
    }
    return {conflicts ? 409U : 200U, toText(toJson(0, kind, name, present->revision, present->spec))};
}

standin_answer standin_store::order(const standin_request &request)
{
    if (m_faults.refusesOrders) {
        return {503, "{}"};
    }
    const Json::Value body = parse(request.body);
    const auto holder = request.headers.find("Duty-Holder");
    const auto fence = request.headers.find("Fencing-Token");
    if (!body.isObject() || holder == request.headers.end() || fence == request.headers.end()) {
        return {400, "{}"};
    }
    const standin_order order{body["service"].asString(), body["id"].asString(), holder->second, toNumber(fence->second)};
    std::uint64_t &highest = m_fences[order.group];
    if (m_checksFences && order.fence < highest) {
        return {409, "{}"};
    }
    highest = order.fence;
    return {m_handlers.onOrder(order) ? 200U : 409U, "{}"};
}

} // namespace mustardrouter
