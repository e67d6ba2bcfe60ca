#pragma once

#include "mustardrouter/Edge/object_watch.h"
#include "mustardrouter/Membership/change_log.h"
#include "mustardrouter/Schema/relay.pb.h"
#include "platform/stored_objects.h"

namespace mustardrouter
{

/// Tells an object to one whose copy is at `known`: that it is unchanged, the differences of which one begins at what it may have, or
/// the whole content, of `maxBytes` at most.
void tellObject(const platform::stored_object &object,
                store_position known,
                const lacking_changes &lacking,
                std::size_t maxBytes,
                relay::told_object &sent);

/// Adds an object that was told to what brings the copy to `told.to`; false if it is damaged or does not follow from the copy.
bool takeObject(const relay::told_object &object, const object_watch::objects &copy, object_watch::told_changes &told);

} // namespace mustardrouter
