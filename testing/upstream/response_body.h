// Bodies of worker responses, with the faults that a test asks for.
//
//   MHD_Response *response = makeBody("{}", {.stall = milliseconds(500), .truncates = true});
#pragma once

#include <string>

#include <microhttpd.h>

#include "base/clock.h"

namespace pistachioquay {

struct body_faults
{
    milliseconds stall{0}; // pause after half of the body
    bool truncates = false; // the connection closes after half of the body
    bool isChunked = false; // no Content-Length
};

// makeBody creates a response that sends `body`. The caller destroys it. Thread safe.
MHD_Response *makeBody(std::string body, const body_faults &faults);

} // namespace pistachioquay
