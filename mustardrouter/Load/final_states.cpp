#include "mustardrouter/Load/final_states.h"

namespace mustardrouter
{

namespace
{

final_state readFinalState(database_standin &primary)
{
    final_state state;
    const wire::result items = primary.query("SELECT id, count(*) FROM items GROUP BY id");
    for (const wire::result_row &row : items.rows()) {
        state.itemCounts[row.values(0)] = std::stoull(row.values(1));
    }
    const wire::result pairs = primary.query("SELECT transaction_id, owner, count(*) FROM pairs GROUP BY transaction_id, owner");
    for (const wire::result_row &row : pairs.rows()) {
        final_state::pair_rows &stored = state.pairs[row.values(0)];
        stored.mixedOwners = !stored.owner.empty() && stored.owner != row.values(1);
        stored.owner = row.values(1);
        stored.rows += std::stoull(row.values(2));
    }
    return state;
}

} // namespace

std::map<std::string, final_state> readFinalStates(testbed &bed)
{
    std::map<std::string, final_state> states;
    for (std::size_t group = 0; group < bed.deploymentSettings().groups; ++group) {
        const std::string name = groupNameOf(bed.deploymentSettings(), group);
        database_standin *primary = bed.primaryOf(name);
        states[name] = primary == nullptr ? final_state{} : readFinalState(*primary);
    }
    return states;
}

} // namespace mustardrouter
