#include "mustardrouter/Workspaces/limit_settings.h"

#include <algorithm>

namespace mustardrouter
{

duration grantTime(const limit_settings &settings)
{
    const auto half = duration(static_cast<std::int64_t>(static_cast<double>(settings.window.count()) * settings.overrun / 2));
    return std::clamp<duration>(half, std::chrono::milliseconds(100), std::chrono::milliseconds(250));
}

double extraBurst(const limit_settings &settings)
{
    return settings.slack * 0.3;
}

double spareTokens(const limit_settings &settings)
{
    return settings.slack * 0.15;
}

double movingTokens(const limit_settings &settings)
{
    return settings.slack * 0.1;
}

std::uint32_t unitMembers(const limit_settings &settings)
{
    return static_cast<std::uint32_t>(std::max(0.0, settings.slack * 0.35));
}

} // namespace mustardrouter
