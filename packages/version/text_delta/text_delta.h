// Delta between two versions of a configuration text, sent to nodes that already have the older version.
//
//   const text_delta delta = makeDelta(older, newer);
//   const std::optional<std::string> text = applyDelta(older, delta);   // empty: wrong older text
//
// Texts are split into chunks after each `}`, so that a changed route adds about its own size to the delta, wherever it
// is in the text. A delta contains the hash of its result, so that applyDelta detects a wrong older
// text and returns nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioquay {

// One step: copies a range of chunks of the older text, then appends new text.
struct delta_step
{
    std::uint32_t firstChunk = 0;
    std::uint32_t chunkCount = 0;
    std::string newText;

    friend auto operator<=>(const delta_step &, const delta_step &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(firstChunk, chunkCount, newText);
    }
};

struct text_delta
{
    std::uint64_t resultHash = 0; // hash64 of the newer text
    std::vector<delta_step> steps;

    friend bool operator==(const text_delta &, const text_delta &) = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(resultHash, steps);
    }
};

// makeDelta returns the delta from `older` to `newer`. Thread safe.
text_delta makeDelta(std::string_view older, std::string_view newer);

// applyDelta returns the newer text; empty if the delta was not made from `older`. Thread safe.
std::optional<std::string> applyDelta(std::string_view older, const text_delta &delta);

// estimateEncodedSize estimates the encoded size of the delta in bytes. Thread safe.
std::size_t estimateEncodedSize(const text_delta &delta);

} // namespace pistachioquay
