#include "mustardrouter/Soak/soak_history.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Whether the answer guarantees that no write of the attempt is kept.
bool guaranteesNoEffect(reply_code code)
{
    switch (code) {
    case reply_code::busy:
    case reply_code::aborted:
    case reply_code::lagging:
    case reply_code::readOnly:
    case reply_code::misrouted:
    case reply_code::tooManyConnections:
        return true;
    default:
        return false;
    }
}

bool runsOnDatabase(client_verb verb)
{
    return verb == client_verb::read || verb == client_verb::write || verb == client_verb::execute || verb == client_verb::commit;
}

bool writes(const sent_statement &statement)
{
    return statement.clientStatement.verb == client_verb::write || statement.statementText.starts_with("WRITE ");
}

/// Whether success of the statement means that a write is committed.
bool isCommit(const sent_statement &statement)
{
    const bool single = writes(statement) && !statement.inTransaction;
    return single || (statement.clientStatement.verb == client_verb::commit && statement.wrote);
}

} // namespace

std::uint64_t soak_history::addSession()
{
    return ++m_sessionCount;
}

std::uint64_t soak_history::addAttempt()
{
    return ++m_attemptCount;
}

void soak_history::reportViolation(const std::string &violation)
{
    if (m_reported.insert(violation).second) {
        m_violations.push_back(violation);
    }
}

const std::vector<std::string> &soak_history::violations() const
{
    return m_violations;
}

std::uint64_t soak_history::statementCount() const
{
    return m_statements.size();
}

std::uint64_t soak_history::runCount() const
{
    return m_runs.size();
}

std::uint64_t soak_history::commitCount() const
{
    return m_commitCount;
}

void soak_history::onSent(const sent_statement &statement)
{
    m_statements[statement.clientStatement.id] = {.sent = statement, .values = m_sessions[statement.session].values};
    const bool begins = statement.clientStatement.verb == client_verb::begin || statement.clientStatement.verb == client_verb::beginRead;
    if (begins) {
        m_sessions[statement.session].transactionConnection.clear();
    }
}

void soak_history::onGivenUp(const std::string &id)
{
    const auto found = m_statements.find(id);
    if (found != m_statements.end()) {
        found->second.awaitsReply = false;
    }
}

void soak_history::onValueSet(std::uint64_t session, const std::string &name, const std::string &value)
{
    m_sessions[session].values[name] = value;
}

void soak_history::onReceived(const std::string &id)
{
    const auto found = m_statements.find(id);
    if (found != m_statements.end()) {
        found->second.received = true;
    }
}

std::string soak_history::onRun(const statement_run &run, time_point now)
{
    std::string signature = "signed-" + std::to_string(m_runs.size() + 1);
    m_runs[signature] = run;
    const auto found = m_statements.find(run.id);
    if (found == m_statements.end()) {
        reportViolation("UNASKED: no client sent " + run.id);
        return signature;
    }
    found->second.firstRunAt = found->second.firstRunAt.value_or(now);
    const sent_statement &sent = found->second.sent;
    const std::string &expected = run.executes ? sent.clientStatement.value : sent.clientStatement.text;
    if (run.text != expected) {
        reportViolation("UNASKED: " + run.id + " ran as '" + run.text + "', sent was '" + expected + "'");
    }
    if (sent.routeMoves) {
        found->second.sent.group = run.group;
    } else if (run.group != sent.group) {
        reportViolation("ROUTE: " + run.id + " ran in " + run.group.value());
    }
    checkSessionState(run, found->second);
    return signature;
}

const sent_statement *soak_history::findSent(const std::string &id) const
{
    const auto found = m_statements.find(id);
    return found == m_statements.end() ? nullptr : &found->second.sent;
}

bool soak_history::wasReceived(const std::string &id) const
{
    const auto found = m_statements.find(id);
    return found != m_statements.end() && found->second.received;
}

