#include "mustardrouter/Membership/change_log.h"

#include <algorithm>
#include <utility>

namespace mustardrouter
{

namespace
{

/// A follower that missed more answers than these gets all objects.
constexpr std::size_t maxBatches = 64;

} // namespace

void restartLog(change_log &log, store_position position)
{
    log = {{}, position, position};
}

void appendToLog(change_log &log, change_batch batch)
{
    log.end = std::max(log.end, batch.to);
    log.batches.push_back(std::move(batch));
    while (log.batches.size() > maxBatches) {
        log.start = log.batches.front().to;
        log.batches.pop_front();
    }
}

void extendLog(change_log &log, store_position position)
{
    log.end = std::max(log.end, position);
}

std::optional<lacking_changes> changesSince(const change_log &log, store_position known)
{
    if (known.era != log.end.era || known >= log.end) {
        return std::nullopt;
    }
    lacking_changes lacking;
    lacking.whole = known < log.start;
    if (known.revision == store_revision()) {
        return lacking;
    }
    bool any = false;
    for (const change_batch &batch : log.batches) {
        if (batch.to <= known) {
            continue;
        }
        for (const auto &[name, difference] : batch.differences) {
            lacking.differences[name].push_back(difference);
        }
        if (lacking.whole) {
            continue;
        }
        lacking.changedSince = any ? std::min(lacking.changedSince, batch.changedSince) : batch.changedSince;
        lacking.answeredAt = any ? std::min(lacking.answeredAt, batch.answeredAt) : batch.answeredAt;
        lacking.removed.insert(batch.removed.begin(), batch.removed.end());
        any = true;
    }
    return lacking;
}

std::vector<object_difference> leadingTo(const std::vector<object_difference> &differences, store_position position)
{
    std::vector<object_difference> leading;
    for (auto one = differences.rbegin(); one != differences.rend() && one->after == position; ++one) {
        leading.insert(leading.begin(), *one);
        position = one->before;
    }
    return leading;
}

bool continuesAt(store_position known, bool whole, store_position from, store_position to)
{
    return known.era == to.era && known <= to && (whole || (from.era == known.era && from <= known));
}

} // namespace mustardrouter
