#include "checker.h"

#include "naive_router.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>

namespace mustardrouter::histories
{

namespace
{

/// Expected contents: the naive router's state after each log entry.
struct reference {
    std::vector<std::string> states;
    /// Index into `states` of the first state that contains the row.
    std::map<std::string, std::size_t> positionOfRow;
    std::map<std::string, std::size_t> countOf;
    std::set<std::string> keys;
};

reference runNaively(const std::vector<fake_record> &log)
{
    reference made;
    naive_router naive;
    made.states.push_back(naive.read());
    for (const fake_record &record : log) {
        made.states.push_back(naive.write(record.rows));
        for (const std::string &row : record.rows) {
            made.positionOfRow.emplace(row, made.states.size() - 1);
            ++made.countOf[row];
        }
        if (!record.key.value().empty()) {
            made.keys.insert(record.key.value());
        }
    }
    return made;
}

bool isDone(const recorded_request &request)
{
    return request.answered && request.result.kind == outcome::done;
}

class history_check
{
public:
    history_check(const recorded_history &history, const std::vector<fake_record> &log)
        : m_history(history)
        , m_log(log)
        , m_naive(runNaively(log))
        , m_readPositions(history.requests.size(), 0)
    {
    }

    std::vector<std::string> run()
    {
        checkCounts();
        checkWrites();
        checkTransactions();
        checkRecords();
        checkReads();
        checkLookups();
        return std::move(m_violations);
    }

private:
    void report(const std::string &what, const recorded_request &request)
    {
        m_violations.push_back(what + ": " + describe(request));
    }

    void checkCounts()
    {
        for (const auto &[row, count] : m_naive.countOf) {
            if (count > 1) {
                m_violations.push_back("doubled: row " + row + " appears " + std::to_string(count) + " times");
            }
        }
    }

    /// Checks writes outside of transactions. Requests that retry the same row are judged together.
    void checkWrites()
    {
        struct row_outcomes {
            bool anyDone = false;
            bool allNotRun = true;
            const recorded_request *last = nullptr;
        };
        std::map<std::string, row_outcomes> rows;
        for (const recorded_request &request : m_history.requests) {
            if (request.kind != statement_kind::write || request.transaction != 0) {
                continue;
            }
            row_outcomes &all = rows[request.row];
            all.last = &request;
            all.anyDone = all.anyDone || isDone(request);
            all.allNotRun = all.allNotRun && request.answered && request.result.kind == outcome::notRun;
            if (request.answered && request.result.kind == outcome::notRun && request.result.cause == failure::duplicateKey) {
                report("misleading: a retried write that was applied was answered as not run", request);
            }
        }
        for (const auto &[row, all] : rows) {
            const std::size_t count = m_naive.countOf.contains(row) ? m_naive.countOf.at(row) : 0;
            if (all.anyDone && count == 0) {
                report("lost", *all.last);
            }
            if (all.allNotRun && count != 0) {
                report("ran though not run", *all.last);
            }
        }
        for (const recorded_request &request : m_history.requests) {
            const bool compares = request.kind == statement_kind::write && request.transaction == 0 && isDone(request)
                                  && request.result.cause != failure::duplicateKey && m_naive.positionOfRow.contains(request.row);
            if (!compares) {
                continue;
            }
            if (request.result.rows != request.tag + "|" + m_naive.states[m_naive.positionOfRow.at(request.row)]) {
                report("misattributed or mixed: the answer to a write differs from the naive router's", request);
            }
        }
    }

    void checkTransactions()
    {
        for (const recorded_transaction &transaction : m_history.transactions) {
            const recorded_request *commit = nullptr;
            for (const recorded_request &request : m_history.requests) {
                if (request.transaction == transaction.number && request.kind == statement_kind::commit) {
                    commit = &request;
                }
            }
            std::size_t present = 0;
            for (const std::string &row : transaction.rows) {
                present += m_naive.countOf.contains(row) ? 1U : 0U;
            }
            if (commit == nullptr || (commit->answered && commit->result.kind == outcome::notRun)) {
                if (present != 0) {
                    m_violations.push_back("ran though not committed: transaction " + std::to_string(transaction.number));
                }
                continue;
            }
            if (present != 0 && present != transaction.rows.size()) {
                m_violations.push_back("partial: transaction " + std::to_string(transaction.number));
            }
            if (isDone(*commit) && present != transaction.rows.size()) {
                report("lost: transaction", *commit);
            }
        }
    }

    /// Each log entry must hold the rows of one transaction or of one write only.
    void checkRecords()
    {
        for (const fake_record &record : m_log) {
            for (const std::string &row : record.rows) {
                const auto owner = [](const std::string &name) {
                    return name.substr(0, name.find('.'));
                };
                if (owner(row) != owner(record.rows.front())) {
                    m_violations.push_back("mixed: rows " + record.rows.front() + " and " + row + " of one entry");
                }
            }
        }
    }

    /// Number of log entries that a read observed, if its rows equal the naive router's state at that position.
    std::optional<std::size_t> positionOfRead(const recorded_request &request, std::size_t minimumPosition)
    {
        const std::string &rows = request.result.rows;
        const std::size_t bar = rows.find('|');
        if (bar == std::string::npos || rows.substr(0, bar) != request.tag) {
            report("misattributed", request);
            return std::nullopt;
        }
        const std::string shown = rows.substr(bar + 1);
        std::optional<std::size_t> readPosition;
        for (std::size_t index = 0; index < m_naive.states.size(); ++index) {
            if (m_naive.states[index] == shown) {
                readPosition = index;
            }
        }
        if (!readPosition) {
            report("unstable or mixed: a read returned a state that the naive router never had", request);
            return std::nullopt;
        }
        if (*readPosition < minimumPosition) {
            report("stale: a read observed " + std::to_string(*readPosition) + " entries instead of at least "
                       + std::to_string(minimumPosition),
                   request);
        }
        return readPosition;
    }

