#pragma once

#include "mustardrouter/Configuration/change_set.h"
#include "mustardrouter/Configuration/configuration_snapshot.h"
#include "mustardrouter/Ownership/ownership_record.h"
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Schema/objects.pb.h"

#include <vector>

namespace mustardrouter
{

/// Converts one configuration object from its schema message; failure::invalidConfiguration when it
/// has no kind or an unknown kind of read rule.
result_of<configuration_object> fromSchema(const objects::configuration_object &message);

/// Converts one configuration object to its schema message.
objects::configuration_object toSchema(const configuration_object &object);

/// Reads the set of changes of a revision.
result_of<change_set> fromSchema(const objects::configuration_revision &message);

/// Writes a set of changes into a revision.
void toSchema(const change_set &changes, objects::configuration_revision &message);

/// Converts a group's ownership record from its schema message; `version` is that of the platform object.
ownership_record fromSchema(const objects::ownership_record &message, std::uint64_t version);

/// Converts a group's ownership record to its schema message.
objects::ownership_record toSchema(const ownership_record &record, const group_name &group);

} // namespace mustardrouter
