// Difference between two versions of a configuration text, for nodes that have the older one.
//
//   const text_delta delta = makeDelta(older, newer);
//   const std::optional<std::string> text = applyDelta(older, delta);   // empty: `older` is not the right one
//
// Texts are cut into pieces behind each `}`, so that a changed route costs about its own size, wherever it stands. A
// delta carries the hash of its result, so it is never applied to another text than the one it was made for.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioquay {

// One step: copy pieces of the older text, then append new text.
struct delta_step
{
    std::uint32_t firstPiece = 0;
    std::uint32_t pieces = 0;
    std::string added;

    friend auto operator<=>(const delta_step &, const delta_step &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(firstPiece, pieces, added);
    }
};

struct text_delta
{
    std::uint64_t resultHash = 0;
    std::vector<delta_step> steps;

    friend bool operator==(const text_delta &, const text_delta &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(resultHash, steps);
    }
};

// makeDelta returns what turns `older` into `newer`. Thread safe.
text_delta makeDelta(std::string_view older, std::string_view newer);

// applyDelta returns the newer text; empty if the delta does not fit `older`. Thread safe.
std::optional<std::string> applyDelta(std::string_view older, const text_delta &delta);

// estimateEncodedSize returns about how many bytes the delta takes on the wire. Thread safe.
std::size_t estimateEncodedSize(const text_delta &delta);

} // namespace pistachioquay
