#include "mustardrouter/Proxy/connection_choice.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Despite an idle connection, another is opened only to an option whose expected time is below this fraction of the
/// idle option's.
constexpr double maxExpectedTimeRatio = 0.8;

} // namespace

connection_choice chooseConnection(const std::vector<connection_option> &options)
{
    const std::size_t none = options.size();
    connection_choice choice{none, none};
    const auto idle = std::ranges::find_if(options, &connection_option::idle);
    const auto opening = std::ranges::find_if(options, [](const connection_option &option) {
        return option.opening && option.openingFor < slowOpenThreshold;
    });
    if (idle != options.end()) {
        choice.idleIndex = static_cast<std::size_t>(idle - options.begin());
    }
    if (opening != options.end()) {
        return choice;
    }
    for (std::size_t index = 0; index < std::min(choice.idleIndex, none); ++index) {
        // A connection of another workspace is closed only for one that is needed.
        const bool isWorthOpening =
            idle == options.end()
            || (!options[index].replaces && options[index].expectedMicros < maxExpectedTimeRatio * idle->expectedMicros);
        if (options[index].mayOpen && isWorthOpening) {
            choice.openIndex = index;
            break;
        }
    }
    return choice;
}

} // namespace mustardrouter
