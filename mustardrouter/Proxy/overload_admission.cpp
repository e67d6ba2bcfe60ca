#include "mustardrouter/Proxy/overload_admission.h"

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
constexpr double mostRelativeWork = 2.0;
constexpr double mostWeight = 6.0;

} // namespace

double admissionProbability(const database_state &primary, const admission_request &request, time_point now)
{
    if (request.priority <= urgentPriority) {
        return 1;
    }
    if (request.overloadRefusals > mostRefusals) {
        return 0;
    }
    const double open = admissibleReadShare(primary, now);
    if (open >= 1) {
        return 1;
    }
    const bool known = request.smoothedReadMicros > 0 && request.groupReadMicros > 0;
    const double relative = known ? std::clamp(request.smoothedReadMicros / request.groupReadMicros, leastWeight, mostRelativeWork) : 1.0;
    const double weight = std::min(relative * request.statements, mostWeight);
    return std::max(leastShare, std::pow(open, weight));
}

} // namespace mustardrouter
