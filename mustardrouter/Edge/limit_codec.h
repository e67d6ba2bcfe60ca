#pragma once

#include "mustardrouter/Schema/relay.pb.h"
#include "mustardrouter/Workspaces/limit_message.h"

#include <optional>

namespace mustardrouter
{

relay::relay_message encodeLimitMessage(const limit_message &message);
/// Nothing if the message is of a kind that this build does not know.
std::optional<limit_message> decodeLimitMessage(const relay::limit_message &encoded);

} // namespace mustardrouter
