#include "process/node/node.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "connection/wire/codec.h"
#include "process/membership/gossip.h"
#include "process/metrics/metrics.h"
#include "process/node/claim_service.h"
#include "process/node/config_store.h"
#include "process/node/control.h"
#include "process/node/log_reader.h"
#include "process/node/pause.h"
#include "process/node/rendezvous.h"
#include "process/node/status_json.h"
#include "process/node/sync_client.h"
#include "process/node/sync_server.h"
#include "process/node/worker_health.h"
#include "request/proxy/proxy.h"
#include "version/fold/edit_record.h"
#include "version/fold/snapshot.h"

namespace pistachioquay {

namespace {

constexpr milliseconds announceInterval{200};
constexpr milliseconds eventWait{250};
constexpr seconds logTimeout{3};
constexpr milliseconds portCloseWait{100}; // time for a dying worker to close its port after it has closed a connection
// Before it knows its peers, every starting node would count itself as a reader, and after a restart of a whole data
// centre every node would read the log. So a node with seeds becomes a reader only after a delay, which is longer and
// random while no peer has responded.
constexpr milliseconds minReaderDelay{1500};
constexpr milliseconds noPeerReaderDelay{2500};
constexpr milliseconds noPeerReaderJitter{2500};

member ownMember(const node_settings &settings)
{
    member own;
    own.nodeId = settings.nodeId;
    own.started = static_cast<std::uint64_t>(unixNowMs());
    own.dataCentre = settings.dataCentre;
    own.service = settings.service;
    own.gossip = settings.gossipAddress;
    own.sync = settings.syncAddress;
    own.peer = settings.peerAddress;
    own.control = settings.controlAddress;
    own.slots = settings.slots;
    own.schema = recordSchema;
    return own;
}

proxy_options proxyOptionsOf(const node_settings &settings)
{
    return {
        .callerAddress = settings.callerAddress,
        .peerAddress = settings.peerAddress,
        .upstream = settings.upstream,
        .service = settings.service,
        .dataCentre = settings.dataCentre,
        .nodeId = settings.nodeId,
        .slots = settings.slots,
        .maxConnections = settings.maxConnections,
    };
}

// isReaderEligible returns whether a node that started `sinceStart` ago may be a reader. `noPeerReaderWait` is the
// delay while no peer has responded.
bool isReaderEligible(bool hasSeeds, bool isAnswered, duration sinceStart, duration noPeerReaderWait)
{
    if (!hasSeeds) {
        return true;
    }
    return isAnswered ? sinceStart >= minReaderDelay : sinceStart >= noPeerReaderWait;
}

} // namespace

struct node::components
{
    explicit components(const node_settings &given)
        : settings(given)
        , store(given.dataCentre)
        , syncClient(given.nodeId,
                     store,
                     events,
                     [this](const std::string &encoded) {
                         applyMemberList(encoded);
                     })
        , workerHealth(given.upstream, [this] {
            announce();
        })
    {
    }

    result<void> openPorts();
    void startThreads();
    void stopThreads();
    void announce();
    void applyMemberList(const std::string &encoded);
    std::optional<std::uint32_t> readerRank();
    pull_response respondToPull(const pull_request &request);
    void runEvents(const std::stop_token &stop);
    void applyEvent(version_event event, time_point now);
    void recordPeerProgress(time_point now);
    void recordSample(const request_sample &sample);
    bool servesKeyedRequests() const;
    claim_sources claimSources();
    bool isWorkerPortClosed() const;
    void broadcastReports(const std::vector<crash_report> &reports);
    status_inputs statusInputs() const;

