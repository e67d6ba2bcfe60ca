#include "mustardrouter/Proxy/overload_admission.h"

#include "mustardrouter/Proxy/read_ranking.h"

#include <algorithm>
#include <cmath>

namespace mustardrouter
{

namespace
{

/// Requests up to this priority value are always admitted: no other database can serve them.
constexpr std::uint32_t alwaysAdmittedPriority = 1;
/// A request that databases refused more often than this is rejected.
constexpr std::uint32_t maxOverloadRefusals = 2;
/// Some requests are always admitted, so that the end of the overload is noticed.
constexpr double minShare = 0.05;
/// Bounds of the relative work and of the resulting weight.
constexpr double minRelativeWork = 0.5;
constexpr double maxRelativeWork = 2.0;
constexpr double maxWeight = 6.0;

} // namespace

double admissionProbability(const database_state &primary, const admission_request &request, time_point now)
{
    if (request.priority <= alwaysAdmittedPriority) {
        return 1;
    }
    if (request.overloadRefusals > maxOverloadRefusals) {
        return 0;
    }
    const double admissibleShare = admissibleReadShare(primary, now);
    if (admissibleShare >= 1) {
        return 1;
    }
    const bool isWorkKnown = request.smoothedReadMicros > 0 && request.groupReadMicros > 0;
    const double relative =
        isWorkKnown ? std::clamp(request.smoothedReadMicros / request.groupReadMicros, minRelativeWork, maxRelativeWork) : 1.0;
    const double weight = std::min(relative * request.statements, maxWeight);
    return std::max(minShare, std::pow(admissibleShare, weight));
}

} // namespace mustardrouter
