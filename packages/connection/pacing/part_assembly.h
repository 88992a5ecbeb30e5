// Puts the parts together in which a peer sends a large frame.
//
//   const assembled_frame frame = addPart(assembly, {ticket, kind, totalBytes, isAborted, content}, maxFrameBytes);
//   if (frame.state == assembly_state::Invalid) closeConnection();
//   if (frame.state == assembly_state::Complete) onFrame(frame.kind, frame.payload);
//
// Parts of several frames may be interleaved; those of one frame arrive in order. The memory is bounded by the bytes
// that have arrived and by `maxOpenFrames`, not by the sizes that the peer states.
//
// Not thread safe: the state belongs to one connection.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pistachioquay {

inline constexpr std::size_t maxOpenFrames = 1024; // frames of one peer that have begun; more than a node runs at once

// A part of a frame.
struct frame_part
{
    std::uint64_t ticket = 0; // identifies the frame on its connection
    std::uint8_t kind = 0; // of the frame
    std::uint64_t totalBytes = 0; // of the frame
    bool isAborted = false; // the rest will not be sent
    std::string content;

    friend auto operator<=>(const frame_part &, const frame_part &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ticket, kind, totalBytes, isAborted, content);
    }
};

struct part_assembly
{
    struct open_frame
    {
        std::uint8_t kind = 0;
        std::uint64_t totalBytes = 0;
        std::string payload;
    };
    std::map<std::uint64_t, open_frame> frames; // by ticket
};

enum class assembly_state : std::uint8_t
{
    Incomplete,
    Complete,
    Invalid, // the part contradicts earlier ones or exceeds a limit
};

struct assembled_frame
{
    assembly_state state = assembly_state::Incomplete;
    std::uint8_t kind = 0; // if Complete
    std::string payload; // if Complete
};

// addPart adds a part to its frame, and returns the frame once it is complete.
assembled_frame addPart(part_assembly &assembly, const frame_part &part, std::size_t maxFrame);

} // namespace pistachioquay
