// Guards against a configuration that differs from the one that was published after it was passed on as a difference.
#include <catch2/catch.hpp>

#include "testing/property.h"
#include "version/text_delta/text_delta.h"

using namespace pistachioquay;

namespace {

std::string configWith(unsigned routes, unsigned version, unsigned changed)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"rules\":[";
    for (unsigned index = 0; index < routes; ++index) {
        text += "{\"name\":\"r-" + std::to_string(index) + "\",\"match\":{\"prefix\":\"/p" + std::to_string(index)
            + "/\"},\"timeout\":" + (index == changed ? "999" : "1000") + "},";
    }
    return text + "]}";
}

} // namespace

TEST_CASE("a changed route costs about its own size")
{
    const std::string older = configWith(1000, 7, 5000);
    const std::string newer = configWith(1000, 8, 400);
    const text_delta delta = makeDelta(older, newer);
    CHECK(applyDelta(older, delta) == newer);
    CHECK(estimateEncodedSize(delta) < newer.size() / 100);
}

TEST_CASE("a delta is not applied to another text")
{
    const text_delta delta = makeDelta(configWith(10, 7, 50), configWith(10, 8, 3));
    CHECK_FALSE(applyDelta(configWith(10, 6, 2), delta));
    CHECK_FALSE(applyDelta("", delta));
    text_delta outside = delta;
    outside.steps.front().pieces = UINT32_MAX;
    CHECK_FALSE(applyDelta(configWith(10, 7, 50), outside));
}

TEST_CASE("any two texts are turned into each other")
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
