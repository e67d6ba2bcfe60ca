// Fuzzes what an instance on the users' platform receives: lines of clients, of databases and of relaying instances, messages between
// instances, and objects of the store. Any input must be decoded or rejected without an exception.

#include "mustardrouter/Edge/limit_codec.h"
#include "mustardrouter/Schema/relay.pb.h"
#include "platform/line_codec.h"
#include "platform/stored_objects.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace
{

using namespace mustardrouter;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void decodeLines(std::string_view lines)
{
    platform::reply_assembler assembler;
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find('\n'));
        lines.remove_prefix(std::min(lines.size(), line.size() + 1));
        platform::decodeClientLine(line);
        platform::decodeRelayedLine(line);
        platform::assemble(assembler, line);
    }
}

void decodeMessage(std::string_view payload)
{
    relay::relay_message message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return;
    }
    decodeLines(message.statements().lines());
    if (message.has_limit()) {
        if (const std::optional<limit_message> limit = decodeLimitMessage(message.limit())) {
            // What was decoded can be passed on and is decoded to the same again.
            const relay::relay_message passedOn = encodeLimitMessage(*limit);
            const std::optional<limit_message> same = decodeLimitMessage(passedOn.limit());
            require(same && encodeLimitMessage(*same).SerializeAsString() == passedOn.SerializeAsString());
        }
    }
    decodeLines(message.replies().lines());
    // What an instance passes on, another must be able to read.
    relay::relay_message again;
    require(again.ParseFromString(message.SerializeAsString()));
    require(again.SerializeAsString() == message.SerializeAsString());
}

void checkConfiguration(const platform::stored_object &object)
{
    std::string problem;
    const std::optional<route_table> table = platform::decodeConfiguration(object, problem);
    require(table.has_value() || !problem.empty());
    if (!table) {
        return;
    }
    for (const auto &[key, name] : table->workspaces.workspaceByKey) {
        require(!key.value().empty() && table->workspaces.workspaces.contains(name));
    }
    for (const auto &[name, one] : table->workspaces.workspaces) {
        require(!name.value().empty() && name == one.name);
        require(!one.limit || (one.limit->operationsPerSecond >= 0 && one.limit->burst >= 0));
    }
}

void decodeObject(const platform::stored_object &object)
{
    std::string problem;
    checkConfiguration(object);
    platform::decodeDatabase(object, problem);
    platform::decodeInstance(object);
    platform::decodeClaim(object);
}

void decodeBody(const std::string &body)
{
    const store_era era{1};
    if (const auto page = platform::decodePage(body, era)) {
        for (const platform::stored_object &object : page->objects) {
            decodeObject(object);
        }
    }
    if (const auto changes = platform::decodeChanges(body, era)) {
        for (const platform::object_change &change : changes->changes) {
            decodeObject(change.object);
        }
    }
    if (const auto object = platform::decodeObject(body, era)) {
        decodeObject(*object);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string input(reinterpret_cast<const char *>(data), size);
    decodeLines(input);
    decodeMessage(input);
    decodeBody(input);
    // Most inputs are no whole object, so the input is taken as the content of one too.
    decodeBody(R"({"meta":{"name":"main","revision":4},"spec":)" + input + "}");
    return 0;
}
