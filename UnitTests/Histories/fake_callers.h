#pragma once

#include "fake_instance.h"
#include "recorded_request.h"
#include "scenario.h"

#include <map>
#include <random>

namespace mustardrouter::histories
{

/// Callers' sessions: each sends one request at a time, moves between entries with and without its
/// token, asks what became of unknown requests, and sometimes goes away in the middle of one.
class fake_callers
{
public:
    fake_callers(const scenario &what, surroundings &around, recorded_history &seen);

    void start();
    void onAnswer(const answer_caller &answer);
    /// An entry has gone with all its callers' connections.
    void loseEntry(endpoint_index entry);
    /// Some callers close their connections at once.
    void leaveSome();
    /// An entry was paused: answers that it owes may be late.
    void notePause(endpoint_index entry);

private:
    enum class stage : std::uint8_t { idle, inTransaction };

    struct session {
        std::size_t number = 0;
        endpoint_index entry = 0;
        caller_id caller;
        std::string token;
        bool keepsToken = true;
        std::size_t operationsLeft = 0;
        /// Index of the request under way, if any.
        std::optional<std::size_t> waiting;
        stage now = stage::idle;
        std::uint64_t transaction = 0;
        transaction_id atEntry;
        int statementsLeft = 0;
        /// An unknown request to be followed up.
        std::optional<std::size_t> unclear;
    };

    int pick(int below);
    bool isUp(endpoint_index entry) const;
    void think(session &who);
    void next(session &who);
    void nextInTransaction(session &who);
    void followUp(session &who);
    void connectAnywhere(session &who);
    void send(session &who, recorded_request request);
    void onResult(session &who, recorded_request &request);
    void endRequest(session &who);
    void watchDeadline(std::size_t request, endpoint_index entry, std::uint64_t pauses);

    const scenario &m_scenario;
    surroundings &m_around;
    recorded_history &m_seen;
    std::vector<session> m_sessions;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> m_pending;
    std::array<std::uint64_t, maxInstances> m_pauses{};
    std::uint64_t m_nextCaller = 1;
    std::uint64_t m_nextTransaction = 1;
    std::uint64_t m_nextRow = 1;
};

} // namespace mustardrouter::histories
