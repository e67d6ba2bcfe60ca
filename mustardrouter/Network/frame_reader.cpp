#include "mustardrouter/Network/frame_reader.h"

#include <google/protobuf/io/coded_stream.h>

namespace mustardrouter
{

frame_read readFrame(std::string_view bytes)
{
    constexpr std::size_t maxPrefixBytes = 5;
    google::protobuf::io::CodedInputStream prefix(reinterpret_cast<const std::uint8_t *>(bytes.data()), static_cast<int>(bytes.size()));
    std::uint32_t size = 0;
    if (!prefix.ReadVarint32(&size)) {
        const bool prefixTooLong = bytes.size() >= maxPrefixBytes;
        return {
            prefixTooLong ? frame_state::invalid : frame_state::partial, {}, 0, prefixTooLong ? failure::malformedFrame : failure::none};
    }
    if (size > maxFrameBytes) {
        return {frame_state::invalid, {}, 0, failure::frameTooLarge};
    }
    const auto prefixBytes = static_cast<std::size_t>(prefix.CurrentPosition());
    if (bytes.size() < prefixBytes + size) {
        return {};
    }
    return {frame_state::complete, bytes.substr(prefixBytes, size), prefixBytes + size, failure::none};
}

} // namespace mustardrouter
