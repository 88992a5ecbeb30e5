#include "connection/pacing/part_assembly.h"

#include <utility>

namespace pistachioquay {

assembled_frame addPart(part_assembly &assembly, const frame_part &part, std::size_t maxFrame)
{
    if (part.isAborted) {
        assembly.frames.erase(part.ticket);
        return {};
    }
    const auto [found, isNew] = assembly.frames.try_emplace(part.ticket);
    part_assembly::open_frame &frame = found->second;
    if (isNew) {
        frame.kind = part.kind;
        frame.totalBytes = part.totalBytes;
    }
    const bool isSameFrame = frame.kind == part.kind && frame.totalBytes == part.totalBytes;
    const bool isInLimits = assembly.frames.size() <= maxOpenFrames && frame.totalBytes <= maxFrame
        && part.content.size() <= frame.totalBytes - frame.payload.size() && !part.content.empty();
    if (!isSameFrame || !isInLimits) {
        assembly.frames.erase(found);
        return {assembly_state::Invalid, 0, {}};
    }
    frame.payload += part.content;
    if (frame.payload.size() < frame.totalBytes) {
        return {};
    }
    assembled_frame complete{assembly_state::Complete, frame.kind, std::move(frame.payload)};
    assembly.frames.erase(found);
    return complete;
}

} // namespace pistachioquay
