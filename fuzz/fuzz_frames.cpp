// Fuzzes the parsing of frames from callers, peers and databases: any input must be split into frames within its bounds,
// independently of how it is chunked, and each payload must be parsed or rejected.

#include "mustardrouter/Instance/wire_codec.h"
#include "mustardrouter/Network/frame_reader.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace
{

using namespace mustardrouter;

void parse(std::string_view payload)
{
    const auto size = static_cast<int>(payload.size());
    wire::caller_request request;
    if (request.ParseFromArray(payload.data(), size)) {
        isKnown(request.statement());
        fromWire(request.statement(), time_point{});
    }
    wire::peer_message peer;
    if (peer.ParseFromArray(payload.data(), size)) {
        fromWire(peer.from());
        fromWire(peer.forward_answer().result());
    }
    wire::database_message database;
    if (database.ParseFromArray(payload.data(), size)) {
        fromWire(database.report());
        fromWire(database.answer().result());
    }
}

/// Returns the payloads of all complete frames.
std::vector<std::string> framesOf(std::string_view rest)
{
    std::vector<std::string> frames;
    for (;;) {
        const frame_read read = readFrame(rest);
        if (read.state != frame_state::complete) {
            return frames;
        }
        if (read.consumedBytes == 0 || read.consumedBytes > rest.size() || read.payload.size() >= read.consumedBytes) {
            std::abort();
        }
        frames.emplace_back(read.payload);
        rest.remove_prefix(read.consumedBytes);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    const std::vector<std::string> frames = framesOf(input);
    for (const std::string &frame : frames) {
        parse(frame);
    }
    parse(input);
    // The frames of a prefix of the input must be a prefix of the frames of the whole input.
    const std::vector<std::string> early = framesOf(input.substr(0, size / 2));
    if (early.size() > frames.size() || !std::equal(early.begin(), early.end(), frames.begin())) {
        std::abort();
    }
    return 0;
}
