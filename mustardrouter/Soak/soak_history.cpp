#include "mustardrouter/Soak/soak_history.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Whether the answer promises that nothing of the attempt is kept.
bool promisesNothingKept(reply_code code)
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

bool isForwarded(client_verb verb)
{
    return verb == client_verb::read || verb == client_verb::write || verb == client_verb::execute || verb == client_verb::commit;
}

bool writes(const sent_statement &statement)
{
    return statement.what.verb == client_verb::write || statement.shape.starts_with("WRITE ");
}

/// Whether the statement's success means that something is kept.
bool isCommit(const sent_statement &statement)
{
    const bool single = writes(statement) && !statement.inTransaction;
    return single || (statement.what.verb == client_verb::commit && statement.wrote);
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

void soak_history::breakPromise(const std::string &what)
{
    if (m_told.insert(what).second) {
        m_broken.push_back(what);
    }
}

const std::vector<std::string> &soak_history::broken() const
{
    return m_broken;
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
    m_statements[statement.what.id] = {statement};
    const bool begins = statement.what.verb == client_verb::begin || statement.what.verb == client_verb::beginRead;
    if (begins) {
        m_sessions[statement.session].transactionAt.clear();
    }
}

void soak_history::onGivenUp(const std::string &id)
{
    const auto found = m_statements.find(id);
    if (found != m_statements.end()) {
        found->second.waits = false;
    }
}

void soak_history::onValueSet(std::uint64_t session, const std::string &name, const std::string &value)
{
    m_sessions[session].values[name] = value;
}

std::string soak_history::onRun(const statement_run &run)
{
    std::string signature = "signed-" + std::to_string(m_runs.size() + 1);
    m_runs[signature] = run;
    const auto found = m_statements.find(run.id);
    if (found == m_statements.end()) {
        breakPromise("UNASKED: nobody sent " + run.id);
        return signature;
    }
    found->second.ran = true;
    const sent_statement &sent = found->second.sent;
    const std::string &expected = run.executes ? sent.what.value : sent.what.text;
    if (run.text != expected) {
        breakPromise("UNASKED: " + run.id + " ran as '" + run.text + "', sent was '" + expected + "'");
    }
    if (run.group != sent.group) {
        breakPromise("ROUTE: " + run.id + " ran in " + run.group.value());
    }
    checkPlace(run, found->second);
    return signature;
}

bool soak_history::hasRun(const std::string &id) const
{
    const auto found = m_statements.find(id);
    return found != m_statements.end() && found->second.ran;
}

void soak_history::onLateAtLeaving(const statement_run &run, time_point announcedAt, time_point now)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - announcedAt).count();
    m_lateAtLeaving.push_back({"DRAIN: " + run.id + " ran on " + run.database.value() + " " + std::to_string(millis)
                                   + " ms after it had announced that it leaves",
                               announcedAt,
                               now});
}

const std::vector<late_run> &soak_history::lateAtLeaving() const
{
    return m_lateAtLeaving;
}

void soak_history::checkPlace(const statement_run &run, const watched_statement &statement)
{
    const sent_statement &sent = statement.sent;
    if (run.executes && run.shape != sent.shape) {
        breakPromise("PINNED: " + run.id + " ran the shape '" + run.shape + "', prepared was '" + sent.shape + "'");
    }
    if (run.inTransaction != sent.inTransaction) {
        breakPromise("PINNED: " + run.id + (run.inTransaction ? " ran inside a transaction" : " ran outside its transaction"));
    }
    if (!statement.waits) {
        // Its client has gone on: what it sees of the session may be older.
        return;
    }
    watched_session &session = m_sessions[sent.session];
    if (run.values != session.values) {
        breakPromise("PINNED: " + run.id + " ran with other session values");
    }
    if (sent.inTransaction) {
        const std::string place = run.database.value() + "/" + std::to_string(run.connection);
        if (!session.transactionAt.empty() && session.transactionAt != place) {
            breakPromise("PINNED: " + run.id + " ran on " + place + ", its transaction on " + session.transactionAt);
        }
        session.transactionAt = place;
    }
}

void soak_history::onCommit(const group_name &group, const std::string &id, std::size_t index)
{
    m_commitCount += 1;
    watched_group &watched = m_groups[group];
    if (!watched.indexes.emplace(id, index).second) {
        breakPromise("TWICE: " + id);
    }
    watched.droppedAt.erase(id);
    const auto found = m_statements.find(id);
    if (found == m_statements.end()) {
        return;
    }
    if (!isCommit(found->second.sent)) {
        breakPromise("UNASKED: " + id + " was committed, but asked for nothing to keep");
    }
    if (m_promisedAttempts.contains(found->second.sent.attempt)) {
        breakPromise("REFUSED: " + id + " was committed after the promise that nothing is kept");
    }
}

