#include "mustardrouter/Platform/object_api.h"

namespace mustardrouter
{

object_api objectApiOf(platform_client &platform)
{
    object_api api;
    api.get = [&platform](const std::string &key) {
        return platform.get(key);
    };
    api.put = [&platform](const platform_object &object) {
        return platform.put(object);
    };
    api.remove = [&platform](const platform_object &object) {
        return platform.remove(object);
    };
    api.list = [&platform](const std::string &prefix) {
        return platform.list(prefix);
    };
    return api;
}

} // namespace mustardrouter
