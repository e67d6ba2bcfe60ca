#include "mustardrouter/Edge/object_watch.h"

#include "mustardrouter/Edge/boot_time.h"
#include "mustardrouter/Edge/content_difference.h"
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
/// Larger differences are not kept for followers.
constexpr std::size_t maxDifferenceBytes = 16U << 10U;

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
    m_paused = false;
    resume();
}

void object_watch::pause()
{
    if (m_stopped || m_paused) {
        return;
    }
    m_paused = true;
    m_client->close();
    m_timer.cancel();
    m_requestOutstanding = false;
    m_retryScheduled = false;
    m_unanswered = true;
}

void object_watch::proceed()
{
    if (m_stopped || !m_paused) {
        return;
    }
    m_paused = false;
    m_isBehind = m_isBehind || m_options.fewLargeObjects;
    resume();
}

void object_watch::setAnswerInterval(std::optional<duration> interval)
{
    const bool shorter = interval && (!m_answerInterval || *interval < *m_answerInterval);
    m_answerInterval = interval;
    if (shorter && m_listComplete && m_requestOutstanding && !m_paused && !m_stopped) {
        watch();
    }
}

bool object_watch::adopt(told_changes told)
{
    if (m_stopped || !m_listComplete || told.to.era != m_position.era) {
        return false;
    }
    const time_point completeBefore = m_completeSince;
    if (told.to > m_position) {
        if (!continuesAt(m_position, told.whole, told.from, told.to)) {
            return false;
        }
        const bool changed = told.whole || !told.changed.empty() || !told.removed.empty();
        const std::size_t changedCount = told.changed.size() + told.removed.size();
        const time_point changedSince = std::max(completeBefore, told.changedSince.value_or(completeBefore));
        if (told.whole) {
            m_objects = std::move(told.changed);
            restartLog(m_log, told.to);
        } else {
            for (const std::string &name : told.removed) {
                m_objects.erase(name);
            }
            for (auto &[name, object] : told.changed) {
                m_objects[name] = std::move(object);
            }
        }
        const time_point answeredAt = std::max(completeBefore, told.answeredAt.value_or(completeBefore));
        if (changed && !told.whole) {
            appendToLog(m_log, {m_position, told.to, changedSince, answeredAt, std::move(told.removed), std::move(told.differences)});
        }
        extendLog(m_log, told.to);
        m_position = told.to;
        m_completeSince = std::max(m_completeSince, told.completeSince);
        m_answeredAt = std::max(m_answeredAt, m_completeSince);
        if (changed) {
            tellTransfer(
                {.told = true, .complete = true, .bytes = told.bytes, .changes = changedCount, .ageBefore = bootTime() - completeBefore});
            m_changeAnsweredAt = answeredAt;
            m_handlers.onChange(m_objects, changedSince);
        }
        return true;
    }
    m_completeSince = std::max(m_completeSince, told.completeSince);
    m_answeredAt = std::max(m_answeredAt, m_completeSince);
    return true;
}

bool object_watch::isComplete() const
{
    return m_listComplete;
}

bool object_watch::isReachable() const
{
    return m_reachable;
}

store_position object_watch::position() const
{
    return m_position;
}

time_point object_watch::completeSince() const
{
    return m_completeSince;
}

time_point object_watch::changeAnsweredAt() const
{
    return m_changeAnsweredAt;
}

const object_watch::objects &object_watch::current() const
{
    return m_objects;
}

const change_log &object_watch::log() const
{
    return m_log;
}

std::uint64_t object_watch::unreadable() const
{
    return m_unreadable;
}

std::uint64_t object_watch::requests() const
{
    return m_requests;
}

