// Guards against a delta that is larger than the change needs, and against one that yields another text than the
// published configuration, because it was applied to the wrong older text or was built wrongly.
#include <catch2/catch.hpp>

#include "testing/property.h"
#include "version/text_delta/text_delta.h"

using namespace pistachioquay;

namespace {

std::string makeConfig(unsigned routes, unsigned version, unsigned changedRoute)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"rules\":[";
    for (unsigned index = 0; index < routes; ++index) {
        text += "{\"name\":\"r-" + std::to_string(index) + "\",\"match\":{\"prefix\":\"/p" + std::to_string(index)
            + "/\"},\"timeout\":" + (index == changedRoute ? "999" : "1000") + "},";
    }
    return text + "]}";
}

} // namespace

TEST_CASE("the delta of one changed route is under 1% of the text")
{
    const std::string older = makeConfig(1000, 7, 5000);
    const std::string newer = makeConfig(1000, 8, 400);
    const text_delta delta = makeDelta(older, newer);
    CHECK(applyDelta(older, delta) == newer);
    CHECK(estimateEncodedSize(delta) < newer.size() / 100);
}

TEST_CASE("applyDelta rejects another older text and a chunk range out of bounds")
{
    const text_delta delta = makeDelta(makeConfig(10, 7, 50), makeConfig(10, 8, 3));
    CHECK_FALSE(applyDelta(makeConfig(10, 6, 2), delta));
    CHECK_FALSE(applyDelta("", delta));
    text_delta outOfRange = delta;
    outOfRange.steps.front().chunkCount = UINT32_MAX;
    CHECK_FALSE(applyDelta(makeConfig(10, 7, 50), outOfRange));
}

TEST_CASE("applyDelta restores the newer text for added, removed, reordered and repeated chunks")
{
    for (const auto &[older, newer] : std::vector<std::pair<std::string, std::string>>{{"", ""},
                                                                                       {"", "a}b"},
                                                                                       {"a}b", ""},
                                                                                       {"a}a}a}", "a}"},
                                                                                       {"x}y}z", "z}y}x}"},
                                                                                       {"a}b}c}", "a}b}c}a}b}c}d"}}) {
        CHECK(applyDelta(older, makeDelta(older, newer)) == newer);
    }
}
