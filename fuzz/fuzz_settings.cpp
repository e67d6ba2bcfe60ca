// Fuzzes the JSON of settings, configuration files and platform objects: any input must be parsed or rejected, and a
// parsed configuration must survive a round trip through serialization.

#include "mustardrouter/Configuration/configuration_check.h"
#include "mustardrouter/Platform/object_codec.h"
#include "mustardrouter/Runtime/json_settings.h"

#include <google/protobuf/stubs/logging.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace mustardrouter;

template<typename Message>
bool read(const std::string &text, Message &message)
{
    return handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_CHECK(readJson(text, "input", message));
            return true;
        },
        [](const error &) {
            return false;
        });
}

void checkRevision(const objects::configuration_revision &message)
{
    handleErrors(
        [&]() -> result_of<bool> {
            BOOST_LEAF_AUTO(changes, fromSchema(message));
            checkChanges({}, changes);
            objects::configuration_revision again;
            toSchema(changes, again);
            BOOST_LEAF_AUTO(reread, fromSchema(again));
            if (!(reread == changes)) {
                std::abort();
            }
            return true;
        },
        [](const error &) {
            return false;
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const google::protobuf::LogSilencer silencer;
    const std::string text(reinterpret_cast<const char *>(data), size);
    objects::instance_settings settings;
    read(text, settings);
    objects::configuration_head head;
    read(text, head);
    objects::configuration_revision revision;
    if (read(text, revision)) {
        checkRevision(revision);
    }
    isIpAndPort(text);
    return 0;
}
