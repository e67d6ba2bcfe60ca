#include "mustardrouter/Edge/object_watch.h"

#include "mustardrouter/Edge/boot_time.h"
#include "platform/store_client.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

/// Backoff after the first failure; doubled with each further failure, up to the watch's maximum.
constexpr std::uint64_t minBackoffMs = 100;
constexpr std::uint32_t maxBackoffDoublings = 3;
/// After a loss of the store's history hundreds of instances list all kinds again; they spread over this time.
constexpr std::uint64_t listSpreadMs = 600;

} // namespace

object_watch::object_watch(
    asio::io_context &context, std::string address, store_history &history, options what, std::uint64_t seed, handlers callbacks)
    : m_context(context)
    , m_history(history)
    , m_client(std::make_shared<platform::http_client>(context, std::move(address)))
    , m_timer(context)
    , m_options(std::move(what))
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
    m_client->close();
}

void object_watch::setStoreAddress(const std::string &address)
{
    m_client->close();
    m_client = std::make_shared<platform::http_client>(m_context, address);
    m_listComplete = false;
    m_unanswered = true;
    resume();
}

void object_watch::list(const std::string &afterName)
{
    if (afterName.empty()) {
        m_incompleteList.clear();
    }
    m_requestOutstanding = true;
    m_client->call(
        platform::listRequest(m_options.kind, afterName), [self = shared_from_this(), afterName](const platform::http_response &response) {
            self->m_requestOutstanding = false;
            self->handlePage(afterName, response);
        });
}

void object_watch::handlePage(const std::string &afterName, const platform::http_response &response)
{
    if (m_stopped) {
        return;
    }
    const std::optional<store_era> era = m_history.accept(response);
    if (m_listDelayed) {
        return;
    }
    const bool done = era && platform::outcomeOfStatus(response.status) == platform::request_outcome::done;
    std::optional<platform::object_page> page = done ? platform::decodePage(response.body, *era) : std::nullopt;
    if (!page) {
        m_listComplete = false;
        scheduleRetry();
        return;
    }
    const time_point changedSince = recordAnswer();
    if (afterName.empty()) {
        m_listChangedSince = changedSince;
        // The watch starts at the revision of the first page and so reports changes made while later pages are read.
        m_position = page->position;
    }
    std::string lastName;
    for (platform::stored_object &object : page->objects) {
        lastName = std::max(lastName, object.name);
        m_incompleteList[object.name] = std::move(object);
    }
    if (page->more && lastName > afterName) {
        list(lastName);
        return;
    }
    m_listComplete = true;
    m_objects = std::exchange(m_incompleteList, {});
    if (const time_point lostAt = std::exchange(m_historyLostAt, time_point{}); lostAt != time_point{}) {
        m_handlers.onListedAgain(bootTime() - lostAt);
    }
    m_handlers.onChange(m_objects, m_listChangedSince);
    watchAfterDelay(m_options.batchDelay);
}

void object_watch::watch()
{
    if (m_stopped) {
        return;
    }
    const watch_timing timing = m_unanswered ? probeTiming() : m_options.timing;
    m_requestOutstanding = true;
    m_client->call(platform::watchRequest(m_options.kind, m_position.revision, timing.held, timing.timeout, m_options.allowStale),
                   [self = shared_from_this()](const platform::http_response &response) {
                       self->m_requestOutstanding = false;
                       self->handleChanges(response);
                   });
}

void object_watch::handleChanges(const platform::http_response &response)
{
    if (m_stopped) {
        return;
    }
    const std::optional<store_era> era = m_history.accept(response);
    if (m_listDelayed) {
        return;
    }
    const platform::request_outcome outcome = era ? platform::outcomeOfStatus(response.status) : platform::request_outcome::noResponse;
    if (outcome == platform::request_outcome::historyExpired) {
        list({});
        return;
    }
    std::optional<platform::object_changes> changes =
        outcome == platform::request_outcome::done ? platform::decodeChanges(response.body, *era) : std::nullopt;
    if (!changes) {
        scheduleRetry();
        return;
    }
    const time_point changedSince = recordAnswer();
    for (platform::object_change &change : changes->changes) {
        if (change.removed) {
            m_objects.erase(change.object.name);
        } else {
            m_objects[change.object.name] = std::move(change.object);
        }
    }
    m_position = std::max(m_position, changes->position);
    if (changes->changes.empty()) {
        watch();
        return;
    }
    m_handlers.onChange(m_objects, changedSince);
    watchAfterDelay(m_options.batchDelay);
}

void object_watch::watchAfterDelay(duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (!problem) {
            self->watch();
        }
    });
}

void object_watch::scheduleRetry()
{
    recordFailure();
    m_consecutiveFailures += 1;
    const auto maxBackoffMs =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_options.maxBackoff).count());
    const std::uint64_t backoffMs = std::min(maxBackoffMs, minBackoffMs << std::min(m_consecutiveFailures - 1, maxBackoffDoublings));
    const std::uint64_t backoffWithJitterMs = backoffMs + m_random() % (backoffMs / 2 + 1);
    m_retryScheduled = true;
    m_timer.expires_after(std::chrono::milliseconds(backoffWithJitterMs));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (!problem && !self->m_stopped && self->m_retryScheduled) {
            self->resume();
        }
    });
}

void object_watch::onStoreReached()
{
    if (m_stopped || m_listDelayed || (!m_retryScheduled && !m_requestOutstanding)) {
        return;
    }
    m_unanswered = true;
    resume();
}

void object_watch::onHistoryLost()
{
    if (m_stopped) {
        return;
    }
    m_client->close();
    m_requestOutstanding = false;
    m_retryScheduled = false;
    m_listComplete = false;
    m_unanswered = true;
    m_listDelayed = true;
    m_historyLostAt = bootTime();
    m_timer.expires_after(std::chrono::milliseconds(m_random() % listSpreadMs));
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (!problem && !self->m_stopped) {
            self->resume();
        }
    });
}

void object_watch::resume()
{
    m_listDelayed = false;
    m_retryScheduled = false;
    m_timer.cancel();
    if (m_listComplete) {
        watch();
    } else {
        list({});
    }
}

time_point object_watch::recordAnswer()
{
    const time_point now = bootTime();
    const time_point lastAnswerAt = std::exchange(m_answeredAt, now);
    const time_point changedSince = m_unanswered ? lastAnswerAt : now;
    m_consecutiveFailures = 0;
    m_unanswered = false;
    if (!m_reachable) {
        m_reachable = true;
        m_handlers.onReachable(true);
    }
    return changedSince;
}

void object_watch::recordFailure()
{
    m_unanswered = true;
    if (m_reachable) {
        m_reachable = false;
        m_handlers.onReachable(false);
    }
}

} // namespace mustardrouter
