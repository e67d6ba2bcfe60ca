#include "mustardrouter/Workspaces/limit_message.h"

namespace mustardrouter
{

bool isReply(const limit_message &message)
{
    return std::holds_alternative<limit_loans>(message.content) || std::holds_alternative<limit_grants>(message.content)
           || std::holds_alternative<limit_join_known>(message.content);
}

} // namespace mustardrouter
