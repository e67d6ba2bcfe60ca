#include "mustardrouter/Workspaces/key_digest.h"

#include <xxhash.h>

namespace mustardrouter
{

key_digest digestOf(const api_key &key)
{
    if (key.value().empty()) {
        return {};
    }
    return key_digest(XXH3_64bits(key.value().data(), key.value().size()) | 1U);
}

} // namespace mustardrouter
