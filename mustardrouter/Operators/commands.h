#pragma once

#include "mustardrouter/Operators/command_line.h"
#include "mustardrouter/Operators/exit_code.h"

namespace mustardrouter
{

/// Runs an instance as a daemon until SIGINT or SIGTERM.
exit_code runServe(const arguments &given);
/// Runs an instance on the users' platform until it is asked to stop.
exit_code runEdge(const arguments &given);
/// Sends one statement to an entry and prints its result.
exit_code runCall(const arguments &given);
/// Publishes configuration files.
exit_code runApply(const arguments &given);
/// Validates configuration files offline.
exit_code runCheck(const arguments &given);
/// Prints the published configuration, or one object of it.
exit_code runGet(const arguments &given);
/// Lists the newest revisions of the configuration.
exit_code runHistory(const arguments &given);
/// Prints the differences between two revisions.
exit_code runDiff(const arguments &given);
/// Publishes the objects of an earlier revision as a new revision.
exit_code runRollback(const arguments &given);
/// Prints the state of an instance and its groups.
exit_code runStatus(const arguments &given);
/// Prints traces of live requests with the time spent at each hop.
exit_code runTrace(const arguments &given);
/// Orders a group's owner to promote another primary and waits until it serves.
exit_code runFailover(const arguments &given);
/// Lets an instance hand over its groups and waits until it has no requests in flight.
exit_code runDrain(const arguments &given);
/// Runs a load profile against a deployment on loopback and reports the measurements, or compares two reports.
exit_code runLoad(const arguments &given);
/// Runs edge instances with random fault injection and checks the guarantees given to their callers.
exit_code runSoak(const arguments &given);
/// Prints the timeline of a request, database, group or instance from instances' logs, or a table of refused statements.
exit_code runExplain(const arguments &given);
/// Runs a stand-in (test double) of the platform or of a database as a process of its own.
exit_code runStandIn(const arguments &given);

} // namespace mustardrouter
