#include "mustardrouter/Ownership/ownership_record.h"

#include <algorithm>

namespace mustardrouter
{

ownership_record nextRecord(const ownership_record &previous, term_number floor, const std::vector<term_range> &holders)
{
    std::uint64_t next = floor.value() + 1;
    for (const term_range &range : previous.ranges) {
        next = std::max(next, range.last.value() + 1);
    }
    ownership_record record;
    record.version = previous.version;
    for (const term_range &holder : holders) {
        term_range range = holder;
        range.first = term_number(next);
        range.last = term_number(next + termsPerRange - 1);
        next += termsPerRange;
        record.ranges.push_back(range);
    }
    return record;
}

} // namespace mustardrouter
