// When a request that cannot meet its target is still taken. The line of a worker decides by it, and the placement
// foresees its decision.
#pragma once

namespace pistachioquay {

inline constexpr double lateWaitRuns = 0.5; // wait, in its own runs, up to which a late request is taken

} // namespace pistachioquay
