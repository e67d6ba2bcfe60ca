#pragma once

#include "mustardrouter/Core/virtual_clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardrouter
{

/// How one operation of a client ended.
struct operation_result {
    time_point startedAt{};
    time_point endedAt{};
    bool served = false;
};

/// A statement that was sent whole and whose connection ended before the answer was whole.
struct unfinished_statement {
    std::string id;
    std::size_t instance = 0;
    time_point sentAt{};
    time_point endedAt{};
};

/// What the soak's clients count.
struct soak_tally {
    std::vector<operation_result> operations;
    std::vector<unfinished_statement> disconnected;
    /// Statements without an answer in time, by when they were sent.
    std::vector<unfinished_statement> unanswered;
    /// Answers by their code.
    std::map<std::string, std::uint64_t> answers;
};

} // namespace mustardrouter
