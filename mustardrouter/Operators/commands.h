#pragma once

#include "mustardrouter/Operators/command_line.h"
#include "mustardrouter/Operators/exit_code.h"

namespace mustardrouter
{

/// Runs the daemon until it is told to stop.
exit_code runServe(const arguments &given);
/// Runs an instance on the users' platform until it is told to stop.
exit_code runEdge(const arguments &given);
/// Runs one statement as a caller.
exit_code runCall(const arguments &given);
/// Publishes configuration files.
exit_code runApply(const arguments &given);
/// Checks configuration files without publishing them.
exit_code runCheck(const arguments &given);
/// Shows the published configuration.
exit_code runGet(const arguments &given);
/// Shows the newest revisions.
exit_code runHistory(const arguments &given);
/// Shows what changed between two revisions.
exit_code runDiff(const arguments &given);
/// Publishes the objects of an earlier revision as a new one.
exit_code runRollback(const arguments &given);
/// Shows the state of an instance and its groups.
exit_code runStatus(const arguments &given);
/// Shows what became of live requests at each hop.
exit_code runTrace(const arguments &given);
/// Moves a group's primary.
exit_code runFailover(const arguments &given);
/// Hands over an instance's groups.
exit_code runDrain(const arguments &given);
/// Measures a deployment on loopback under a load profile, or compares two reports.
exit_code runLoad(const arguments &given);
/// Runs instances on the users' platform under random faults and checks the promises to their callers.
exit_code runSoak(const arguments &given);
/// Tells from the logs of instances what became of a request, or why statements were refused.
exit_code runExplain(const arguments &given);
/// Runs a stand-in of the platform or of a database.
exit_code runStandIn(const arguments &given);

} // namespace mustardrouter
