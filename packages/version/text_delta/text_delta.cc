#include "version/text_delta/text_delta.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

#include "base/hash.h"

namespace pistachioquay {

namespace {

constexpr std::size_t stepOverhead = 8; // numbers and length of a step, at most about

std::vector<std::string_view> piecesOf(std::string_view text)
{
    std::vector<std::string_view> pieces;
    while (!text.empty()) {
        const auto end = text.find('}');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        pieces.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return pieces;
}

// Appends a piece to the last step, as a copy if it continues that of the step.
void appendPiece(std::vector<delta_step> &steps, std::string_view piece, std::optional<std::uint32_t> known)
{
    if (!known) {
        if (steps.empty()) {
            steps.emplace_back();
        }
        steps.back().added += piece;
        return;
    }
    const bool continues = !steps.empty() && steps.back().added.empty()
        && steps.back().firstPiece + steps.back().pieces == *known && steps.back().pieces > 0;
    if (continues) {
        ++steps.back().pieces;
    } else {
        steps.push_back({*known, 1, {}});
    }
}

} // namespace

text_delta makeDelta(std::string_view older, std::string_view newer)
{
    std::unordered_map<std::string_view, std::uint32_t> known;
    const std::vector<std::string_view> olderPieces = piecesOf(older);
    for (std::uint32_t index = 0; index < olderPieces.size(); ++index) {
        known.emplace(olderPieces[index], index);
    }
    text_delta delta;
    delta.resultHash = hash64(newer);
    for (const std::string_view piece : piecesOf(newer)) {
        // The piece that follows the last copy goes first, since equal pieces may stand in several places.
        const std::uint32_t next = delta.steps.empty() ? 0 : delta.steps.back().firstPiece + delta.steps.back().pieces;
        const auto found = known.find(piece);
        if (next < olderPieces.size() && olderPieces[next] == piece) {
            appendPiece(delta.steps, piece, next);
        } else {
            appendPiece(delta.steps, piece, found == known.end() ? std::nullopt : std::optional(found->second));
        }
    }
    return delta;
}

std::optional<std::string> applyDelta(std::string_view older, const text_delta &delta)
{
    const std::vector<std::string_view> pieces = piecesOf(older);
    std::string text;
    for (const delta_step &step : delta.steps) {
        if (step.firstPiece > pieces.size() || step.pieces > pieces.size() - step.firstPiece) {
            return std::nullopt;
        }
        for (std::uint32_t index = 0; index < step.pieces; ++index) {
            text += pieces[step.firstPiece + index];
        }
        text += step.added;
    }
    return hash64(text) == delta.resultHash ? std::optional(std::move(text)) : std::nullopt;
}

std::size_t estimateEncodedSize(const text_delta &delta)
{
    return std::accumulate(delta.steps.begin(), delta.steps.end(), stepOverhead, [](std::size_t sum, const auto &step) {
        return sum + stepOverhead + step.added.size();
    });
}

} // namespace pistachioquay