    const node_settings &settings;
    const time_point startedAt = steadyNow();
    random_generator generator = seededFromDevice();
    const duration noPeerReaderWait =
        noPeerReaderDelay + fullJitter(noPeerReaderJitter, noPeerReaderJitter, 0, generator);
    config_store store;
    version_event_queue events{versionEventQueueCapacity};
    sync_client syncClient;
    worker_health workerHealth;
    metrics requestMetrics;
    std::atomic<bool> isDraining = false;
    std::unique_ptr<gossip_service> gossip;
    std::unique_ptr<proxy> requestProxy;
    std::unique_ptr<sync_server> syncServer;
    std::unique_ptr<control_server> controlServer;
    std::unique_ptr<log_reader> logReader;
    std::unique_ptr<rendezvous_task> rendezvousTask;
    std::unique_ptr<claim_service> claimService;
    std::vector<std::jthread> threads;
};

result<void> node::components::openPorts()
{
    membership_options options{ownMember(settings), settings.seeds};
    BOOST_LEAF_AUTO(listener, listenTcp(settings.syncAddress));
    syncServer = std::make_unique<sync_server>(std::move(listener), [this](const pull_request &request) {
        return respondToPull(request);
    });
    BOOST_LEAF_ASSIGN(gossip, startGossip(std::move(options), [this](const pull &wanted) {
                          syncClient.enqueuePull({wanted.sync, wanted.position, wanted.kind == pull_kind::MemberList});
                      }));
    claimService = std::make_unique<claim_service>(log_target{settings.platformLog, logTimeout}, [this] {
        return servesKeyedRequests();
    });
    requestProxy = std::make_unique<proxy>(proxyOptionsOf(settings),
                                           proxy_sources{
                                               .config =
                                                   [this] {
                                                       return store.config();
                                                   },
                                               .workers =
                                                   [this] {
                                                       return gossip->view();
                                                   },
                                               .isAccepting =
                                                   [this] {
                                                       return gossip->isAccepting();
                                                   },
                                               .claims = claimSources(),
                                               .isWorkerPortClosed =
                                                   [this] {
                                                       return isWorkerPortClosed();
                                                   },
                                               .broadcastReports =
                                                   [this](const std::vector<crash_report> &reports) {
                                                       broadcastReports(reports);
                                                   },
                                               .observe =
                                                   [this](const request_sample &sample) {
                                                       recordSample(sample);
                                                   },
                                           });
    BOOST_LEAF_CHECK(requestProxy->start());
    controlServer = std::make_unique<control_server>(
        settings.controlAddress,
        control_sources{
            .status =
                [this] {
                    return statusJson(statusInputs());
                },
            .report =
                [this] {
                    return reportJson(settings.nodeId, settings.dataCentre, requestMetrics.snapshot(steadyNow()));
                },
        });
    return controlServer->start();
}

void node::components::startThreads()
{
    const log_target target{settings.platformLog, logTimeout};
    const snapshot_policy policy{.retention = settings.logRetention};
    logReader =
        std::make_unique<log_reader>(log_reader_options{target, policy}, store, events, log_reader_sources{[this] {
                                         return readerRank();
                                     }});
    claimService->start();
    rendezvousTask = std::make_unique<rendezvous_task>(target, settings.dataCentre, *gossip);
    syncServer->start();
    threads.emplace_back([this](const std::stop_token &stop) {
        runEvents(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        syncClient.run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        logReader->run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        rendezvousTask->run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        workerHealth.run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            announce();
            pauseFor(announceInterval, stop);
        }
    });
}

void node::components::stopThreads()
{
    std::ranges::for_each(threads, [](std::jthread &each) {
        each.request_stop();
    });
    threads.clear();
    if (syncServer) {
        syncServer->stop();
    }
    if (controlServer) {
        controlServer->stop();
    }
    if (requestProxy) {
        requestProxy->stop();
    }
    if (claimService) {
        claimService->stop();
    }
    gossip.reset();
}

void node::components::announce()
{
    const fold_progress progress = store.progressForPeers();
    const proxy_status load = requestProxy->status();
    const member_state worker = workerHealth.isReady() ? member_state::Ready : member_state::Starting;
    gossip->setLocal(progress.version, progress.position, worker, {load.running, load.waiting});
}

void node::components::applyMemberList(const std::string &encoded)
{
    decode_counters counters;
    const auto list = attempt([&] {
        return decodeMessage<member_list>(encoded, memberListFormat, counters);
    });
    if (!list) {
        LOG(WARNING) << "[gossip] Cannot decode a member list. " << describe(list.failure());
        return;
    }
    gossip->onMemberList(*list);
}

std::optional<std::uint32_t> node::components::readerRank()
{
    const bool isAnswered = gossip->status().isAnswered;
    if (isDraining
        || !isReaderEligible(!settings.seeds.empty(), isAnswered, steadyNow() - startedAt, noPeerReaderWait)) {
        return std::nullopt;
    }
    const std::vector<member> readers = gossip->readersOf(configReaderTask);
    const auto found = std::ranges::find(readers, settings.nodeId, &member::nodeId);
    if (found == readers.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(std::distance(readers.begin(), found));
}

pull_response node::components::respondToPull(const pull_request &request)
{
    pull_response response;
    if (request.wantsRecords) {
        response = store.buildPullResponse(request.position);
    } else {
        const fold_progress progress = store.progressForPeers();
        response.position = progress.position;
        response.version = progress.version;
    }
    if (!request.crashReports.empty()) {
        requestProxy->mergeReports(request.crashReports);
    }
    if (request.wantsMembers) {
        response.memberList = encodeMessage(gossip->memberList(), memberListFormat);
    }
    return response;
}

void node::components::runEvents(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        auto event = events.popFor(eventWait, stop);
        const time_point now = steadyNow();
        const fold_progress before = store.progressForPeers();
        if (event) {
            applyEvent(*std::move(event), now);
        }
        recordPeerProgress(now);
        if (store.progressForPeers() != before) {
            announce();
        }
    }
}

void node::components::applyEvent(version_event event, time_point now)
{
    if (const auto *fromLog = std::get_if<log_update>(&event)) {
        std::vector<timed_record> records;
        std::ranges::transform(fromLog->batch.records, std::back_inserter(records), [](const log_record &each) {
            return timed_record{{each.offset, each.data}, each.timeMs};
        });
        store.apply(records, now);
        store.recordLogRange(fromLog->batch.first, fromLog->batch.next, now);
    } else if (auto *snapshot = std::get_if<snapshot_update>(&event)) {
        store.apply(std::move(snapshot->state), now);
    } else if (const auto *fromPeer = std::get_if<peer_update>(&event)) {
        snapshot_collector collector;
        for (const std::string &part : fromPeer->response.snapshotParts) {
            if (auto whole = addSnapshotPart(collector, part)) {
                store.apply(*std::move(whole), now);
            }
        }
        store.apply(fromPeer->response.records, now);
        store.recordPeerProgress({fromPeer->response.position, fromPeer->response.version}, now);
    }
}

void node::components::recordPeerProgress(time_point now)
{
    const gossip_status known = gossip->status();
    if (!known.isAnswered) {
        store.tick(now);
        return;
    }
    store.recordPeerProgress({std::max(known.highest.position, known.ownHighest.position),
                              std::max(known.highest.version, known.ownHighest.version)},
                             now);
}

bool node::components::servesKeyedRequests() const
{
    const auto config = store.config();
    return config && std::ranges::any_of(config->routes, [&](const route &each) {
               return each.service == settings.service && !each.applied.isIdempotent;
           });
}

bool node::components::isWorkerPortClosed() const
{
    return isPortClosed(settings.upstream, steadyNow() + portCloseWait);
}

// Sends crash reports to all other live nodes of this service in the data centre. Returns when all have acknowledged
// them, or after `maxHoldBack`.
void node::components::broadcastReports(const std::vector<crash_report> &reports)
{
    const time_point deadline = steadyNow() + maxHoldBack;
    std::vector<std::future<bool>> pending;
    for (const member &each : gossip->liveMembers()) {
        if (each.service == settings.service && each.nodeId != settings.nodeId) {
            pending.push_back(std::async(std::launch::async, [this, peer = each.sync, &reports, deadline] {
                return syncClient.sendCrashReports(peer, reports, deadline);
            }));
        }
    }
    const auto unacknowledged = std::ranges::count_if(pending, [](std::future<bool> &each) {
        return !each.get();
    });
    if (unacknowledged > 0) {
        LOG(WARNING) << "[proxy] " << unacknowledged
                     << " nodes of the service have not acknowledged a crash report in time.";
    }
}

claim_sources node::components::claimSources()
{
    return {
        .claim =
            [this](const hash128 &key, time_point deadline) {
                return claimService->claim(key, deadline);
            },
        .startRun =
            [this](const hash128 &claim) {
                return claimService->startRun(claim);
            },
        .endRun =
            [this](const hash128 &claim) {
                claimService->endRun(claim);
            },
        .abandonRun =
            [this](const hash128 &claim) {
                return claimService->abandonRun(claim);
            },
        .abandonUnsentRun =
            [this](const hash128 &claim) {
                return claimService->abandonUnsentRun(claim);
            },
    };
}

void node::components::recordSample(const request_sample &sample)
{
    const auto config = store.config();
    std::vector<named_objective> wanted;
    if (config) {
        const auto service = config->services.find(std::string(sample.service));
        if (service != config->services.end()) {
            for (const auto &[name, each] : service->second.objectives) {
                wanted.push_back({name, each.targetPercent, each.latency});
            }
        }
    }
    requestMetrics.record(sample, wanted, steadyNow());
}

status_inputs node::components::statusInputs() const
{
    const std::string state = isDraining ? "draining" : (workerHealth.isReady() ? "ready" : "starting");
    return {
        .nodeId = settings.nodeId,
        .dataCentre = settings.dataCentre,
        .service = settings.service,
        .state = state,
        .store = store.status(),
        .gossip = gossip->status(),
        .proxy = requestProxy->status(),
        .syncBytes = syncServer->transferredBytes() + syncClient.transferredBytes(),
    };
}

node::node(node_settings settings)
    : m_settings(std::move(settings))
    , m_components(std::make_unique<components>(m_settings))
{
}

node::~node()
{
    m_components->stopThreads();
}

result<void> node::start()
{
    BOOST_LEAF_CHECK(m_components->openPorts());
    m_components->startThreads();
    LOG(INFO) << "[node] " << m_settings.nodeId << " in " << m_settings.dataCentre << " serves callers at "
              << toText(m_settings.callerAddress) << ".";
    return {};
}

void node::shutDown()
{
    if (m_components->isDraining.exchange(true)) {
        return;
    }
    LOG(INFO) << "[node] Draining for at most " << m_settings.drainTimeout.count() << " ms.";
    m_components->gossip->beginDrain();
    m_components->requestProxy->drain(m_settings.drainTimeout);
    m_components->gossip->leave();
    m_components->stopThreads();
    LOG(INFO) << "[node] Stopped.";
}

} // namespace pistachioquay
