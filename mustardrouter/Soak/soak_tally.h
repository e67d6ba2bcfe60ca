#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// Result of an operation of a client.
struct operation_result {
    time_point startedAt{};
    time_point endedAt{};
    bool served = false;
    /// It had to be served.
    bool owed = true;
};

/// A statement that was sent and got no complete answer.
struct unfinished_statement {
    std::string id;
    std::size_t instance = 0;
    time_point sentAt{};
    time_point endedAt{};
};

/// A single read that was answered with an error.
struct refused_read {
    std::string id;
    std::size_t instance = 0;
    time_point sentAt{};
    std::string code;
};

/// Statistics of the soak's clients.
struct soak_tally {
    std::vector<operation_result> operations;
    std::vector<unfinished_statement> disconnected;
    /// Statements without an answer in time.
    std::vector<unfinished_statement> unanswered;
    std::vector<refused_read> refusedReads;
    /// Number of answers by code.
    std::map<std::string, std::uint64_t> answers;
};

} // namespace mustardrouter
