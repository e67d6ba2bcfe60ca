#include "mustardrouter/Membership/relays.h"

#include "mustardrouter/Membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace mustardrouter
{

namespace
{

/// Number of relays that each instance follows, and of relays that connect a place to the others.
constexpr std::size_t relayRedundancy = 2;

using relays_by_place = std::map<std::string, std::vector<instance_name>>;

relays_by_place relaysByPlace(const std::vector<instance_view> &live)
{
    relays_by_place places;
    for (const instance_view &view : live) {
        places[view.place].push_back(view.name);
    }
    for (auto &[place, names] : places) {
        const std::size_t count = relayCount(names.size());
        names = rankInstances("configuration/" + place, std::move(names));
        names.resize(count);
    }
    return places;
}

void addTopRanked(std::vector<instance_name> &to, const std::vector<instance_name> &from, const instance_name &self)
{
    for (std::size_t index = 0; index < std::min(relayRedundancy, from.size()); ++index) {
        if (from[index] != self) {
            to.push_back(from[index]);
        }
    }
}

} // namespace

std::size_t relayCount(std::size_t instances)
{
    const auto root = static_cast<std::size_t>(std::sqrt(static_cast<double>(instances)));
    return std::min(instances, std::max(relayRedundancy, root));
}

relay_choice chooseRelays(const std::vector<instance_view> &live, const instance_view &self)
{
    const relays_by_place places = relaysByPlace(live);
    relay_choice choice;
    const auto own = places.find(self.place);
    if (own == places.end()) {
        return choice;
    }
    const auto position = std::ranges::find(own->second, self.name);
    choice.relay = position != own->second.end();
    if (!choice.relay) {
        addTopRanked(choice.sources, rankInstances(self.name.value(), own->second), self.name);
        return choice;
    }
    const bool followsOtherPlaces = position - own->second.begin() < static_cast<std::ptrdiff_t>(relayRedundancy);
    for (const auto &[place, relays] : places) {
        if (followsOtherPlaces || place == self.place) {
            addTopRanked(choice.sources, relays, self.name);
        }
    }
    return choice;
}

} // namespace mustardrouter
