#include "version/text_delta/text_delta.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

#include "base/hash.h"

namespace pistachioquay {

namespace {

constexpr std::size_t stepOverheadBytes = 8; // upper estimate: chunk numbers and text length of a step

std::vector<std::string_view> splitIntoChunks(std::string_view text)
{
    std::vector<std::string_view> chunks;
    while (!text.empty()) {
        const auto end = text.find('}');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        chunks.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return chunks;
}

// Adds the next chunk of the newer text to `steps`. `olderIndex` is the index of an equal chunk of the older text, if
// there is one: that chunk is copied, as part of the last step where it continues the range that the step copies.
void appendChunk(std::vector<delta_step> &steps, std::string_view chunk, std::optional<std::uint32_t> olderIndex)
{
    if (!olderIndex) {
        if (steps.empty()) {
            steps.emplace_back();
        }
        steps.back().newText += chunk;
        return;
    }
    const bool continuesCopy = !steps.empty() && steps.back().newText.empty()
        && steps.back().firstChunk + steps.back().chunkCount == *olderIndex && steps.back().chunkCount > 0;
    if (continuesCopy) {
        ++steps.back().chunkCount;
    } else {
        steps.push_back({*olderIndex, 1, {}});
    }
}

} // namespace

text_delta makeDelta(std::string_view older, std::string_view newer)
{
    std::unordered_map<std::string_view, std::uint32_t> indexOfChunk;
    const std::vector<std::string_view> olderChunks = splitIntoChunks(older);
    for (std::uint32_t index = 0; index < olderChunks.size(); ++index) {
        indexOfChunk.emplace(olderChunks[index], index);
    }
    text_delta delta;
    delta.resultHash = hash64(newer);
    for (const std::string_view chunk : splitIntoChunks(newer)) {
        // Prefers the chunk after the last copied one, because equal chunks may occur several times in the older text.
        const std::uint32_t next =
            delta.steps.empty() ? 0 : delta.steps.back().firstChunk + delta.steps.back().chunkCount;
        const auto found = indexOfChunk.find(chunk);
        if (next < olderChunks.size() && olderChunks[next] == chunk) {
            appendChunk(delta.steps, chunk, next);
        } else {
            appendChunk(delta.steps, chunk, found == indexOfChunk.end() ? std::nullopt : std::optional(found->second));
        }
    }
    return delta;
}

std::optional<std::string> applyDelta(std::string_view older, const text_delta &delta)
{
    const std::vector<std::string_view> chunks = splitIntoChunks(older);
    std::string newer;
    for (const delta_step &step : delta.steps) {
        if (step.firstChunk > chunks.size() || step.chunkCount > chunks.size() - step.firstChunk) {
            return std::nullopt;
        }
        for (std::uint32_t index = 0; index < step.chunkCount; ++index) {
            newer += chunks[step.firstChunk + index];
        }
        newer += step.newText;
    }
    return hash64(newer) == delta.resultHash ? std::optional(std::move(newer)) : std::nullopt;
}

std::size_t estimateEncodedSize(const text_delta &delta)
{
    return std::accumulate(delta.steps.begin(),
                           delta.steps.end(),
                           stepOverheadBytes,
                           [](std::size_t sum, const auto &step) {
                               return sum + stepOverheadBytes + step.newText.size();
                           });
}

} // namespace pistachioquay