void object_watch::list(const std::string &afterName)
{
    if (m_stopped || m_paused) {
        return;
    }
    if (afterName.empty()) {
        m_incompleteList.clear();
        m_listSentAt = bootTime();
    }
    m_requestOutstanding = true;
    m_requests += 1;
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
    const transfer answer{.list = true,
                          .complete = page.has_value(),
                          .bytes = response.receivedBytes,
                          .changes = page ? page->objects.size() : 0,
                          .took = bootTime() - m_listSentAt,
                          .ageBefore = bootTime() - m_completeSince};
    if (!page) {
        if (done || response.status == 0) {
            tellTransfer(answer);
        }
        scheduleRetry();
        return;
    }
    m_unreadable += page->unreadable;
    recordAnswer();
    if (afterName.empty()) {
        m_listChangedSince = m_completeSince;
        m_listPosition = page->position;
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
    tellTransfer(answer);
    takeList();
    if (const time_point lostAt = std::exchange(m_historyLostAt, time_point{}); lostAt != time_point{}) {
        m_handlers.onListedAgain(bootTime() - lostAt);
    }
    m_handlers.onChange(m_objects, m_listChangedSince);
    tellState();
    watchAfterDelay(m_options.batchDelay);
}

void object_watch::addDifference(change_batch &batch, const platform::stored_object &before, const platform::stored_object &after) const
{
    const bool changed = before.position != after.position && !before.name.empty();
    if (!m_options.fewLargeObjects || !m_answerInterval || !changed) {
        return;
    }
    std::string text = platform::encodeContent(differenceOf(before.content, after.content));
    if (text.size() <= maxDifferenceBytes) {
        batch.differences[after.name] = {before.position, after.position, std::move(text)};
    }
}

void object_watch::takeList()
{
    objects listed = std::exchange(m_incompleteList, {});
    m_isBehind = false;
    m_completeSince = std::max(m_completeSince, m_listSentAt);
    const bool continues = m_listComplete && m_position.era == m_listPosition.era;
    if (continues && m_listPosition < m_position) {
        // Another instance has told later changes while the list was under way.
        return;
    }
    if (continues) {
        change_batch batch{m_position, m_listPosition, m_listChangedSince, m_answeredAt, {}};
        for (const auto &[name, object] : m_objects) {
            const auto after = listed.find(name);
            if (after == listed.end()) {
                batch.removed.insert(name);
            } else {
                addDifference(batch, object, after->second);
            }
        }
        appendToLog(m_log, std::move(batch));
    } else {
        restartLog(m_log, m_listPosition);
    }
    m_listComplete = true;
    m_objects = std::move(listed);
    m_position = m_listPosition;
    m_changeAnsweredAt = m_answeredAt;
}

void object_watch::watch()
{
    if (m_stopped || m_paused) {
        return;
    }
    const time_point now = bootTime();
    watch_timing timing = m_unanswered ? probeTiming() : m_options.timing;
    if (m_answerInterval && !m_unanswered) {
        const duration margin = timing.timeout - timing.held;
        timing.held = std::clamp(m_completeSince + *m_answerInterval - now, probeTiming().held, *m_answerInterval);
        timing.timeout = timing.held + margin;
    }
    m_sentAt = now;
    m_sentHeld = std::chrono::duration_cast<std::chrono::milliseconds>(timing.held);
    m_requestOutstanding = true;
    m_requests += 1;
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
        m_unanswered = true;
        m_isBehind = true;
        list({});
        return;
    }
    std::optional<platform::object_changes> changes =
        outcome == platform::request_outcome::done ? platform::decodeChanges(response.body, *era) : std::nullopt;
    const transfer answer{.complete = changes.has_value(),
                          .bytes = response.receivedBytes,
                          .changes = changes ? changes->changes.size() : 0,
                          .took = bootTime() - m_sentAt,
                          .ageBefore = bootTime() - m_completeSince};
    if (!changes) {
        if (outcome == platform::request_outcome::done || response.status == 0) {
            tellTransfer(answer);
        }
        scheduleRetry();
        return;
    }
    m_unreadable += changes->unreadable;
    recordAnswer();
    const time_point changedSince = m_completeSince;
    // What was acknowledged before the request was sent is part of the answer; if the store held it to the end, what came until then.
    const bool heldToEnd = changes->changes.empty() && m_answeredAt - m_sentAt >= m_sentHeld;
    m_completeSince = std::max(m_completeSince, m_sentAt + (heldToEnd ? m_sentHeld : duration{}));
    // Another instance may have told later changes while the answer was under way.
    const bool isOlder = changes->position < m_position;
    if (changes->changes.empty() || isOlder) {
        m_position = std::max(m_position, changes->position);
        extendLog(m_log, m_position);
        watch();
        return;
    }
    tellTransfer(answer);
    change_batch batch{m_position, changes->position, changedSince, m_answeredAt, {}};
    takeChanges(*changes, batch);
    m_position = changes->position;
    m_changeAnsweredAt = m_answeredAt;
    appendToLog(m_log, std::move(batch));
    m_handlers.onChange(m_objects, changedSince);
    tellState();
    duration delay = m_options.batchDelay;
    if (m_answerInterval) {
        delay = std::clamp(m_completeSince + *m_answerInterval - bootTime(), duration{}, delay);
    }
    watchAfterDelay(delay);
}

void object_watch::takeChanges(platform::object_changes &changes, change_batch &batch)
{
    objects before;
    for (platform::object_change &change : changes.changes) {
        const std::string name = change.object.name;
        const bool again = before.contains(name);
        m_isBehind = m_isBehind || (again && m_options.fewLargeObjects);
        if (!again) {
            before[name] = std::exchange(m_objects[name], {});
        }
        if (change.removed) {
            m_objects.erase(name);
            batch.removed.insert(name);
        } else {
            m_objects[name] = std::move(change.object);
        }
    }
    for (const auto &[name, object] : before) {
        if (const auto after = m_objects.find(name); after != m_objects.end()) {
            addDifference(batch, object, after->second);
        }
    }
}

void object_watch::watchAfterDelay(duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](const asio::error_code &problem) {
        if (!problem && !self->m_stopped && !self->m_paused) {
            self->resume();
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
    if (m_stopped || m_paused || m_listDelayed || (!m_retryScheduled && !m_requestOutstanding)) {
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
    m_paused = false;
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
    if (isToList()) {
        list({});
    } else {
        watch();
    }
}

bool object_watch::isToList() const
{
    return !m_listComplete || m_isBehind || (m_options.fewLargeObjects && m_consecutiveFailures > 0);
}

void object_watch::recordAnswer()
{
    m_answeredAt = bootTime();
    m_consecutiveFailures = 0;
    m_unanswered = false;
    if (!m_reachable) {
        m_reachable = true;
        m_handlers.onReachable(true);
        tellState();
    }
}

void object_watch::tellState()
{
    if (m_handlers.onState) {
        m_handlers.onState();
    }
}

void object_watch::tellTransfer(transfer what) const
{
    if (m_handlers.onTransfer && (what.complete || what.bytes > 0)) {
        m_handlers.onTransfer(what);
    }
}

void object_watch::recordFailure()
{
    m_unanswered = true;
    if (m_reachable) {
        m_reachable = false;
        m_handlers.onReachable(false);
        tellState();
    }
}

} // namespace mustardrouter
