#include "mustardrouter/Proxy/engine_parts.h"

#include <algorithm>
#include <utility>

/// Replaces primaries: claims, step-downs and promotion orders.
namespace mustardrouter
{

namespace
{

using namespace proxying;

/// Time within which a primary that was told to step down is expected to do so and its successor to receive its log; after it the
/// promotion is ordered in any case.
constexpr duration stepDownTimeout = std::chrono::milliseconds(900);
/// Interval between the status requests of that time.
constexpr duration stepDownPollInterval = std::chrono::milliseconds(40);
/// Time within which all logs are expected to be read after a claim, and the successor to receive what a reachable primary has.
constexpr duration logReadTimeout = std::chrono::milliseconds(1000);
/// A status request of that time without a reply is repeated after this.
constexpr duration logReadRetryInterval = std::chrono::milliseconds(120);
/// Until a replica is known to receive again, it is asked to at this interval.
constexpr duration resumeRetryInterval = std::chrono::milliseconds(200);
/// A claim written longer ago than this is not used: another instance may have claimed meanwhile.
constexpr duration claimValidFor = std::chrono::milliseconds(1000);

void resumeWatching(proxy_engine &engine, group_state &group, duration pause, time_point now)
{
    group.failover.phase = failover_phase::watching;
    group.failover.notBefore = now + pause;
    scheduleGroupCheck(engine, group, now);
}

group_state *findGroup(proxy_engine &engine, const group_name &name)
{
    const auto found = engine.groups.find(name);
    return found == engine.groups.end() ? nullptr : &found->second;
}

void orderPromotion(proxy_engine &engine, group_state &group, time_point now)
{
    failover_state &watch = group.failover;
    watch.phase = failover_phase::orderingPromotion;
    engine.counters.promotionOrders += 1;
    reportEvent(engine,
                "promotion_ordered",
                {{"group", group.name.value()},
                 {"successor", watch.successor.value()},
                 {"fence", std::to_string(fenceOf(watch.claimPosition).value())},
                 {"after_ms", toMillisText(now - watch.causeSince)}});
    engine.actions.emplace_back(order_promotion{group.name, watch.successor, fenceOf(watch.claimPosition)});
}

/// Tells the primary to step down before its successor is promoted, so that at no time both accept writes.
bool sendStepDown(proxy_engine &engine, group_state &group, time_point now)
{
    const auto primary = group.primary ? group.databases.find(*group.primary) : group.databases.end();
    const bool ordersAreEnough = engine.settings.replacedPrimariesStepDown && group.limits.syncReplicas == 0;
    if (ordersAreEnough || primary == group.databases.end() || primary->second.suspectedSince != time_point{}) {
        return false;
    }
    database_connection *connection = findForRoleCheck(engine, group, primary->second, now);
    if (connection == nullptr) {
        return false;
    }
    const term_number next(std::max({group.reportedTerm, group.primaryTerm, highestTerm(failoverViewOf(group))}).value() + 1);
    engine.counters.stepDownsSent += 1;
    reportEvent(engine,
                "step_down_sent",
                {{"group", group.name.value()},
                 {"database", primary->first.value()},
                 {"term", std::to_string(group.reportedTerm.value())},
                 {"newer", std::to_string(next.value())}});
    sendProbe(engine, *connection, probe_request{.status = true, .stepDownAt = next}, now);
    group.failover.phase = failover_phase::steppingDown;
    group.failover.stepDownAt = now;
    group.failover.steppingDown = *group.primary;
    scheduleGroupCheck(engine, group, now + stepDownPollInterval);
    return true;
}

/// Requests the status of the database for the comparison of logs. Pauses its replication, or resumes it, as the way to the promotion
/// needs.
void readLog(proxy_engine &engine, group_state &group, database_state &database, bool pauses, time_point now)
{
    if (database.probedAt >= group.failover.logsReadSince && now - database.probedAt < logReadRetryInterval) {
        return;
    }
    database_connection *connection = findForRoleCheck(engine, group, database, now);
    if (connection == nullptr) {
        return;
    }
    database.probedAt = now;
    probe_request probe{.status = true};
    if (pauses) {
        probe.pauseAt = term_number(std::max(group.primaryTerm, highestTerm(failoverViewOf(group))).value() + 1);
        database.pausedAt = now;
    } else if (database.status) {
        probe.resume = database.status->pausedUntilTerm != term_number{};
    }
    sendProbe(engine, *connection, probe, now);
}

std::map<database_name, std::uint64_t> incarnationsOf(const group_state &group)
{
    std::map<database_name, std::uint64_t> incarnations;
    for (const auto &[name, database] : group.databases) {
        if (group.primary != name) {
            incarnations[name] = database.listed.incarnation;
        }
    }
    return incarnations;
}

/// Begins to read the logs under the claim that was just written; see commit_confirmation.h for what has to be known before the order.
void beginReadingLogs(proxy_engine &engine, group_state &group, time_point now)
{
    failover_state &watch = group.failover;
    watch.phase = failover_phase::readingLogs;
    watch.logsReadSince = now;
    watch.logNeeded.reset();
    if (watch.steppingDown == database_name()) {
        watch.replicas = incarnationsOf(group);
    }
    readLogs(engine, group, now);
}

/// Gives this attempt up; the next one begins with a claim of its own.
void giveUpAttempt(proxy_engine &engine, group_state &group, const char *reason, duration pause, time_point now)
{
    engine.counters.promotionsGivenUp += 1;
    reportEvent(engine,
                "promotion_given_up",
                {{"group", group.name.value()},
                 {"successor", group.failover.successor.value()},
                 {"why", reason},
                 {"after_ms", toMillisText(now - group.failover.causeSince)}});
    resumeWatching(engine, group, pause, now);
}

/// Tells the primary to step down once the successor has received what the primary had when the reading began.
void stepDownWhenReceived(proxy_engine &engine, group_state &group, time_point now)
{
    failover_state &watch = group.failover;
    const database_state &primary = group.databases.at(*group.primary);
    if (!watch.logNeeded && primary.status && primary.statusAt >= watch.logsReadSince) {
        watch.logNeeded = primary.status->received;
    }
    const auto next = group.databases.find(watch.successor);
    const bool isRead = next != group.databases.end() && next->second.status && next->second.statusAt >= watch.logsReadSince;
    if (watch.logNeeded && isRead && next->second.status->received >= *watch.logNeeded) {
        sendStepDown(engine, group, now);
    }
}

} // namespace

void onClaimRead(proxy_engine &engine, const group_name &name, const promotion_claim &claim, time_point now)
{
    group_state *group = findGroup(engine, name);
    if (group == nullptr || group->failover.phase != failover_phase::readingClaim) {
        return;
    }
    failover_state &watch = group->failover;
    if (claim.position != watch.claimPosition) {
        watch.claimPosition = claim.position;
        watch.claimRespectedUntil = now + engine.settings.promotionTimeout;
    }
    const term_number present = std::max(highestTerm(failoverViewOf(*group)), group->reportedTerm);
    if (now < watch.claimRespectedUntil && isClaimOpen(failoverViewOf(*group), claim)) {
        reportEvent(
            engine, "promotion_left_to_other", {{"group", name.value()}, {"claim", std::to_string(fenceOf(claim.position).value())}});
        resumeWatching(engine, *group, watch.claimRespectedUntil - now, now);
        return;
    }
    watch.phase = failover_phase::writingClaim;
    watch.claimRequestedAt = now;
    const bool seenToLead = group->primary == claim.successor && group->reportedTerm > claim.term;
    std::vector<database_name> unsettled = unsettledAfter(claim, seenToLead);
    std::erase_if(unsettled, [&](const database_name &successor) {
        return !group->databases.contains(successor);
    });
    engine.actions.emplace_back(write_claim{name, claim.position, std::max(present, claim.term), watch.successor, std::move(unsettled)});
}

void onClaimReadFailed(proxy_engine &engine, const group_name &name, time_point now)
{
    if (group_state *group = findGroup(engine, name)) {
        reportEvent(engine, "claim_unread", {{"group", name.value()}});
        resumeWatching(engine, *group, engine.settings.promotionBackoff, now);
    }
}

void onClaimWritten(proxy_engine &engine, const group_name &name, const store_position &position, time_point now)
{
    group_state *group = findGroup(engine, name);
    if (group == nullptr) {
        return;
    }
    group->failover.claimPosition = position;
    group->failover.claimRespectedUntil = time_point{};
    const failover_cause cause = causeOfFailover(failoverViewOf(*group), engine.settings, now);
    const bool outdated = now - group->failover.claimRequestedAt > claimValidFor;
    if (group->failover.phase != failover_phase::writingClaim || cause == failover_cause::none || outdated) {
        reportEvent(engine, "claim_not_used", {{"group", name.value()}, {"why", outdated ? "outdated" : "no cause any more"}});
        resumeWatching(engine, *group, engine.settings.promotionBackoff, now);
        return;
    }
    if (group->limits.syncReplicas > 0) {
        beginReadingLogs(engine, *group, now);
        return;
    }
    if (cause == failover_cause::leaving && sendStepDown(engine, *group, now)) {
        return;
    }
    orderPromotion(engine, *group, now);
}

void onClaimVerified(
    proxy_engine &engine, const group_name &name, const std::optional<promotion_claim> &claim, time_point requestedAt, time_point now)
{
    group_state *group = findGroup(engine, name);
    if (group == nullptr) {
        return;
    }
    primary_verification &verification = group->verification;
    verification.claimOutstanding = false;
    if (claim) {
        verification.claim = *claim;
        verification.claimRequestedAt = requestedAt;
        releaseVerified(engine, *group, now);
    }
    dispatchReadyGroups(engine, now);
}

void onClaimWriteFailed(proxy_engine &engine, const group_name &name, time_point now)
{
    if (group_state *group = findGroup(engine, name)) {
        reportEvent(engine, "claim_not_written", {{"group", name.value()}});
        resumeWatching(engine, *group, engine.settings.promotionBackoff, now);
    }
}

void onPromotionReply(proxy_engine &engine, const group_name &name, bool accepted, time_point now)
{
    if (group_state *group = findGroup(engine, name)) {
        reportEvent(engine, "promotion_answered", {{"group", name.value()}, {"accepted", accepted ? "yes" : "no"}});
        if (accepted) {
            group->failover.claimRespectedUntil = now + engine.settings.promotionTimeout;
        }
        resumeWatching(engine, *group, accepted ? engine.settings.promotionTimeout : engine.settings.promotionBackoff, now);
    }
}

namespace proxying
{

failover_view failoverViewOf(const group_state &group)
{
    // A primary that has stepped down may have a tail that no replica confirmed; it stays the one to be replaced until another leads.
    const auto before = group.databases.find(group.failover.steppingDown);
    const bool hasSteppedDown = before != group.databases.end() && before->second.status && !before->second.status->primary;
    return {&group.databases, group.primary || !hasSteppedDown ? group.primary : before->first, group.limits.syncReplicas};
}

void startFailover(proxy_engine &engine, group_state &group, failover_cause cause, time_point now)
{
    failover_state &watch = group.failover;
    if (watch.cause == failover_cause::none) {
        watch.cause = cause;
        watch.causeSince = now;
        group.outage = primary_outage{cause, now, group.primary.value_or(database_name())};
        const auto spread = static_cast<std::uint64_t>(engine.settings.failoverJitter.count());
        watch.notBefore = std::max(watch.notBefore, now + duration(static_cast<std::int64_t>(engine.random() % spread)));
        reportEvent(engine,
                    "promotion_wanted",
                    {{"group", group.name.value()},
                     {"cause", toString(cause)},
                     {"lead", group.primary ? group.primary->value() : std::string("none")}});
        scheduleGroupCheck(engine, group, watch.notBefore);
    }
    const time_point notBefore = std::max(watch.notBefore, promotionsAllowedFrom(engine));
    if (watch.phase != failover_phase::watching || now < notBefore) {
        return;
    }
    const std::optional<database_name> successor = chooseSuccessor(failoverViewOf(group), engine.settings, now);
    if (!successor) {
        return;
    }
    watch.successor = *successor;
    watch.phase = failover_phase::readingClaim;
    engine.actions.emplace_back(read_claim{group.name});
}

void readLogs(proxy_engine &engine, group_state &group, time_point now)
{
    failover_state &watch = group.failover;
    failover_view view = failoverViewOf(group);
    view.statusesSince = watch.logsReadSince;
    const bool stepsDown = isPrimaryInReach(view);
    if (stepsDown && !group.primary) {
        // It has done so under an earlier claim.
        watch.phase = failover_phase::steppingDown;
        watch.stepDownAt = now;
        scheduleGroupCheck(engine, group, now + stepDownPollInterval);
        return;
    }
    if (stepsDown) {
        stepDownWhenReceived(engine, group, now);
        if (watch.phase == failover_phase::steppingDown) {
            return;
        }
    } else if (const std::optional<database_name> successor = chooseSuccessor(view, engine.settings, now)) {
        if (*successor == watch.successor) {
            orderPromotion(engine, group, now);
        } else {
            giveUpAttempt(engine, group, "another log is ahead", duration{}, now);
        }
        return;
    }
    if (now - watch.logsReadSince >= logReadTimeout) {
        giveUpAttempt(engine, group, "logs not read in time", engine.settings.promotionBackoff, now);
        return;
    }
    for (auto &[name, database] : group.databases) {
        const bool isNeeded = stepsDown ? name == watch.successor || group.primary == name : group.primary != name;
        if (isNeeded) {
            readLog(engine, group, database, !stepsDown, now);
        }
    }
    scheduleGroupCheck(engine, group, now + stepDownPollInterval);
}

void continueHandOver(proxy_engine &engine, group_state &group, time_point now)
{
    failover_state &watch = group.failover;
    const bool isSynchronous = group.limits.syncReplicas > 0;
    const failover_view view{&group.databases, watch.steppingDown, group.limits.syncReplicas, watch.stepDownAt};
    const bool ready = isReadyForHandOver(view, watch.successor, watch.stepDownAt);
    if (ready || now - watch.stepDownAt >= stepDownTimeout) {
        reportEvent(engine,
                    "hand_over",
                    {{"group", group.name.value()},
                     {"from", watch.steppingDown.value()},
                     {"log_received", ready ? "yes" : "not seen"},
                     {"waited_ms", toMillisText(now - watch.stepDownAt)}});
        if (!ready && isSynchronous && !isAheadOfReplicas(view, watch)) {
            // It may lead again: it has all of its log.
            watch.steppingDown = database_name();
            group.primary.reset();
            giveUpAttempt(engine, group, "log not received", duration{}, now);
            return;
        }
        orderPromotion(engine, group, now);
        return;
    }
    for (auto &[name, database] : group.databases) {
        if (!isSynchronous && name != watch.steppingDown && name != watch.successor) {
            continue;
        }
        if (database_connection *connection = findForRoleCheck(engine, group, database, now)) {
            sendProbe(engine, *connection, probe_request{.status = true}, now);
        }
    }
    scheduleGroupCheck(engine, group, now + stepDownPollInterval);
}

void resumeReplicas(proxy_engine &engine, group_state &group, time_point now)
{
    bool anyPaused = false;
    for (auto &[name, database] : group.databases) {
        if (database.pausedAt == time_point{} || group.failover.cause != failover_cause::none) {
            continue;
        }
        anyPaused = true;
        if (now - database.resumedAt < resumeRetryInterval) {
            continue;
        }
        if (database_connection *connection = findForRoleCheck(engine, group, database, now)) {
            database.resumedAt = now;
            sendProbe(engine, *connection, probe_request{.status = true, .resume = true}, now);
        }
    }
    if (anyPaused) {
        scheduleGroupCheck(engine, group, now + resumeRetryInterval);
    }
}

void cancelFailover(proxy_engine &engine, group_state &group, const char *reason, time_point now)
{
    failover_state &watch = group.failover;
    if (watch.cause == failover_cause::none) {
        return;
    }
    reportEvent(engine, "promotion_no_longer_wanted", {{"group", group.name.value()}, {"why", reason}});
    for (auto &[name, database] : group.databases) {
        const bool isPaused = database.status && database.status->pausedUntilTerm != term_number{};
        database.pausedAt = isPaused && database.pausedAt == time_point{} ? now : database.pausedAt;
    }
    if (group.outage && group.primary == group.outage->primary) {
        group.outage.reset();
    }
    // The promotion of the last claim may still take effect, whatever its cause was.
    const store_position lastClaim = watch.claimPosition;
    const time_point respectedUntil = watch.claimRespectedUntil;
    const bool anotherLeads = group.primary && group.primary != watch.steppingDown;
    failover_state before = std::exchange(watch, failover_state{});
    watch.claimPosition = lastClaim;
    watch.claimRespectedUntil = respectedUntil;
    if (!anotherLeads) {
        watch.steppingDown = before.steppingDown;
        watch.replicas = std::move(before.replicas);
    }
    resumeReplicas(engine, group, now);
}

} // namespace proxying

} // namespace mustardrouter
