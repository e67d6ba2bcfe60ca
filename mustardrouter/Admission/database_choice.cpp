#include "mustardrouter/Admission/database_choice.h"

namespace mustardrouter
{

namespace
{

/// Slots of the primary that reads leave free for writes.
constexpr std::size_t reservedPrimarySlots = 1;

double expectedMicros(const read_candidate &candidate)
{
    return candidate.serviceMicros * static_cast<double>(candidate.running + 1);
}

} // namespace

std::optional<std::size_t> chooseForRead(const std::vector<read_candidate> &candidates, log_position floor)
{
    const read_candidate *best = nullptr;
    const read_candidate *primary = nullptr;
    bool freshReplica = false;
    for (const read_candidate &candidate : candidates) {
        if (!candidate.usable) {
            continue;
        }
        if (candidate.primary) {
            primary = &candidate;
            continue;
        }
        if (candidate.applied < floor) {
            continue;
        }
        freshReplica = true;
        if (candidate.freeSlots == 0) {
            continue;
        }
        if (best == nullptr || expectedMicros(candidate) < expectedMicros(*best)) {
            best = &candidate;
        }
    }
    if (best != nullptr) {
        return best->index;
    }
    const bool primaryHelps = primary != nullptr && !freshReplica && primary->freeSlots > reservedPrimarySlots;
    if (primaryHelps) {
        return primary->index;
    }
    return std::nullopt;
}

} // namespace mustardrouter
