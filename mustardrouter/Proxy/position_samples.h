#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <deque>
#include <optional>

namespace mustardrouter
{

/// Log positions of a group's primary, each with the instant at which it was requested. Unlike in
/// position_history, which covers the term of one owner, the log entries carry their term.
struct position_samples {
    struct sample {
        time_point requestedAt;
        log_entry entry;
    };
    std::deque<sample> samples;
};

/// Adds a position that was requested at `requestedAt`, from a reply that verified the primary.
void addSample(position_samples &history, time_point requestedAt, log_entry entry);

/// The lowest sampled log entry that includes every commit acknowledged up to `instant`; nothing when no
/// sample was requested since.
std::optional<log_entry> floorAt(const position_samples &history, time_point instant);

/// When the newest sample was requested; the epoch without a sample.
time_point newestSampleAt(const position_samples &history);

} // namespace mustardrouter
