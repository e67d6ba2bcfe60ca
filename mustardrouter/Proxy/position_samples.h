#pragma once

#include "mustardrouter/Core/log_entry.h"
#include "mustardrouter/Core/virtual_clock.h"

#include <deque>
#include <optional>

namespace mustardrouter
{

/// Positions of a group's primary, each with the instant at which its question was sent. Unlike
/// position_history, which serves one owner's term, entries carry their term.
struct position_samples {
    struct sample {
        time_point requestedAt;
        log_entry entry;
    };
    std::deque<sample> samples;
};

/// Adds a position that was asked for at `requestedAt` and whose answer proved the lead.
void addSample(position_samples &history, time_point requestedAt, log_entry entry);

/// The least entry that holds every commit acknowledged up to `instant`; nothing when no question
/// was sent since.
std::optional<log_entry> floorAt(const position_samples &history, time_point instant);

/// When the question of the newest sample was sent; the epoch without a sample.
time_point newestSampleAt(const position_samples &history);

} // namespace mustardrouter
