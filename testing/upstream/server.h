// HTTP edge of the stand-in worker, on libmicrohttpd with one thread for each connection.
//
//   worker_server server(options);
//   if (!server.start()) return 1;
//   waitForSignal();
//   server.drain(milliseconds(30'000));
//
// Headers of requests: `X-Test-Request-Id` (recorded, echoed in headers and body), `X-Test-Service-Ms`, `X-Test-Crash:
// 1` (the process exits with status 3 after the service time), `X-Test-Response-Bytes` (least size of the response
// body). The response body is {"request_id": ..., "worker": ..., "bytes": ..., "hash": ..., "padding": ...}.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include <microhttpd.h>
#include <netinet/in.h>

#include "base/endpoint.h"
#include "testing/upstream/behaviour.h"
#include "testing/upstream/run_record.h"
#include "testing/upstream/slots.h"

namespace pistachioquay {

struct worker_options
{
    endpoint address;
    std::uint32_t slots = 6;
    bool isWaitAllowed = true; // requests beyond the slots wait, or get 503
    service_options service;
    std::uint64_t seed = 1;
    milliseconds coldStart{0}; // for this time after the start, service times are multiplied by `coldFactor`
    double coldFactor = 5;
    worker_behaviour behaviour;
    std::string recordFile;
};

namespace internal {
struct exchange;
}

// `start` and `drain` belong to one thread; requests run on threads of the HTTP library.
class worker_server
{
public:
    explicit worker_server(const worker_options &options);
    ~worker_server();
    worker_server(const worker_server &) = delete;
    worker_server &operator=(const worker_server &) = delete;

    // start opens the port and the record; false if either cannot be opened.
    bool start();

    // drain refuses new requests, waits at most `atMost` for open ones to end, and closes the port.
    void drain(milliseconds atMost);

private:
    static MHD_Result onRequest(void *self,
                                MHD_Connection *connection,
                                const char *path,
                                const char *method,
                                const char *version,
                                const char *data,
                                std::size_t *size,
                                void **context);
    static void onCompleted(void *self, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code);

    MHD_Result begin(internal::exchange &exchange);
    MHD_Result finish(internal::exchange &exchange);
    MHD_Result run(internal::exchange &exchange);
    MHD_Result answerControl(internal::exchange &exchange);
    MHD_Result answerRun(internal::exchange &exchange);
    MHD_Result setBehaviour(internal::exchange &exchange);
    void endRun(internal::exchange &exchange, std::uint32_t status, bool isCancelled);
    duration serviceTime(const internal::exchange &exchange);
    worker_behaviour behaviour() const;
    std::string loadJson() const;

    worker_options m_options;
    sockaddr_in m_listenAddress{};
    slot_pool m_slots;
    run_record m_record;
    service_times m_times;
    mutable std::mutex m_mutex;
    worker_behaviour m_behaviour;
    time_point m_startedAt;
    std::atomic<int> m_open = 0;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace pistachioquay
