#include "bench/capacity/plan.h"

#include "mustardrouter/Membership/relays.h"

#include <cstdio>
#include <functional>
#include <vector>

namespace mustardrouter::bench
{

namespace
{

constexpr double holdersOfGroup = 3;
constexpr double kilo = 1e3;
constexpr double mega = 1e6;
/// Microseconds of processor time per second that equal one percent of a core.
constexpr double microsPerPercent = 1e4;

std::string formatted(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", value);
    return text;
}

struct role_line {
    std::string role;
    std::string figure;
    std::string unit;
    std::string mechanism;
    std::string slope;
    std::function<double(const fleet &)> value;
};

double slopeOf(const fits_by_name &fits, const std::string &name)
{
    const auto found = fits.find(name);
    return found == fits.end() ? 0 : found->second.slope;
}

double perNode(const fleet &of, double total)
{
    return total / of.nodes;
}

double bystanderGroups(const fleet &of)
{
    return of.groups - holdersOfGroup * of.groups / of.nodes;
}

std::vector<role_line> entryLines(const fits_by_name &fits)
{
    const auto slope = [fits](const char *name) {
        return slopeOf(fits, name);
    };
    return {
        {"entry",
         "memory, idle callers",
         "KB",
         "one connection object a caller, Network/frame_connection.cpp",
         "connection.heap",
         [=](const fleet &of) {
             return perNode(of, of.callerConnections) * slope("connection.heap") / kilo;
         }},
        {"entry",
         "memory, configuration",
         "KB",
         "one snapshot, Configuration/configuration_snapshot.h",
         "configuration.state",
         [=](const fleet &of) {
             return 2 * of.groups * slope("configuration.state") / kilo;
         }},
        {"entry",
         "memory, instances",
         "KB",
         "directory, Membership/instance_directory.cpp",
         "membership.state",
         [=](const fleet &of) {
             return of.nodes * slope("membership.state") / kilo;
         }},
        {"entry",
         "processor time, statements",
         "% of a core",
         "Routing/entry_router.cpp, Instance/wire_codec.cpp (half of both ends)",
         "statement.read.cpu",
         [=](const fleet &of) {
             return perNode(of, of.statementsPerSecond) * slope("statement.read.cpu") / 2 / microsPerPercent;
         }},
        {"entry",
         "bytes to owners",
         "KB/s",
         "wire::forward and its answer, Schema/wire.proto",
         "statement.read.peer_bytes",
         [=](const fleet &of) {
             return perNode(of, of.statementsPerSecond) * slope("statement.read.peer_bytes") / kilo;
         }},
        {"entry",
         "messages to owners",
         "messages/s",
         "one forward and one answer a statement",
         "2 a statement",
         [=](const fleet &of) {
             return 2 * perNode(of, of.statementsPerSecond);
         }},
    };
}

std::vector<role_line> engineLines(const fits_by_name &fits)
{
    const auto slope = [fits](const std::string &name) {
        return slopeOf(fits, name);
    };
    std::vector<role_line> lines{
        {"bystander",
         "processor time",
         "% of a core",
         "engine ticks, Instance/decision_thread.cpp",
         "bystander.cpu",
         [=](const fleet &of) {
             return bystanderGroups(of) * slope("bystander.cpu") / microsPerPercent;
         }},
        {"bystander",
         "memory",
         "KB",
         "one engine a group, Routing/group_engine.h",
         "bystander.state",
         [=](const fleet &of) {
             return bystanderGroups(of) * slope("bystander.state") / kilo;
         }},
        {"bystander",
         "processor time, a change of members",
         "ms",
         "ranking of all groups, Membership/rendezvous.cpp",
         "membership.rank_one_group",
         [=](const fleet &of) {
             return of.groups * of.nodes * slope("membership.rank_one_group") / kilo;
         }},
    };
    for (const char *name : {"deputy", "owner"}) {
        const std::string role = name;
        const auto most = [role](const fleet &of) {
            const ownership_spread spread = spreadOf(of);
            return role == "owner" ? spread.mostOwned : spread.mostDeputyOf;
        };
        lines.push_back({role, "groups of the fullest node", "groups", "rendezvous hash", "real ranking of the fleet", most});
        lines.push_back(
            {role, "processor time, fullest node", "% of a core", "Ownership/group_ownership.cpp", role + ".cpu", [=](const fleet &of) {
                 return most(of) * slope(role + ".cpu") / microsPerPercent;
             }});
        lines.push_back({role, "memory, fullest node", "KB", "Routing/group_engine.h", role + ".state", [=](const fleet &of) {
                             return most(of) * slope(role + ".state") / kilo;
                         }});
    }
    lines.push_back({"owner",
                     "control messages, fullest node",
                     "messages/s",
                     "heartbeats and report rounds, Ownership/group_ownership.cpp",
                     "owner.messages",
                     [=](const fleet &of) {
                         return spreadOf(of).mostOwned * slope("owner.messages");
                     }});
    lines.push_back({"owner", "control bytes, mean node", "KB/s", "heartbeats and report rounds", "owner.bytes", [=](const fleet &of) {
                         return spreadOf(of).meanOwned * slope("owner.bytes") / kilo;
                     }});
    lines.push_back({"owner", "control bytes, fullest node", "KB/s", "heartbeats and report rounds", "owner.bytes", [=](const fleet &of) {
                         return spreadOf(of).mostOwned * slope("owner.bytes") / kilo;
                     }});
    lines.push_back({"owner",
                     "processor time, statements of one group",
                     "% of a core",
                     "Routing/group_engine.cpp (half of both ends)",
                     "statement.read.cpu",
                     [=](const fleet &of) {
                         return of.statementsPerSecond / of.groups * slope("statement.read.cpu") / 2 / microsPerPercent;
                     }});
    return lines;
}

std::vector<role_line> configurationLines(const fits_by_name &fits)
{
    const auto slope = [fits](const char *name) {
        return slopeOf(fits, name);
    };
    return {
        {"follower",
         "bytes of changes",
         "bytes/s",
         "wire::configuration_delta; one group a change",
         "configuration.delta",
         [=](const fleet &of) {
             constexpr double secondsPerDay = 86400;
             return of.changesPerDay / secondsPerDay * slope("configuration.delta");
         }},
        {"follower",
         "processor time, one change",
         "ms",
         "Configuration/change_set.cpp copies the snapshot",
         "configuration.apply_one_change",
         [=](const fleet &of) {
             return 2 * of.groups * slope("configuration.apply_one_change") / kilo;
         }},
        {"relay",
         "bytes of changes sent",
         "bytes/s",
         "one copy to each node of its data centre",
         "configuration.delta",
         [=](const fleet &of) {
             constexpr double secondsPerDay = 86400;
             return of.changesPerDay / secondsPerDay * of.nodes / of.dataCentres * slope("configuration.delta");
         }},
        {"operator's client",
         "check of the whole set",
         "ms",
         "Configuration/configuration_check.cpp",
         "configuration.check",
         [=](const fleet &of) {
             return 2 * of.groups * slope("configuration.check") / kilo;
         }},
        {"operator's client",
         "bytes of the snapshot",
         "KB",
         "Platform/object_codec.cpp",
         "configuration.snapshot",
         [=](const fleet &of) {
             return 2 * of.groups * slope("configuration.snapshot") / kilo;
         }},
        {"operator's client",
         "reading the snapshot",
         "ms",
         "Platform/configuration_store.cpp",
         "configuration.load_snapshot",
         [=](const fleet &of) {
             return 2 * of.groups * slope("configuration.load_snapshot") / kilo;
         }},
    };
}

std::vector<role_line> totalLines(const fits_by_name &fits)
{
    const auto slope = [fits](const std::string &name) {
        return slopeOf(fits, name);
    };
    constexpr double listsPerSecond = 1 / 0.3;
    const auto control = [=](const fleet &of) {
        const ownership_spread spread = spreadOf(of);
        const double engines = bystanderGroups(of) * slope("bystander.cpu") + spread.mostDeputyOf * slope("deputy.cpu")
                               + spread.mostOwned * slope("owner.cpu");
        return engines + listsPerSecond * of.nodes * slope("membership.merge_list");
    };
    return {
        {"node",
         "control, processor time, fullest node",
         "% of a core",
         "sum of the engines and the list; budget 2.5",
         "as above",
         [=](const fleet &of) {
             return control(of) / microsPerPercent;
         }},
        {"node",
         "control, memory",
         "MB",
         "engines, snapshot, directory; budget 32",
         "as above",
         [=](const fleet &of) {
             const double state =
                 of.groups * slope("owner.state") + 2 * of.groups * slope("configuration.state") + of.nodes * slope("membership.state");
             return state / mega;
         }},
    };
}

} // namespace

std::string rolesTable(const fits_by_name &fits)
{
    std::string table = "| Role | Figure | Today | Target | Unit | Mechanism and file | Slope |\n|---|---|---|---|---|---|---|\n";
    for (const auto &part : {entryLines(fits), engineLines(fits), configurationLines(fits), totalLines(fits)}) {
        for (const role_line &line : part) {
            table += "| " + line.role + " | " + line.figure + " | " + formatted(line.value(todaysFleet())) + " | "
                     + formatted(line.value(targetFleet())) + " | " + line.unit + " | " + line.mechanism + " | " + line.slope + " |\n";
        }
    }
    return table;
}

double relaysOf(const fleet &of)
{
    const auto nodesOfPlace = static_cast<std::size_t>(of.nodes / of.dataCentres);
    return static_cast<double>(relayCount(nodesOfPlace)) * of.dataCentres;
}

std::string platformTable()
{
    struct platform_line {
        const char *figure;
        const char *basis;
        std::function<double(const fleet &)> value;
    };
    constexpr double discoverySeconds = 0.3;
    constexpr double candidatePollSeconds = 2;
    constexpr double watchSeconds = 0.5;
    constexpr double listSeconds = 1;
    constexpr double secondsPerDay = 86400;
    const std::vector<platform_line> lines{
        {"reads/s: instances and head, were each node to poll",
         "2 a 0.3 s, as it was before relays",
         [=](const fleet &of) {
             return 2 * of.nodes / discoverySeconds;
         }},
        {"reads/s: instances and head, by relays",
         "a watch of 0.5 s and the list each second for each relay, Instance/discovery_thread.cpp; 18 seen by bench/configuration",
         [=](const fleet &of) {
             return relaysOf(of) * (1 / watchSeconds + 1 / listSeconds);
         }},
        {"waiting watches",
         "one a relay; relays grow with the square root of a data centre's nodes, Membership/relays.cpp",
         [](const fleet &of) {
             return relaysOf(of);
         }},
        {"reads/s: records, steady",
         "holders poll nothing, Ownership/group_ownership.cpp; series bystander, deputy, owner",
         [](const fleet &) {
             return 0.0;
         }},
        {"reads/s: records, all first candidates new",
         "worst case after restarts: 3 candidates a group, each 2 s; series candidate",
         [=](const fleet &of) {
             return holdersOfGroup * of.groups / candidatePollSeconds;
         }},
        {"writes/s: publications",
         "2 a change, Platform/configuration_store.cpp",
         [=](const fleet &of) {
             return 2 * of.changesPerDay / secondsPerDay;
         }},
    };
    std::string table = "| Figure | Today | Target | Ground |\n|---|---|---|---|\n";
    for (const platform_line &line : lines) {
        table += std::string("| ") + line.figure + " | " + formatted(line.value(todaysFleet())) + " | "
                 + formatted(line.value(targetFleet())) + " | " + line.basis + " |\n";
    }
    return table;
}

std::string badDaysTable()
{
    struct failure_scenario {
        const char *name;
        double lostNodes;
        double lostPrimaries;
    };
    const fleet of = targetFleet();
    constexpr double rackNodes = 16;
    constexpr double centreNodes = 130;
    constexpr double primaryShare = 0.2;
    const std::vector<failure_scenario> scenarios{
        {"one restart (each of 340 a day, 5 failures)", 1, 0},
        {"65 restarts within ten minutes", 65, 0},
        {"a rack (16 nodes at once)", rackNodes, 0},
        {"a data centre (130 nodes, a fifth of the primaries)", centreNodes, of.groups * primaryShare},
        {"all nodes cold at once", of.nodes, of.groups},
    };
    std::string table = "| Day | Owners lost | Promotions | Records written | Groups with all holders lost |\n|---|---|---|---|---|\n";
    for (const failure_scenario &scenario : scenarios) {
        const double share = scenario.lostNodes / of.nodes;
        const double owners = of.groups * share;
        const double allHolders = of.groups * share * share * share;
        const double affectedGroups = of.groups * (1 - (1 - share) * (1 - share) * (1 - share));
        table += std::string("| ") + scenario.name + " | " + formatted(owners) + " | " + formatted(std::max(owners, scenario.lostPrimaries))
                 + " | " + formatted(affectedGroups + owners) + " | " + formatted(allHolders) + " |\n";
    }
    return table;
}

} // namespace mustardrouter::bench
