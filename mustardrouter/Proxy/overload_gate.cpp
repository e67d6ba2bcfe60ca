#include "mustardrouter/Proxy/overload_gate.h"

#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

/// Priorities up to this one are never kept out: they can be served nowhere else.
constexpr std::uint32_t urgentPriority = 1;
/// A read that the database itself refused so often is kept out.
constexpr std::uint32_t mostRefusals = 2;
/// Nobody is kept out wholly, so that the end of the overload is seen.
constexpr double leastShare = 0.05;
/// Bounds of the work's weight.
constexpr double leastWeight = 0.5;
constexpr double mostWeight = 2.0;
/// Parts of the objective, in tenths: in an overload that lasts, and while the instance is new.
constexpr std::int64_t waitTenths = 3;
constexpr std::int64_t waitTenthsWhenNew = 8;
/// Connections of all instances are open again after about this time: 139 at 27 ms, 6 at a time, and as much again for
/// what has waited meanwhile.
constexpr duration newTime = std::chrono::milliseconds(3000);

} // namespace

double admissionShare(const database_state &primary, const gate_request &request, time_point now)
{
    if (request.priority <= urgentPriority) {
        return 1;
    }
    if (request.refusals > mostRefusals) {
        return 0;
    }
    const double open = readShare(primary, now);
    if (open >= 1) {
        return 1;
    }
    const bool known = request.workMicros > 0 && request.usualMicros > 0;
    const double weight = known ? std::clamp(request.workMicros / request.usualMicros, leastWeight, mostWeight) : 1.0;
    return std::max(leastShare, std::pow(open, weight));
}

duration gateWait(duration objective, duration sinceStart)
{
    return objective * (sinceStart < newTime ? waitTenthsWhenNew : waitTenths) / 10;
}

} // namespace mustardrouter
