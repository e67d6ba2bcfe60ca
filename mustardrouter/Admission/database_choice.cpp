#include "mustardrouter/Admission/database_choice.h"

namespace mustardrouter
{

namespace
{

double expectedMicros(const read_candidate &candidate)
{
    return candidate.serviceMicros * static_cast<double>(candidate.running + 1);
}

bool isBetter(const read_candidate &candidate, const read_candidate *best)
{
    return best == nullptr || expectedMicros(candidate) < expectedMicros(*best);
}

} // namespace

read_choice chooseForRead(const std::vector<read_candidate> &candidates, log_position floor)
{
    const read_candidate *best = nullptr;
    const read_candidate *bestEjected = nullptr;
    bool fresh = false;
    bool freshHealthy = false;
    for (const read_candidate &candidate : candidates) {
        if (!candidate.usable || candidate.primary || candidate.applied < floor) {
            continue;
        }
        fresh = true;
        freshHealthy = freshHealthy || !candidate.ejected;
        const read_candidate *&chosen = candidate.ejected ? bestEjected : best;
        if (candidate.freeSlots > 0 && isBetter(candidate, chosen)) {
            chosen = &candidate;
        }
    }
    if (best == nullptr && !freshHealthy) {
        best = bestEjected;
    }
    if (best != nullptr) {
        return {read_choice::kind::run, best->index};
    }
    return {fresh ? read_choice::kind::waitForSlot : read_choice::kind::noneFresh, 0};
}

std::uint32_t slotsReservedForWrites(std::uint32_t slots)
{
    constexpr std::uint32_t reserved = 1;
    return slots > reserved ? reserved : 0;
}

} // namespace mustardrouter
