#pragma once

#include "fake_instance.h"
#include "recorded_request.h"
#include "scenario.h"

#include <map>
#include <random>

namespace mustardrouter::histories
{

/// Simulated caller sessions. Each has at most one request in flight, moves between entries with or without its
/// session token, retries or looks up requests with an unknown outcome, and sometimes disconnects during a request.
class fake_callers
{
public:
    fake_callers(const scenario &what, history_environment &environment, recorded_history &history);

    void start();
    void onAnswer(const answer_caller &answer);
    /// Called when an entry has crashed, which closes all its caller connections.
    void onEntryLost(endpoint_index entry);
    /// Disconnects about half of the callers that have a request in flight.
    void disconnectSome();
    /// Called when an entry is paused or resumed: its pending answers may miss their deadlines.
    void recordPause(endpoint_index entry);

private:
    enum class session_state : std::uint8_t { idle, inTransaction };

    struct session {
        std::size_t number = 0;
        endpoint_index entry = 0;
        caller_id caller;
        std::string token;
        bool keepsToken = true;
        std::size_t operationsLeft = 0;
        /// Index of the request in flight, if any.
        std::optional<std::size_t> waiting;
        session_state state = session_state::idle;
        std::uint64_t transaction = 0;
        transaction_id entryTransaction;
        int statementsLeft = 0;
        /// Index of a request with an unknown outcome that will be retried or looked up.
        std::optional<std::size_t> unresolved;
    };

    int randomBelow(int below);
    bool isUp(endpoint_index entry) const;
    void scheduleNextOperation(session &callerSession);
    void startNextOperation(session &callerSession);
    void nextInTransaction(session &callerSession);
    void resolveOutcome(session &callerSession);
    void connectAnywhere(session &callerSession);
    void send(session &callerSession, recorded_request request);
    void onResult(session &callerSession, recorded_request &request);
    void endRequest(session &callerSession);
    void watchDeadline(std::size_t request, endpoint_index entry, std::uint64_t pauses);

    const scenario &m_scenario;
    history_environment &m_environment;
    recorded_history &m_history;
    std::vector<session> m_sessions;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> m_pending;
    std::array<std::uint64_t, maxInstances> m_pauses{};
    std::uint64_t m_nextCaller = 1;
    std::uint64_t m_nextTransaction = 1;
    std::uint64_t m_nextRow = 1;
};

} // namespace mustardrouter::histories