    std::size_t minimumPositionFor(const recorded_request &read) const
    {
        std::size_t minimumPosition = 0;
        for (std::size_t index = 0; index < m_history.requests.size(); ++index) {
            const recorded_request &earlier = m_history.requests[index];
            if (!isDone(earlier)) {
                continue;
            }
            const bool before = earlier.answeredAt <= read.sentAt;
            const bool own = before && earlier.session == read.session && read.rule != read_rule::age;
            const bool latest = before && read.rule == read_rule::latest;
            const bool aged = read.rule == read_rule::age && earlier.answeredAt <= read.sentAt - read.maxAge;
            if (!own && !latest && !aged) {
                continue;
            }
            minimumPosition = std::max(minimumPosition, positionOfWrite(earlier));
            if (own) {
                minimumPosition = std::max(minimumPosition, m_readPositions[index]);
            }
        }
        return minimumPosition;
    }

    std::size_t positionOfWrite(const recorded_request &request) const
    {
        if (request.kind == statement_kind::write && request.transaction == 0 && m_naive.positionOfRow.contains(request.row)) {
            return m_naive.positionOfRow.at(request.row);
        }
        if (request.kind != statement_kind::commit) {
            return 0;
        }
        for (const recorded_transaction &transaction : m_history.transactions) {
            if (transaction.number == request.transaction && !transaction.rows.empty()
                && m_naive.positionOfRow.contains(transaction.rows.front())) {
                return m_naive.positionOfRow.at(transaction.rows.front());
            }
        }
        return 0;
    }

    void checkReads()
    {
        for (std::size_t index = 0; index < m_history.requests.size(); ++index) {
            const recorded_request &request = m_history.requests[index];
            if (request.kind != statement_kind::read || !isDone(request)) {
                continue;
            }
            if (request.transaction != 0) {
                checkReadInTransaction(request);
                continue;
            }
            m_readPositions[index] = positionOfRead(request, minimumPositionFor(request)).value_or(0);
        }
    }

    /// A read in a transaction returns the transaction's own writes after the committed rows; these are removed before
    /// the rest is checked like any other read, as of the start of the transaction.
    void checkReadInTransaction(const recorded_request &request)
    {
        recorded_request outside = request;
        for (const recorded_request &other : m_history.requests) {
            const bool earlier = other.transaction == request.transaction && other.number < request.number;
            if (!earlier || other.kind != statement_kind::write || !isDone(other)) {
                continue;
            }
            const std::size_t at = outside.result.rows.find(other.row + ",");
            if (at == std::string::npos) {
                report("stale: a transaction does not see its own write", request);
                return;
            }
            outside.result.rows.erase(at, other.row.size() + 1);
        }
        recorded_request begun = outside;
        for (const recorded_request &other : m_history.requests) {
            if (other.transaction == request.transaction && other.kind == statement_kind::begin) {
                begun.sentAt = other.sentAt;
            }
        }
        outside.sentAt = begun.sentAt;
        positionOfRead(outside, minimumPositionFor(outside));
    }

    void checkLookups()
    {
        for (const recorded_request &request : m_history.requests) {
            if (request.kind != statement_kind::lookup || !request.answered) {
                continue;
            }
            if (request.result.kind == outcome::done && !m_naive.keys.contains(request.key.value())) {
                report("lost: a lookup found a request whose effect is missing from the log", request);
            }
            if (request.result.cause != failure::keyNotFound) {
                continue;
            }
            for (const recorded_request &other : m_history.requests) {
                const bool contradicts =
                    other.key == request.key && other.kind == statement_kind::write && isDone(other) && other.answeredAt <= request.sentAt;
                if (contradicts) {
                    report("stale: a lookup did not find a request that was done", request);
                }
            }
        }
    }

    const recorded_history &m_history;
    const std::vector<fake_record> &m_log;
    reference m_naive;
    /// Number of log entries that each read observed, by index of the request.
    std::vector<std::size_t> m_readPositions;
    std::vector<std::string> m_violations;
};

} // namespace

std::string describe(const recorded_request &request)
{
    static const std::array<const char *, 6> kinds{"read", "write", "begin", "commit", "rollback", "lookup"};
    static const std::array<const char *, 3> rules{"session", "latest", "age"};
    std::string text = "request " + std::to_string(request.number) + " (" + kinds.at(static_cast<std::size_t>(request.kind));
    if (request.kind == statement_kind::read) {
        text += std::string(" ") + rules.at(static_cast<std::size_t>(request.rule)) + (request.result.fromReplica ? " on a replica" : "");
    }
    if (request.transaction != 0) {
        text += " in transaction " + std::to_string(request.transaction);
    }
    text += ") of session " + std::to_string(request.session) + " sent at " + std::to_string(request.sentAt.time_since_epoch().count())
            + " us: " + std::string(toString(request.result.kind)) + " " + std::string(toString(request.result.cause)) + " at "
            + std::to_string(request.answeredAt.time_since_epoch().count()) + " us";
    return text;
}

std::vector<std::string> checkHistory(const recorded_history &history, const std::vector<fake_record> &log)
{
    return history_check(history, log).run();
}

} // namespace mustardrouter::histories
