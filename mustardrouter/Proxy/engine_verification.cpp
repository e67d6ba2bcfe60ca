#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

/// Holds replies until their database is known to have been the only primary; see primary_verification.h.
namespace mustardrouter::proxying
{

namespace
{

/// Evidence that is still missing is asked for again at this interval.
constexpr duration evidenceRetryInterval = std::chrono::milliseconds(100);
/// A database that has not replied to a role check for this long is suspected; the store's claim then takes its place.
constexpr duration roleReplyTimeout = std::chrono::milliseconds(300);
/// Statements that need evidence are not sent while some has been missing for this long.
constexpr duration evidenceStallTimeout = std::chrono::milliseconds(600);
/// Lower bound between two reads of the claim as evidence: each is a call to the platform.
constexpr duration claimReadSpacing = std::chrono::milliseconds(40);
/// A read of the claim without a response is repeated after this time.
constexpr duration claimReadTimeout = std::chrono::milliseconds(700);
/// More positions than this never wait: a newer one replaces the oldest.
constexpr std::size_t maxUnverifiedPositions = 8;

verification_view viewOf(const group_state &group)
{
    return {&group.databases, &group.verification};
}

/// Whether nothing stands against the delivery of the reply any more.
bool isVerified(const proxy_engine &engine, const group_state &group, const held_reply &held)
{
    const bool isFromPrimary = engine.settings.replacedPrimariesStepDown || onlyPrimaryUntil(viewOf(group), held.database) >= held.since;
    return isFromPrimary && (!needsConfirmation(engine, group, held) || isConfirmed(engine, group, held));
}

void askForStatus(proxy_engine &engine, group_state &group, database_state &database, time_point now)
{
    if (database_connection *connection = findForRoleCheck(engine, group, database, now)) {
        sendProbe(engine, *connection, probe_request{.status = true}, now);
    }
}

client_session *sessionOf(proxy_engine &engine, const held_reply &held)
{
    const auto found = engine.sessions.find(held.session);
    const bool waits = found != engine.sessions.end() && found->second.current && found->second.current->replyHeld
                       && found->second.current->statement.id == held.statementId;
    return waits ? &found->second : nullptr;
}

void recordFirstWrite(proxy_engine &engine, group_state &group, const database_name &by, time_point now)
{
    if (!group.outage || group.outage->primary == by) {
        return;
    }
    const primary_outage outage = *std::exchange(group.outage, std::nullopt);
    reportEvent(engine,
                "first_write",
                {{"group", group.name.value()},
                 {"cause", toString(outage.cause)},
                 {"after_ms", toMillisText(now - outage.since)},
                 {"by", by.value()}});
    engine.actions.emplace_back(record_first_write{outage.cause, now - outage.since});
}

void deliver(proxy_engine &engine, group_state &group, client_session &session, held_reply &held, time_point now)
{
    if (held.writes) {
        recordOwnCommit(engine, session, group.name, held.database, held.reply.position);
        recordFirstWrite(engine, group, held.database, now);
    } else if (!session.transaction) {
        recordOwnRead(engine, session, group.name, held.database, held.reply.position);
    }
    if (session.transaction) {
        session.transaction->primaryVerified = true;
    }
    const duration waited = now - held.heldAt;
    engine.counters.repliesHeldMicros += static_cast<std::uint64_t>(waited.count());
    if (waited > evidenceRetryInterval) {
        reportEvent(engine,
                    "reply_verified",
                    {{"request", held.statementId},
                     {"group", group.name.value()},
                     {"from", held.database.value()},
                     {"held_ms", toMillisText(waited)}});
    }
    session.current->replyHeld = false;
    replyToStatement(engine, session, std::move(held.reply), now);
}

/// Ends a statement whose database is no longer primary and can't be verified to have been the only one.
void abandon(proxy_engine &engine, client_session &session, const held_reply &held, time_point now)
{
    engine.counters.repliesNotVerified += 1;
    running_statement &running = *session.current;
    running.replyHeld = false;
    if (held.writes) {
        engine.counters.inDoubt += 1;
        reportInDoubt(engine, session, held.database, "another database became primary");
        client_reply reply;
        reply.code = reply_code::inDoubt;
        reply.detail = "another database became primary";
        replyToStatement(engine, session, std::move(reply), now);
    } else if (session.transaction) {
        refuseStatement(engine, session, reply_code::aborted, "another database became primary", now);
    } else {
        reportEvent(engine,
                    "statement_retried",
                    {{"request", held.statementId},
                     {"from", held.database.value()},
                     {"why", "another database became primary"},
                     {"attempts", std::to_string(running.attempts)},
                     {"after_ms", toMillisText(now - running.arrivedAt)}});
        engine.counters.retries += 1;
        queueForConnection(engine, session, now);
    }
}

/// Abandons all held replies because a newer term was seen. This includes those of the new primary: it may have been replaced and
/// promoted again since it ran their statements.
void abandonHeld(proxy_engine &engine, group_state &group, time_point now)
{
    const std::deque<held_reply> abandoned = std::exchange(group.verification.held, {});
    group.verification.positions.clear();
    for (const held_reply &entry : abandoned) {
        if (client_session *session = sessionOf(engine, entry)) {
            abandon(engine, *session, entry, now);
        }
    }
}

void adoptPrimary(proxy_engine &engine, group_state &group, database_state &database, time_point now)
{
    const database_name name = database.listed.name;
    const term_number before = std::exchange(group.reportedTerm, database.status->term);
    const bool newTerm = before != term_number{} && before < group.reportedTerm;
    if (group.primary == name) {
        if (newTerm) {
            abandonHeld(engine, group, now);
        }
        return;
    }
    reportPrimaryChange(engine, group, name, std::to_string(group.reportedTerm.value()), now);
    group.primary = name;
    group.primaryConfirmedAt = now;
    cancelFailover(engine, group, "another database leads", now);
    abandonHeld(engine, group, now);
    // It may be leaving itself.
    scheduleGroupCheck(engine, group, now);
    // Whoever still believes to be primary is told to step down as soon as its status shows that.
    for (auto &[otherName, other] : group.databases) {
        if (otherName != name) {
            askForStatus(engine, group, other, now);
        }
    }
    engine.groupsToDispatch.insert(group.name);
}

} // namespace

/// Requests the claim when evidence from `since` on is to come from the store and is not under way.
void readClaimForEvidence(proxy_engine &engine, group_state &group, time_point since, time_point now)
{
    primary_verification &verification = group.verification;
    const bool covered = verification.claimRequestedAt >= since || (verification.claimOutstanding && verification.claimAskedAt >= since);
    const bool pending = verification.claimOutstanding && now - verification.claimAskedAt < claimReadTimeout;
    if (covered || pending || now - verification.claimAskedAt < claimReadSpacing) {
        return;
    }
    verification.claimOutstanding = true;
    verification.claimAskedAt = now;
    engine.actions.emplace_back(verify_claim{group.name});
}

void askForRole(proxy_engine &engine, group_state &group, database_state &database, time_point now)
{
    database_connection *connection = findForRoleCheck(engine, group, database, now);
    if (connection == nullptr) {
        return;
    }
    database.roleAskedAt = now;
    sendProbe(engine, *connection, probe_request{.primaryCheck = true}, now);
}

void scheduleVerification(proxy_engine &engine, group_state &group, time_point due)
{
    if (group.verification.checkAt != time_point{} && group.verification.checkAt <= due) {
        return;
    }
    group.verification.checkAt = due;
    scheduleTimer(engine, due, timer_kind::verification, 0, group.name);
}

void demandEvidence(proxy_engine &engine, group_state &group, const database_name &primary, time_point since, time_point now)
{
    bool anyOther = false;
    bool needsClaim = false;
    for (auto &[name, database] : group.databases) {
        if (name == primary) {
            continue;
        }
        anyOther = true;
        needsClaim = needsClaim || needsClaimEvidence(database);
        if (database.notPrimaryAt < since && database.roleAskedAt < since) {
            askForRole(engine, group, database, now);
        }
    }
    if (needsClaim || !anyOther) {
        readClaimForEvidence(engine, group, since, now);
    }
    if (group.verification.missingSince == time_point{} && onlyPrimaryUntil(viewOf(group), primary) < since) {
        group.verification.missingSince = now;
    }
    scheduleVerification(engine, group, now + evidenceRetryInterval);
}

void abandonReplaced(proxy_engine &engine, group_state &group, time_point now)
{
    std::deque<held_reply> &held = group.verification.held;
    std::deque<held_reply> abandoned;
    for (auto it = held.begin(); it != held.end();) {
        if (it->database == group.primary) {
            ++it;
            continue;
        }
        abandoned.push_back(std::move(*it));
        it = held.erase(it);
    }
    for (const held_reply &entry : abandoned) {
        if (client_session *session = sessionOf(engine, entry)) {
            abandon(engine, *session, entry, now);
        }
    }
}

void deliverVerified(proxy_engine &engine, group_state &group, client_session &session, held_reply reply, time_point now)
{
    assert(session.current.has_value());
    reply.session = session.id;
    reply.statementId = session.current->statement.id;
    reply.heldAt = now;
    const bool replaced = group.primary && group.primary != reply.database;
    const bool confirms = needsConfirmation(engine, group, reply);
    if (replaced && (confirms || !engine.settings.replacedPrimariesStepDown)) {
        session.current->replyHeld = true;
        abandon(engine, session, reply, now);
        return;
    }
    if (isVerified(engine, group, reply)) {
        deliver(engine, group, session, reply, now);
        return;
    }
    engine.counters.repliesHeld += 1;
    session.current->replyHeld = true;
    const database_name database = reply.database;
    const time_point since = reply.since;
    group.verification.held.push_back(std::move(reply));
    if (!engine.settings.replacedPrimariesStepDown) {
        demandEvidence(engine, group, database, since, now);
    }
    if (confirms) {
        demandConfirmation(engine, group, now);
    }
}

void addVerifiedSample(proxy_engine &engine, group_state &group, const unverified_position &position, time_point now)
{
    if (engine.settings.replacedPrimariesStepDown) {
        addSample(group.samples, position.requestedAt, position.entry);
        return;
    }
    std::deque<unverified_position> &positions = group.verification.positions;
    positions.push_back(position);
    if (positions.size() > maxUnverifiedPositions) {
        positions.pop_front();
    }
    releaseVerified(engine, group, now);
}

void releaseVerified(proxy_engine &engine, group_state &group, time_point now)
{
    primary_verification &verification = group.verification;
    const verification_view view = viewOf(group);
    if (verification.missingSince != time_point{} && group.primary && onlyPrimaryUntil(view, *group.primary) >= verification.missingSince) {
        verification.missingSince = time_point{};
        engine.groupsToDispatch.insert(group.name);
    }
    while (!verification.positions.empty()) {
        const unverified_position &oldest = verification.positions.front();
        if (onlyPrimaryUntil(view, oldest.database) < oldest.requestedAt) {
            break;
        }
        addSample(group.samples, oldest.requestedAt, oldest.entry);
        verification.positions.pop_front();
        engine.groupsToDispatch.insert(group.name);
    }
    // Delivering a reply may start the session's next statement, which may hold a reply itself.
    std::vector<held_reply> ready;
    for (auto it = verification.held.begin(); it != verification.held.end();) {
        if (isVerified(engine, group, *it)) {
            ready.push_back(std::move(*it));
            it = verification.held.erase(it);
        } else {
            ++it;
        }
    }
    for (held_reply &held : ready) {
        if (client_session *session = sessionOf(engine, held)) {
            deliver(engine, group, *session, held, now);
        }
    }
}

void resolveTwoPrimaries(proxy_engine &engine, group_state &group, const database_name &other, time_point now)
{
    reportEvent(engine,
                "second_primary_seen",
                {{"group", group.name.value()}, {"database", other.value()}, {"lead", group.primary ? group.primary->value() : "none"}});
    for (auto &[name, database] : group.databases) {
        if (name == other || group.primary == name) {
            askForStatus(engine, group, database, now);
        }
    }
}

void recordRole(proxy_engine &engine, group_state &group, database_state &database, time_point requestedAt, time_point now)
{
    const database_status &status = *database.status;
    const database_name &name = database.listed.name;
    if (!status.primary) {
        database.notPrimaryAt = std::max(database.notPrimaryAt, requestedAt);
        releaseVerified(engine, group, now);
        return;
    }
    if (status.term < group.reportedTerm) {
        // Replaced, but not yet aware of it.
        database.notPrimaryAt = std::max(database.notPrimaryAt, requestedAt);
        if (database_connection *connection = findForRoleCheck(engine, group, database, now)) {
            engine.counters.stepDownsSent += 1;
            reportEvent(engine,
                        "step_down_sent",
                        {{"group", group.name.value()},
                         {"database", name.value()},
                         {"term", std::to_string(status.term.value())},
                         {"newer", std::to_string(group.reportedTerm.value())}});
            sendProbe(engine, *connection, probe_request{.status = true, .stepDownAt = group.reportedTerm}, now);
        }
        if (group.primary == name) {
            group.primary.reset();
            scheduleGroupCheck(engine, group, now);
        }
        releaseVerified(engine, group, now);
        return;
    }
    adoptPrimary(engine, group, database, now);
}

void checkVerification(proxy_engine &engine, group_state &group, time_point now)
{
    primary_verification &verification = group.verification;
    if (now >= verification.checkAt) {
        verification.checkAt = time_point{};
    }
    std::erase_if(verification.held, [&](const held_reply &held) {
        return sessionOf(engine, held) == nullptr;
    });
    const bool waited = !group.waiting.empty() && verification.missingSince != time_point{};
    // A database whose evidence was missing may have left the list since.
    releaseVerified(engine, group, now);
    demandConfirmation(engine, group, now);
    if (engine.settings.replacedPrimariesStepDown) {
        return;
    }
    if (!group.primary || (verification.held.empty() && verification.positions.empty() && !waited)) {
        return;
    }
    const database_name primary = *group.primary;
    time_point since = verification.missingSince;
    if (!verification.held.empty()) {
        since = verification.held.front().since;
    } else if (!verification.positions.empty()) {
        since = verification.positions.front().requestedAt;
    }
    for (auto &[name, database] : group.databases) {
        if (name == primary || database.notPrimaryAt >= since) {
            continue;
        }
        if (database.roleAskedAt >= since && now - database.roleAskedAt >= roleReplyTimeout
            && database.lastReplyAt < database.roleAskedAt) {
            markSuspected(engine, group, database, "role check without an answer", now);
        }
        if (now - database.roleAskedAt >= evidenceRetryInterval) {
            askForRole(engine, group, database, now);
        }
    }
    demandEvidence(engine, group, primary, since, now);
}

bool isVerificationStalled(const proxy_engine &engine, const group_state &group, time_point now)
{
    const time_point missingSince = group.verification.missingSince;
    return !engine.settings.replacedPrimariesStepDown && missingSince != time_point{} && now - missingSince >= evidenceStallTimeout;
}

} // namespace mustardrouter::proxying
