#include "fake_callers.h"

#include <algorithm>

namespace mustardrouter::histories
{

namespace
{

/// Covers the entry's grace period after a deadline, its tick interval and the network delay to the caller.
constexpr duration answerGrace = std::chrono::milliseconds(150);

} // namespace

fake_callers::fake_callers(const scenario &what, history_environment &environment, recorded_history &history)
    : m_scenario(what)
    , m_environment(environment)
    , m_history(history)
{
}

int fake_callers::randomBelow(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(m_environment.random);
}

void fake_callers::start()
{
    for (std::size_t number = 0; number < m_scenario.sessions; ++number) {
        session callerSession;
        callerSession.number = number;
        callerSession.operationsLeft = m_scenario.operationsPerSession;
        m_sessions.push_back(callerSession);
    }
    for (session &callerSession : m_sessions) {
        connectAnywhere(callerSession);
        scheduleNextOperation(callerSession);
    }
}

bool fake_callers::isUp(endpoint_index entry) const
{
    return m_environment.instances[entry] && m_environment.instances[entry]->isUp();
}

void fake_callers::connectAnywhere(session &callerSession)
{
    callerSession.caller = caller_id(m_nextCaller++);
    callerSession.entry = static_cast<endpoint_index>(randomBelow(static_cast<int>(m_scenario.instances)));
    // Emulates a load balancer, which skips entries that are down.
    for (std::size_t attempt = 0; attempt < m_scenario.instances && !isUp(callerSession.entry); ++attempt) {
        callerSession.entry = (callerSession.entry + 1) % m_scenario.instances;
    }
    callerSession.state = session_state::idle;
    callerSession.transaction = 0;
}

void fake_callers::scheduleNextOperation(session &callerSession)
{
    const duration pause(1000 + randomBelow(60000));
    m_environment.queue.after(pause, [this, number = callerSession.number] {
        startNextOperation(m_sessions[number]);
    });
}

void fake_callers::send(session &callerSession, recorded_request request)
{
    request.number = m_history.requests.size() + 1;
    request.session = callerSession.number;
    request.sentAt = m_environment.queue.now();
    request.tag = "q" + std::to_string(request.number);
    request.transaction = callerSession.transaction;

    caller_request_arrived event;
    event.caller = callerSession.caller;
    event.callerRequest = request.number;
    event.token = callerSession.keepsToken ? callerSession.token : "";
    event.hasReadRule = true;
    event.timeout = std::chrono::milliseconds(60 + randomBelow(240));
    event.what.kind = request.kind;
    event.what.rule = request.rule;
    event.what.maxAge = request.maxAge;
    event.what.key = request.key;
    event.what.nonIdempotent = !request.key.value().empty() && request.kind == statement_kind::write;
    event.what.session = session_name("s" + std::to_string(callerSession.number));
    event.what.service = theService;
    event.what.transaction = callerSession.entryTransaction;
    event.what.sql = request.kind == statement_kind::write ? "w " + request.row : "r " + request.tag;
    if (callerSession.transaction == 0) {
        event.what.transaction = {};
    }
    if (request.kind == statement_kind::write) {
        request.tag = request.row;
    }
    const std::size_t index = m_history.requests.size();
    m_history.requests.push_back(request);
    callerSession.waiting = index;
    m_pending[{callerSession.caller.value(), request.number}] = index;
    const auto deliver = [this, entry = callerSession.entry, event] {
        if (isUp(entry) && m_pending.contains({event.caller.value(), event.callerRequest})) {
            m_environment.instances[entry]->stepEntry(event);
        }
    };
    m_environment.network.send(m_environment.network.open(callersEndpoint, callerSession.entry), deliver);
    const duration allowed = event.timeout + answerGrace;
    m_environment.queue.after(allowed, [this, index, entry = callerSession.entry, pauses = m_pauses[callerSession.entry]] {
        watchDeadline(index, entry, pauses);
    });
}

void fake_callers::watchDeadline(std::size_t request, endpoint_index entry, std::uint64_t pauses)
{
    const recorded_request &watched = m_history.requests[request];
    const bool waiting = std::ranges::any_of(m_sessions, [&](const session &callerSession) {
        return callerSession.waiting == request;
    });
    const bool paused = m_environment.network.paused[entry] || pauses != m_pauses[entry];
    if (waiting && !watched.answered && !paused) {
        m_environment.onViolation("unanswered: request " + std::to_string(watched.number) + " was not answered before its deadline");
    }
}

void fake_callers::onAnswer(const answer_caller &answer)
{
    const auto found = m_pending.find({answer.caller.value(), answer.callerRequest});
    if (found == m_pending.end()) {
        return;
    }
    recorded_request &request = m_history.requests[found->second];
    if (request.answered) {
        m_environment.onViolation("answered twice: request " + std::to_string(request.number));
        return;
    }
    session &callerSession = m_sessions[request.session];
    request.answered = true;
    request.answeredAt = m_environment.queue.now();
    request.result = answer.result;
    if (!answer.token.empty()) {
        callerSession.token = answer.token;
    }
    onResult(callerSession, request);
}

void fake_callers::onResult(session &callerSession, recorded_request &request)
{
    const std::size_t index = request.number - 1;
    const bool done = request.result.kind == outcome::done;
    if (request.kind == statement_kind::begin) {
        if (done) {
            callerSession.state = session_state::inTransaction;
            callerSession.entryTransaction = request.result.transaction;
            callerSession.statementsLeft = 2 + randomBelow(2);
        } else {
            callerSession.transaction = 0;
        }
    } else if (callerSession.state == session_state::inTransaction) {
        const bool over = request.kind == statement_kind::commit || request.kind == statement_kind::rollback
                          || request.result.cause == failure::transactionLost;
        recorded_transaction &transaction = m_history.transactions[callerSession.transaction - 1];
        if (request.kind == statement_kind::write && !done) {
            transaction.allWritesDone = false;
            callerSession.statementsLeft = 0;
        }
        if (over) {
            callerSession.state = session_state::idle;
            callerSession.transaction = 0;
        }
    } else if (request.kind == statement_kind::write && !done && !request.key.value().empty()) {
        callerSession.unresolved = index;
    } else if (m_environment.injected == defect::retryUnknown && request.kind == statement_kind::write
               && request.result.kind == outcome::unknown) {
        callerSession.unresolved = index;
    }
    endRequest(callerSession);
}

void fake_callers::endRequest(session &callerSession)
{
    callerSession.waiting.reset();
    scheduleNextOperation(callerSession);
}

void fake_callers::nextInTransaction(session &callerSession)
{
    recorded_transaction &transaction = m_history.transactions[callerSession.transaction - 1];
    recorded_request request;
    if (callerSession.statementsLeft > 0) {
        --callerSession.statementsLeft;
        request.kind = randomBelow(3) == 0 ? statement_kind::read : statement_kind::write;
        if (request.kind == statement_kind::write) {
            request.row = "t" + std::to_string(transaction.number) + "." + std::to_string(transaction.rows.size());
            transaction.rows.push_back(request.row);
        }
    } else {
        request.kind = transaction.allWritesDone && randomBelow(8) != 0 ? statement_kind::commit : statement_kind::rollback;
        if (request.kind == statement_kind::commit && randomBelow(2) == 0) {
            request.key = request_key("kt" + std::to_string(transaction.number));
        }
    }
    send(callerSession, request);
}

void fake_callers::resolveOutcome(session &callerSession)
{
    const recorded_request &unresolved = m_history.requests[*callerSession.unresolved];
    recorded_request request;
    request.key = unresolved.key;
    if (m_environment.injected == defect::retryUnknown) {
        request.key = {};
        request.kind = statement_kind::write;
        request.row = unresolved.row;
    } else if (randomBelow(2) == 0) {
        request.kind = statement_kind::lookup;
    } else {
        request.kind = statement_kind::write;
        request.row = unresolved.row;
    }
    callerSession.unresolved.reset();
    send(callerSession, request);
}

void fake_callers::startNextOperation(session &callerSession)
{
    if (callerSession.waiting || m_environment.queue.now() > time_point(std::chrono::seconds(1)) + operationPhaseDuration) {
        return;
    }
    if (!isUp(callerSession.entry)) {
        connectAnywhere(callerSession);
        scheduleNextOperation(callerSession);
        return;
    }
    if (callerSession.state == session_state::inTransaction) {
        nextInTransaction(callerSession);
        return;
    }
    if (callerSession.unresolved) {
        resolveOutcome(callerSession);
        return;
    }
    if (callerSession.operationsLeft == 0) {
        return;
    }
    --callerSession.operationsLeft;
    if (randomBelow(3) == 0) {
        callerSession.keepsToken = randomBelow(2) == 0;
        connectAnywhere(callerSession);
    }
    recorded_request request;
    switch (randomBelow(8)) {
    case 0:
    case 1:
    case 2:
        request.kind = statement_kind::write;
        request.row = "w" + std::to_string(m_nextRow++);
        if (randomBelow(2) == 0) {
            request.key = request_key("k" + request.row);
        }
        break;
    case 3:
        request.kind = statement_kind::begin;
        callerSession.transaction = m_nextTransaction++;
        m_history.transactions.push_back({callerSession.transaction, {}, true});
        callerSession.entryTransaction = {};
        break;
    case 4:
        request.rule = read_rule::latest;
        break;
    case 5:
        request.rule = read_rule::age;
        request.maxAge = std::chrono::milliseconds(20 + randomBelow(200));
        break;
    default:
        break;
    }
    send(callerSession, request);
}

void fake_callers::onEntryLost(endpoint_index entry)
{
    for (session &callerSession : m_sessions) {
        if (callerSession.entry != entry) {
            continue;
        }
        const bool waiting = callerSession.waiting.has_value();
        if (waiting) {
            const recorded_request &request = m_history.requests[*callerSession.waiting];
            m_pending.erase({callerSession.caller.value(), request.number});
            if (request.kind == statement_kind::write && request.transaction == 0 && !request.key.value().empty()) {
                callerSession.unresolved = callerSession.waiting;
            }
            callerSession.waiting.reset();
        }
        connectAnywhere(callerSession);
        if (waiting) {
            scheduleNextOperation(callerSession);
        }
    }
}

void fake_callers::disconnectSome()
{
    for (session &callerSession : m_sessions) {
        if (!callerSession.waiting || randomBelow(2) == 0) {
            continue;
        }
        const recorded_request &request = m_history.requests[*callerSession.waiting];
        m_pending.erase({callerSession.caller.value(), request.number});
        if (m_environment.instances[callerSession.entry]) {
            m_environment.instances[callerSession.entry]->stepEntry(caller_disconnected{callerSession.caller});
        }
        callerSession.waiting.reset();
        connectAnywhere(callerSession);
        scheduleNextOperation(callerSession);
    }
}

void fake_callers::recordPause(endpoint_index entry)
{
    ++m_pauses[entry];
}

} // namespace mustardrouter::histories