void soak_history::onPromoted(const group_name &group, const standin_promotion &promotion, std::uint32_t syncReplicas)
{
    watched_group &watched = m_groups[group];
    for (const std::string &id : promotion.dropped) {
        if (syncReplicas > 0 && watched.acknowledgedIds.contains(id)) {
            breakPromise("LOST: " + id + " was acknowledged and isn't in the log of the database promoted");
        }
        watched.indexes.erase(id);
        watched.droppedAt[id] = promotion.shared;
    }
    std::size_t index = promotion.shared;
    for (const std::string &id : promotion.restored) {
        watched.indexes[id] = index++;
        watched.droppedAt.erase(id);
    }
    for (acknowledgement &entry : watched.acknowledged) {
        entry.length = std::min(entry.length, promotion.shared);
    }
    for (auto &[number, session] : m_sessions) {
        const auto own = session.ownCommits.find(group);
        if (own != session.ownCommits.end()) {
            own->second = std::min(own->second, promotion.shared);
        }
    }
}

void soak_history::onOrder(const std::string &group, std::uint64_t fence, const std::string &holder, const std::string &successor)
{
    const std::string subject = group + "/" + std::to_string(fence);
    const std::string order = holder + " for " + successor;
    const auto [place, added] = m_orders.emplace(subject, order);
    if (!added) {
        breakPromise("ONE: fence " + std::to_string(fence) + " of " + group + " was used by " + place->second + " and by " + order);
    }
}

void soak_history::onAnswer(const std::string &id, const database_reply &reply, time_point now)
{
    const auto found = m_statements.find(id);
    if (found == m_statements.end()) {
        return;
    }
    found->second.waits = false;
    const sent_statement &sent = found->second.sent;
    watched_group &group = m_groups[sent.group];
    if (promisesNothingKept(reply.code)) {
        m_promisedAttempts.insert(sent.attempt);
        if (isCommit(sent) && group.indexes.contains(id)) {
            breakPromise("REFUSED: " + id + " is kept, though the answer was " + std::string(toString(reply.code)));
        }
    }
    if (reply.code != reply_code::done || !isForwarded(sent.what.verb)) {
        return;
    }
    const auto run = m_runs.find(reply.signature);
    if (run == m_runs.end() || run->second.id != id || run->second.rows != reply.rows) {
        breakPromise("MIXED: the answer to " + id + " has the signature '" + reply.signature + "'");
        return;
    }
    if (!isCommit(sent)) {
        checkFresh(sent, run->second);
        return;
    }
    const auto kept = group.indexes.find(id);
    if (kept == group.indexes.end()) {
        // A promotion has dropped it meanwhile.
        return;
    }
    group.acknowledgedIds.insert(id);
    const std::size_t length = kept->second + 1;
    const std::size_t before = group.acknowledged.empty() ? 0 : group.acknowledged.back().length;
    group.acknowledged.push_back({now, std::max(before, length)});
    std::size_t &own = m_sessions[sent.session].ownCommits[sent.group];
    own = std::max(own, length);
}

std::size_t soak_history::lengthAcknowledgedBefore(const watched_group &group, time_point instant) const
{
    const auto after = std::ranges::lower_bound(group.acknowledged, instant, {}, &acknowledgement::at);
    return after == group.acknowledged.begin() ? 0 : std::prev(after)->length;
}

void soak_history::checkFresh(const sent_statement &statement, const statement_run &run)
{
    if (statement.what.verb == client_verb::commit || writes(statement)) {
        return;
    }
    const watched_group &group = m_groups[statement.group];
    const duration age = statement.rule == read_rule::latest ? duration{} : statement.maxAge;
    std::size_t due = lengthAcknowledgedBefore(group, statement.begunAt - age);
    if (statement.rule == read_rule::session) {
        const auto &own = m_sessions[statement.session].ownCommits;
        const auto found = own.find(statement.group);
        due = std::max(due, found == own.end() ? 0 : found->second);
    }
    const auto dropped = group.droppedAt.find(run.lastCommit);
    const std::size_t seen = dropped == group.droppedAt.end() ? run.applied : std::min(run.applied, dropped->second);
    if (seen < due) {
        breakPromise("STALE: " + statement.what.id + " saw " + std::to_string(seen) + " commits of " + run.database.value() + ", due were "
                     + std::to_string(due));
    }
}

} // namespace mustardrouter
