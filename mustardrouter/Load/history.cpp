#include "mustardrouter/Load/history.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

constexpr std::uint64_t rowsPerPair = 2;

void checkWrite(const recorded_write &write, const final_state &state, check_result &result)
{
    const auto counted = state.itemCounts.find(write.id);
    const std::uint64_t rows = counted == state.itemCounts.end() ? 0 : counted->second;
    if (rows > 1) {
        ++result.doubledWrites;
    }
    if (write.kind == outcome::done && rows == 0) {
        ++result.lostWrites;
    }
    if (write.kind == outcome::notRun && rows > 0) {
        ++result.ranThoughNotRun;
    }
}

void checkPair(const recorded_pair &pair, const final_state &state, check_result &result)
{
    const auto stored = state.pairs.find(pair.id);
    const final_state::pair_rows rows = stored == state.pairs.end() ? final_state::pair_rows{} : stored->second;
    const bool partial = rows.rows != 0 && rows.rows != rowsPerPair;
    const bool foreign = rows.rows != 0 && (rows.mixedOwners || rows.owner != pair.owner);
    if (partial || foreign) {
        ++result.crossTransaction;
    }
    if (pair.kind == outcome::done && rows.rows == 0) {
        ++result.lostWrites;
    }
    if (pair.kind == outcome::notRun && rows.rows > 0) {
        ++result.ranThoughNotRun;
    }
}

} // namespace

check_result check(const history &observed, const std::map<std::string, final_state> &groups)
{
    check_result result;
    result.staleReads = observed.staleReads;
    result.misattributed = observed.misattributed;
    for (const recorded_write &write : observed.writes) {
        checkWrite(write, groups.at(write.group), result);
    }
    for (const recorded_pair &pair : observed.pairs) {
        checkPair(pair, groups.at(pair.group), result);
    }
    return result;
}

bool allPromisesKept(const check_result &result)
{
    return result.staleReads + result.lostWrites + result.doubledWrites + result.crossTransaction + result.ranThoughNotRun
               + result.misattributed
           == 0;
}

std::chrono::milliseconds longestWriteGap(const history &observed, const std::string &group, load_instant from, load_instant to)
{
    std::vector<load_instant> answered;
    for (const recorded_write &write : observed.writes) {
        const bool counts = write.group == group && write.kind == outcome::done && write.answeredAt >= from && write.answeredAt <= to;
        if (counts) {
            answered.push_back(write.answeredAt);
        }
    }
    std::ranges::sort(answered);
    load_instant::duration longest{0};
    for (std::size_t index = 1; index < answered.size(); ++index) {
        longest = std::max(longest, answered[index] - answered[index - 1]);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

} // namespace mustardrouter
