#include "testing/upstream/response_body.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace pistachioquay {

namespace {

struct body_source
{
    std::string body;
    body_faults faults;
};

ssize_t readBody(void *context, std::uint64_t position, char *target, std::size_t max)
{
    auto &source = *static_cast<body_source *>(context);
    const std::size_t half = source.body.size() / 2;
    const bool isFirstHalf = position < half;
    if (!isFirstHalf && source.faults.stall.count() > 0) {
        std::this_thread::sleep_for(std::exchange(source.faults.stall, milliseconds(0)));
    }
    if (!isFirstHalf && source.faults.truncates) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (position >= source.body.size()) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    const std::size_t end = isFirstHalf ? half : source.body.size();
    const std::size_t size = std::min<std::size_t>(max, end - position);
    std::copy_n(source.body.data() + position, size, target);
    return static_cast<ssize_t>(size);
}

void freeBody(void *context)
{
    delete static_cast<body_source *>(context);
}

} // namespace

MHD_Response *makeBody(std::string body, const body_faults &faults)
{
    constexpr std::size_t blockBytes = 65'536;
    const std::uint64_t size = faults.isChunked ? MHD_SIZE_UNKNOWN : body.size();
    auto *source = new body_source{std::move(body), faults};
    return MHD_create_response_from_callback(size, blockBytes, &readBody, source, &freeBody);
}

} // namespace pistachioquay
