#include "fake_callers.h"

#include <algorithm>

namespace mustardrouter::histories
{

namespace
{

/// The entry's own allowance past a deadline, its tick, and the way to the caller.
constexpr duration answerGrace = std::chrono::milliseconds(150);

} // namespace

fake_callers::fake_callers(const scenario &what, surroundings &around, recorded_history &seen)
    : m_scenario(what)
    , m_around(around)
    , m_seen(seen)
{
}

int fake_callers::pick(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(m_around.random);
}

void fake_callers::start()
{
    for (std::size_t number = 0; number < m_scenario.sessions; ++number) {
        session who;
        who.number = number;
        who.operationsLeft = m_scenario.operations;
        m_sessions.push_back(who);
    }
    for (session &who : m_sessions) {
        connectAnywhere(who);
        think(who);
    }
}

bool fake_callers::isUp(endpoint_index entry) const
{
    return m_around.instances[entry] && m_around.instances[entry]->isUp();
}

void fake_callers::connectAnywhere(session &who)
{
    who.caller = caller_id(m_nextCaller++);
    who.entry = static_cast<endpoint_index>(pick(static_cast<int>(m_scenario.instances)));
    // The balancer in front of the entries leaves out those that are down.
    for (std::size_t attempt = 0; attempt < m_scenario.instances && !isUp(who.entry); ++attempt) {
        who.entry = (who.entry + 1) % m_scenario.instances;
    }
    who.now = stage::idle;
    who.transaction = 0;
}

void fake_callers::think(session &who)
{
    const duration pause(1000 + pick(60000));
    m_around.queue.after(pause, [this, number = who.number] {
        next(m_sessions[number]);
    });
}

void fake_callers::send(session &who, recorded_request request)
{
    request.number = m_seen.requests.size() + 1;
    request.session = who.number;
    request.sent = m_around.queue.now();
    request.tag = "q" + std::to_string(request.number);
    request.transaction = who.transaction;

    caller_request_arrived event;
    event.caller = who.caller;
    event.callerRequest = request.number;
    event.token = who.keepsToken ? who.token : "";
    event.hasReadRule = true;
    event.timeout = std::chrono::milliseconds(60 + pick(240));
    event.what.kind = request.kind;
    event.what.rule = request.rule;
    event.what.maxAge = request.maxAge;
    event.what.key = request.key;
    event.what.nonIdempotent = !request.key.value().empty() && request.kind == statement_kind::write;
    event.what.session = session_name("s" + std::to_string(who.number));
    event.what.service = theService;
    event.what.transaction = who.atEntry;
    event.what.sql = request.kind == statement_kind::write ? "w " + request.row : "r " + request.tag;
    if (who.transaction == 0) {
        event.what.transaction = {};
    }
    if (request.kind == statement_kind::write) {
        request.tag = request.row;
    }
    const std::size_t index = m_seen.requests.size();
    m_seen.requests.push_back(request);
    who.waiting = index;
    m_pending[{who.caller.value(), request.number}] = index;
    const auto deliver = [this, entry = who.entry, event] {
        if (isUp(entry) && m_pending.contains({event.caller.value(), event.callerRequest})) {
            m_around.instances[entry]->stepEntry(event);
        }
    };
    m_around.network.send(m_around.network.open(callersEndpoint, who.entry), deliver);
    const duration allowed = event.timeout + answerGrace;
    m_around.queue.after(allowed, [this, index, entry = who.entry, pauses = m_pauses[who.entry]] {
        watchDeadline(index, entry, pauses);
    });
}

void fake_callers::watchDeadline(std::size_t request, endpoint_index entry, std::uint64_t pauses)
{
    const recorded_request &watched = m_seen.requests[request];
    const bool waiting = std::ranges::any_of(m_sessions, [&](const session &who) {
        return who.waiting == request;
    });
    const bool paused = m_around.network.paused[entry] || pauses != m_pauses[entry];
    if (waiting && !watched.answered && !paused) {
        m_around.onViolation("unanswered: request " + std::to_string(watched.number) + " got no answer by its deadline");
    }
}

void fake_callers::onAnswer(const answer_caller &answer)
{
    const auto found = m_pending.find({answer.caller.value(), answer.callerRequest});
    if (found == m_pending.end()) {
        return;
    }
    recorded_request &request = m_seen.requests[found->second];
    if (request.answered) {
        m_around.onViolation("answered twice: request " + std::to_string(request.number));
        return;
    }
    session &who = m_sessions[request.session];
    request.answered = true;
    request.answeredAt = m_around.queue.now();
    request.result = answer.result;
    if (!answer.token.empty()) {
        who.token = answer.token;
    }
    onResult(who, request);
}

void fake_callers::onResult(session &who, recorded_request &request)
{
    const std::size_t index = request.number - 1;
    const bool done = request.result.kind == outcome::done;
    if (request.kind == statement_kind::begin) {
        if (done) {
            who.now = stage::inTransaction;
            who.atEntry = request.result.transaction;
            who.statementsLeft = 2 + pick(2);
        } else {
            who.transaction = 0;
        }
    } else if (who.now == stage::inTransaction) {
        const bool over = request.kind == statement_kind::commit || request.kind == statement_kind::rollback
                          || request.result.cause == failure::transactionLost;
        recorded_transaction &transaction = m_seen.transactions[who.transaction - 1];
        if (request.kind == statement_kind::write && !done) {
            transaction.whole = false;
            who.statementsLeft = 0;
        }
        if (over) {
            who.now = stage::idle;
            who.transaction = 0;
        }
    } else if (request.kind == statement_kind::write && !done && !request.key.value().empty()) {
        who.unclear = index;
    } else if (m_around.injected == defect::retryUnknown && request.kind == statement_kind::write
               && request.result.kind == outcome::unknown) {
        who.unclear = index;
    }
    endRequest(who);
}

void fake_callers::endRequest(session &who)
{
    who.waiting.reset();
    think(who);
}

void fake_callers::nextInTransaction(session &who)
{
    recorded_transaction &transaction = m_seen.transactions[who.transaction - 1];
    recorded_request request;
    if (who.statementsLeft > 0) {
        --who.statementsLeft;
        request.kind = pick(3) == 0 ? statement_kind::read : statement_kind::write;
        if (request.kind == statement_kind::write) {
            request.row = "t" + std::to_string(transaction.number) + "." + std::to_string(transaction.rows.size());
            transaction.rows.push_back(request.row);
        }
    } else {
        request.kind = transaction.whole && pick(8) != 0 ? statement_kind::commit : statement_kind::rollback;
        if (request.kind == statement_kind::commit && pick(2) == 0) {
            request.key = request_key("kt" + std::to_string(transaction.number));
        }
    }
    send(who, request);
}

void fake_callers::followUp(session &who)
{
    const recorded_request &unclear = m_seen.requests[*who.unclear];
    recorded_request request;
    request.key = unclear.key;
    if (m_around.injected == defect::retryUnknown) {
        request.key = {};
        request.kind = statement_kind::write;
        request.row = unclear.row;
    } else if (pick(2) == 0) {
        request.kind = statement_kind::lookup;
    } else {
        request.kind = statement_kind::write;
        request.row = unclear.row;
    }
    who.unclear.reset();
    send(who, request);
}

void fake_callers::next(session &who)
{
    if (who.waiting || m_around.queue.now() > time_point(std::chrono::seconds(1)) + faultTime) {
        return;
    }
    if (!isUp(who.entry)) {
        connectAnywhere(who);
        think(who);
        return;
    }
    if (who.now == stage::inTransaction) {
        nextInTransaction(who);
        return;
    }
    if (who.unclear) {
        followUp(who);
        return;
    }
    if (who.operationsLeft == 0) {
        return;
    }
    --who.operationsLeft;
    if (pick(3) == 0) {
        who.keepsToken = pick(2) == 0;
        connectAnywhere(who);
    }
    recorded_request request;
    switch (pick(8)) {
    case 0:
    case 1:
    case 2:
        request.kind = statement_kind::write;
        request.row = "w" + std::to_string(m_nextRow++);
        if (pick(2) == 0) {
            request.key = request_key("k" + request.row);
        }
        break;
    case 3:
        request.kind = statement_kind::begin;
        who.transaction = m_nextTransaction++;
        m_seen.transactions.push_back({who.transaction, {}, true});
        who.atEntry = {};
        break;
    case 4:
        request.rule = read_rule::latest;
        break;
    case 5:
        request.rule = read_rule::age;
        request.maxAge = std::chrono::milliseconds(20 + pick(200));
        break;
    default:
        break;
    }
    send(who, request);
}

void fake_callers::loseEntry(endpoint_index entry)
{
    for (session &who : m_sessions) {
        if (who.entry != entry) {
            continue;
        }
        const bool waiting = who.waiting.has_value();
        if (waiting) {
            const recorded_request &request = m_seen.requests[*who.waiting];
            m_pending.erase({who.caller.value(), request.number});
            if (request.kind == statement_kind::write && request.transaction == 0 && !request.key.value().empty()) {
                who.unclear = who.waiting;
            }
            who.waiting.reset();
        }
        connectAnywhere(who);
        if (waiting) {
            think(who);
        }
    }
}

void fake_callers::leaveSome()
{
    for (session &who : m_sessions) {
        if (!who.waiting || pick(2) == 0) {
            continue;
        }
        const recorded_request &request = m_seen.requests[*who.waiting];
        m_pending.erase({who.caller.value(), request.number});
        if (m_around.instances[who.entry]) {
            m_around.instances[who.entry]->stepEntry(caller_disconnected{who.caller});
        }
        who.waiting.reset();
        connectAnywhere(who);
        think(who);
    }
}

void fake_callers::notePause(endpoint_index entry)
{
    ++m_pauses[entry];
}

} // namespace mustardrouter::histories
