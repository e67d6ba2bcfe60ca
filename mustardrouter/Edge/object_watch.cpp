#include "mustardrouter/Edge/object_watch.h"

#include "platform/store_client.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

/// For the way and a slow store, beyond the time that it was asked to wait.
constexpr duration answerTime = std::chrono::milliseconds(1000);
/// Pause after a failure, doubled with each further one, up to the watch's longest.
constexpr std::uint64_t shortestPauseMillis = 100;
constexpr std::uint32_t mostDoublings = 3;

} // namespace

object_watch::object_watch(asio::io_context &context, std::string address, subject what, std::uint64_t seed, handlers callbacks)
    : m_context(context)
    , m_channel(std::make_shared<platform::http_client>(context, std::move(address)))
    , m_timer(context)
    , m_subject(std::move(what))
    , m_random(seed)
    , m_handlers(std::move(callbacks))
{
}

void object_watch::start()
{
    list({});
}

void object_watch::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_channel->close();
}

void object_watch::moveTo(const std::string &address)
{
    m_channel->close();
    m_channel = std::make_shared<platform::http_client>(m_context, address);
    m_timer.cancel();
    m_pausing = false;
    list({});
}

void object_watch::list(const std::string &after)
{
    if (after.empty()) {
        m_arriving.clear();
    }
    m_channel->call(platform::listCall(m_subject.kind, after), [self = shared_from_this(), after](const platform::http_response &answer) {
        self->takePage(after, answer);
    });
}

void object_watch::takePage(const std::string &after, const platform::http_response &answer)
{
    if (m_stopped) {
        return;
    }
    const bool done = platform::outcomeOf(answer.status) == platform::call_outcome::done;
    std::optional<platform::object_page> page = done ? platform::decodePage(answer.body) : std::nullopt;
    if (!page) {
        m_listed = false;
        pause();
        return;
    }
    noteReachable(true);
    if (after.empty()) {
        // What changes while later pages are read is told by a watch from the first page on.
        m_revision = page->revision;
    }
    std::string last;
    for (platform::stored_object &object : page->objects) {
        last = std::max(last, object.name);
        m_arriving[object.name] = std::move(object);
    }
    if (page->more && last > after) {
        list(last);
        return;
    }
    m_listed = true;
    m_objects = std::exchange(m_arriving, {});
    m_handlers.onChange(m_objects);
    watchAfter(m_subject.gather);
}

void object_watch::watch()
{
    if (m_stopped) {
        return;
    }
    m_channel->call(platform::watchCall(m_subject.kind, m_revision, m_subject.wait, m_subject.wait + answerTime, m_subject.mayBeLate),
                    [self = shared_from_this()](const platform::http_response &answer) {
                        self->takeChanges(answer);
                    });
}

void object_watch::takeChanges(const platform::http_response &answer)
{
    if (m_stopped) {
        return;
    }
    const platform::call_outcome outcome = platform::outcomeOf(answer.status);
    if (outcome == platform::call_outcome::historyGone) {
        list({});
        return;
    }
    std::optional<platform::object_changes> changes =
        outcome == platform::call_outcome::done ? platform::decodeChanges(answer.body) : std::nullopt;
    if (!changes) {
        pause();
        return;
    }
    noteReachable(true);
    for (platform::object_change &change : changes->changes) {
        if (change.removed) {
            m_objects.erase(change.object.name);
        } else {
            m_objects[change.object.name] = std::move(change.object);
        }
    }
    m_revision = std::max(m_revision, changes->revision);
    if (changes->changes.empty()) {
        watch();
        return;
    }
    m_handlers.onChange(m_objects);
    watchAfter(m_subject.gather);
}

void object_watch::watchAfter(duration rest)
{
    m_timer.expires_after(rest);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (!problem) {
            self->watch();
        }
    });
}

void object_watch::pause()
{
    noteReachable(false);
    m_failures += 1;
    const auto longest = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_subject.longestPause).count());
    const std::uint64_t base = std::min(longest, shortestPauseMillis << std::min(m_failures - 1, mostDoublings));
    const std::uint64_t millis = base + m_random() % (base / 2 + 1);
    m_pausing = true;
    m_timer.expires_after(std::chrono::milliseconds(millis));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (!problem) {
            self->askNow();
        }
    });
}

void object_watch::askNow()
{
    if (m_stopped || !m_pausing) {
        return;
    }
    m_pausing = false;
    m_timer.cancel();
    if (m_listed) {
        watch();
    } else {
        list({});
    }
}

void object_watch::noteReachable(bool reachable)
{
    if (reachable) {
        m_failures = 0;
    }
    if (m_reachable != reachable) {
        m_reachable = reachable;
        m_handlers.onReachable(reachable);
    }
}

} // namespace mustardrouter