bool soak_history::hasRun(const std::string &id) const
{
    return firstRunAt(id).has_value();
}

std::optional<time_point> soak_history::firstRunAt(const std::string &id) const
{
    const auto found = m_statements.find(id);
    return found == m_statements.end() ? std::nullopt : found->second.firstRunAt;
}

void soak_history::onRunAfterDrainTime(const statement_run &run, time_point announcedAt, time_point now)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - announcedAt).count();
    m_lateRuns.push_back({"DRAIN: " + run.id + " ran on " + run.database.value() + " " + std::to_string(millis)
                              + " ms after it had announced that it leaves",
                          announcedAt,
                          now});
}

const std::vector<late_run> &soak_history::lateRuns() const
{
    return m_lateRuns;
}

void soak_history::checkSessionState(const statement_run &run, const watched_statement &statement)
{
    const sent_statement &sent = statement.sent;
    if (run.executes && run.statementText != sent.statementText) {
        reportViolation("PINNED: " + run.id + " ran the prepared statement '" + run.statementText + "', prepared was '" + sent.statementText
                        + "'");
    }
    if (run.inTransaction != sent.inTransaction) {
        reportViolation("PINNED: " + run.id + (run.inTransaction ? " ran inside a transaction" : " ran outside its transaction"));
    }
    if (run.values != statement.values) {
        reportViolation("PINNED: " + run.id + " ran with other session values");
    }
    if (!statement.awaitsReply) {
        // The client has given up on it, so the session may be in another transaction by now.
        return;
    }
    watched_session &session = m_sessions[sent.session];
    if (sent.inTransaction) {
        const std::string connection = run.database.value() + "/" + std::to_string(run.connection);
        if (!session.transactionConnection.empty() && session.transactionConnection != connection) {
            reportViolation("PINNED: " + run.id + " ran on " + connection + ", its transaction on " + session.transactionConnection);
        }
        session.transactionConnection = connection;
    }
}

void soak_history::onCommit(const group_name &group, const std::string &id, std::size_t index)
{
    m_commitCount += 1;
    watched_group &watched = m_groups[group];
    if (!watched.indexes.emplace(id, index).second) {
        reportViolation("TWICE: " + id);
    }
    watched.branchPointOfDropped.erase(id);
    const auto found = m_statements.find(id);
    if (found == m_statements.end()) {
        return;
    }
    if (!isCommit(found->second.sent)) {
        reportViolation("UNASKED: " + id + " was committed, but is neither a write nor a commit after one");
    }
    if (m_attemptsWithoutEffect.contains(found->second.sent.attempt)) {
        reportViolation("REFUSED: " + id + " was committed after an answer that guarantees no effect");
    }
}

void soak_history::onCommitOfReplaced(const group_name &group, const std::string &id, std::size_t sharedLength)
{
    watched_group &watched = m_groups[group];
    watched.committedByReplaced.insert(id);
    watched.branchPointOfDropped[id] = sharedLength;
}

void soak_history::onPromoted(const group_name &group, const standin_promotion &promotion, std::uint32_t syncReplicas)
{
    watched_group &watched = m_groups[group];
    for (const std::string &id : promotion.dropped) {
        if (syncReplicas > 0 && watched.acknowledgedIds.contains(id)) {
            reportViolation("LOST: " + id + " was acknowledged, but is not in the log of the promoted database");
        }
        watched.indexes.erase(id);
        watched.branchPointOfDropped[id] = promotion.commonLength;
    }
    std::size_t index = promotion.commonLength;
    for (const std::string &id : promotion.restored) {
        watched.indexes[id] = index++;
        watched.branchPointOfDropped.erase(id);
    }
    for (acknowledgement &entry : watched.acknowledged) {
        entry.length = std::min(entry.length, promotion.commonLength);
    }
    for (auto &[number, session] : m_sessions) {
        const auto own = session.ownCommits.find(group);
        if (own != session.ownCommits.end()) {
            own->second = std::min(own->second, promotion.commonLength);
        }
    }
}

