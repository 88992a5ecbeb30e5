// HTTP edge of the stand-in of the platform log.
//
//   log_server server({address, retention});
//   if (!server.start()) return 1;
//   while (!isStopRequested()) server.tick(steadyNow());
//   server.stop();
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>

#include <netinet/in.h>
#include <ulfius.h>

#include "base/endpoint.h"
#include "testing/platform_log/faults.h"
#include "testing/platform_log/store.h"

namespace pistachioquay {

struct log_server_options
{
    endpoint address;
    milliseconds retention{0};
};

// `start`, `tick` and `stop` belong to one thread; requests run on threads of the HTTP library.
class log_server
{
public:
    explicit log_server(const log_server_options &options);
    ~log_server();
    log_server(const log_server &) = delete;
    log_server &operator=(const log_server &) = delete;

    // start opens the port; false if it cannot be opened.
    bool start();

    // tick closes or opens the port again as a refusal fault demands.
    void tick(time_point now);

    // stop wakes waiting reads and closes the port.
    void stop();

private:
    static int onAppend(const _u_request *request, _u_response *response, void *self);
    static int onRead(const _u_request *request, _u_response *response, void *self);
    static int onFaults(const _u_request *request, _u_response *response, void *self);
    static int onStats(const _u_request *request, _u_response *response, void *self);

    int append(const _u_request *request, _u_response *response);
    int read(const _u_request *request, _u_response *response);
    int setFaults(const _u_request *request, _u_response *response);
    void writeStats(_u_response *response);
    stored_range waitAndRead(const _u_request *request);
    bool delayAndCheckUp(_u_response *response);
    bool checkAppend(const _u_request *request, _u_response *response);
    log_faults faults() const;

    log_server_options m_options;
    sockaddr_in m_listenAddress{};
    std::unique_ptr<_u_instance> m_instance;
    mutable std::mutex m_mutex;
    std::condition_variable m_appended;
    bool m_isStopping = false;
    log_store m_store;
    log_faults m_faults;
    append_rate m_rate;
    time_point m_refuseFrom{};
    time_point m_refuseUntil{};
};

} // namespace pistachioquay
