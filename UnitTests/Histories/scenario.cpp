#include "scenario.h"

#include <array>

namespace mustardrouter::histories
{

std::string toString(fault_kind kind)
{
    static const std::array<const char *, static_cast<std::size_t>(fault_kind::count)> names{"cutPrimary",
                                                                                             "cutPrimaryOneWay",
                                                                                             "crashPrimary",
                                                                                             "pausePrimary",
                                                                                             "slowReplicas",
                                                                                             "crashReplica",
                                                                                             "crashOwner",
                                                                                             "pauseOwner",
                                                                                             "cutOwnerFromPeers",
                                                                                             "cutOwnerFromDatabases",
                                                                                             "crashEntry",
                                                                                             "resetPeers",
                                                                                             "platformDown",
                                                                                             "platformSlow",
                                                                                             "platformLosesAnswers",
                                                                                             "silentConnections",
                                                                                             "callersLeave",
                                                                                             "changePrimary",
                                                                                             "resign"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string toString(defect kind)
{
    static const std::array<const char *, static_cast<std::size_t>(defect::count)> names{
        "none", "ignoreFloors", "skipBarrier", "skipConfirmation", "skipRounds", "retryUnknown", "ignoreTerms", "keepTransactions"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string describe(const scenario &what)
{
    std::string text = "seed " + std::to_string(what.seed) + ", " + std::to_string(what.instances) + " instances, confirm "
                       + std::to_string(what.confirmReplicas) + ", " + std::to_string(what.sessions) + "x"
                       + std::to_string(what.operationsPerSession) + " operations";
    for (const fault &item : what.faults) {
        text += ", " + toString(item.kind) + "@" + std::to_string(item.start) + "+" + std::to_string(item.length);
    }
    return text;
}

} // namespace mustardrouter::histories