void soak_history::onOrder(const std::string &group, std::uint64_t fence, const std::string &holder, const std::string &successor)
{
    const std::string subject = group + "/" + std::to_string(fence);
    const std::string order = holder + " for " + successor;
    const auto [existing, added] = m_orders.emplace(subject, order);
    if (!added) {
        reportViolation("ONE: fence " + std::to_string(fence) + " of " + group + " was used by " + existing->second + " and by " + order);
    }
}

void soak_history::onAnswer(const std::string &id, const database_reply &reply, time_point now)
{
    const auto found = m_statements.find(id);
    if (found == m_statements.end()) {
        return;
    }
    found->second.awaitsReply = false;
    const sent_statement &sent = found->second.sent;
    watched_group &group = m_groups[sent.group];
    if (guaranteesNoEffect(reply.code)) {
        m_attemptsWithoutEffect.insert(sent.attempt);
        if (isCommit(sent) && group.indexes.contains(id)) {
            reportViolation("REFUSED: " + id + " is committed, though the answer was " + std::string(toString(reply.code)));
        }
    }
    if (reply.code != reply_code::done || !runsOnDatabase(sent.clientStatement.verb)) {
        return;
    }
    const auto run = m_runs.find(reply.signature);
    if (run == m_runs.end() || run->second.id != id || run->second.rows != reply.rows) {
        const std::string of = run == m_runs.end()    ? "no run"
                               : run->second.id == id ? "its run, but other rows"
                                                      : run->second.id + " at " + run->second.database.value();
        reportViolation("MIXED: the answer to " + id + " has the signature '" + reply.signature + "' of " + of);
        return;
    }
    if (!isCommit(sent)) {
        checkFreshness(sent, run->second);
        return;
    }
    if (group.committedByReplaced.contains(id)) {
        reportViolation("ONE: " + id + " was committed by a replaced primary and acknowledged");
        return;
    }
    const auto kept = group.indexes.find(id);
    if (kept == group.indexes.end()) {
        // A promotion has dropped it in the meantime.
        return;
    }
    group.acknowledgedIds.insert(id);
    const std::size_t length = kept->second + 1;
    const std::size_t before = group.acknowledged.empty() ? 0 : group.acknowledged.back().length;
    group.acknowledged.push_back({now, std::max(before, length)});
    std::size_t &own = m_sessions[sent.session].ownCommits[sent.group];
    own = std::max(own, length);
}

std::size_t soak_history::acknowledgedLengthBefore(const watched_group &group, time_point instant) const
{
    const auto after = std::ranges::lower_bound(group.acknowledged, instant, {}, &acknowledgement::at);
    return after == group.acknowledged.begin() ? 0 : std::prev(after)->length;
}

void soak_history::checkFreshness(const sent_statement &statement, const statement_run &run)
{
    if (statement.clientStatement.verb == client_verb::commit || writes(statement)) {
        return;
    }
    const watched_group &group = m_groups[run.group];
    const duration age = statement.rule == read_rule::latest ? duration{} : statement.maxAge;
    std::size_t required = acknowledgedLengthBefore(group, statement.startedAt - age);
    if (statement.rule == read_rule::session) {
        const auto &own = m_sessions[statement.session].ownCommits;
        const auto found = own.find(run.group);
        required = std::max(required, found == own.end() ? 0 : found->second);
    }
    const auto dropped = group.branchPointOfDropped.find(run.lastCommit);
    const std::size_t seen = dropped == group.branchPointOfDropped.end() ? run.applied : std::min(run.applied, dropped->second);
    if (seen < required) {
        reportViolation("STALE: " + statement.clientStatement.id + " saw " + std::to_string(seen) + " commits on " + run.database.value()
                        + ", required were " + std::to_string(required));
    }
}

} // namespace mustardrouter
