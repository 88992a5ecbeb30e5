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
#include "process/node/claims_duty.h"
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
constexpr milliseconds foldWait{250};
constexpr seconds logTimeout{3};
constexpr milliseconds workerCheckWait{100}; // for a dying worker to close its port, after it has cut a connection
// A node that starts beside others would take itself for a reader before it knows them, and a data centre that restarts
// as a whole would read the log from every node. So it waits for its peers first.
constexpr milliseconds joinGrace{1500};
constexpr milliseconds lonelyGrace{2500};
constexpr milliseconds lonelyJitter{2500};

member selfOf(const node_settings &settings)
{
    member self;
    self.nodeId = settings.nodeId;
    self.started = static_cast<std::uint64_t>(unixNowMs());
    self.dataCentre = settings.dataCentre;
    self.service = settings.service;
    self.gossip = settings.gossipAddress;
    self.sync = settings.syncAddress;
    self.peer = settings.peerAddress;
    self.control = settings.controlAddress;
    self.slots = settings.slots;
    self.schema = recordSchema;
    return self;
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

// isReaderEligible tells whether a node that has started at `startedAt` may act as a reader.
bool isReaderEligible(bool hasSeeds, bool isAnswered, duration sinceStart, duration lonelyWait)
{
    if (!hasSeeds) {
        return true;
    }
    return isAnswered ? sinceStart >= joinGrace : sinceStart >= lonelyWait;
}

} // namespace

struct node::parts
{
    explicit parts(const node_settings &given)
        : settings(given)
        , store(given.dataCentre)
        , pulls(given.nodeId,
                store,
                ring,
                [this](const std::string &encoded) {
                    takeMembers(encoded);
                })
        , health(given.upstream, [this] {
            announce();
        })
    {
    }

    result<void> openPorts();
    void startThreads();
    void stopThreads();
    void announce();
    void takeMembers(const std::string &encoded);
    std::optional<std::uint32_t> readerRank();
    pull_response respondToPull(const pull_request &request);
    void runFold(const std::stop_token &stop);
    void foldEvent(version_event event, time_point now);
    void notePeers(time_point now);
    void observe(const request_sample &sample);
    bool servesKeyedRequests() const;
    claim_sources claimSources();
    bool isWorkerPortClosed() const;
    void broadcastReports(const std::vector<crash_report> &reports);
    status_facts statusFacts() const;

    const node_settings &settings;
    const time_point startedAt = steadyNow();
    random_generator generator = seededFromDevice();
    const duration lonelyWait = lonelyGrace + fullJitter(lonelyJitter, lonelyJitter, 0, generator);
    config_store store;
    version_ring ring{versionRingCapacity};
    sync_client pulls;
    worker_health health;
    metrics figures;
    std::atomic<bool> isDraining = false;
    std::unique_ptr<gossip_service> gossip;
    std::unique_ptr<proxy> requests;
    std::unique_ptr<sync_server> sync;
    std::unique_ptr<control_server> control;
    std::unique_ptr<log_reader> reader;
    std::unique_ptr<rendezvous_duty> rendezvous;
    std::unique_ptr<claims_duty> claims;
    std::vector<std::jthread> threads;
};

result<void> node::parts::openPorts()
{
    membership_options options{selfOf(settings), settings.seeds};
    BOOST_LEAF_AUTO(listener, listenTcp(settings.syncAddress));
    sync = std::make_unique<sync_server>(std::move(listener), [this](const pull_request &request) {
        return respondToPull(request);
    });
    BOOST_LEAF_ASSIGN(gossip, startGossip(std::move(options), [this](const pull &wanted) {
                          pulls.request({wanted.sync, wanted.position, wanted.kind == pull_kind::MemberList});
                      }));
    claims = std::make_unique<claims_duty>(log_target{settings.platformLog, logTimeout}, [this] {
        return servesKeyedRequests();
    });
    requests = std::make_unique<proxy>(proxyOptionsOf(settings),
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
                                                   observe(sample);
                                               },
                                       });
    BOOST_LEAF_CHECK(requests->start());
    control = std::make_unique<control_server>(
        settings.controlAddress,
        control_sources{
            .status =
                [this] {
                    return statusJson(statusFacts());
                },
            .report =
                [this] {
                    return reportJson(settings.nodeId, settings.dataCentre, figures.snapshot(steadyNow()));
                },
        });
    return control->start();
}

void node::parts::startThreads()
{
    const log_target target{settings.platformLog, logTimeout};
    const snapshot_policy rules{.retention = settings.logRetention};
    reader = std::make_unique<log_reader>(log_reader_options{target, rules}, store, ring, log_reader_sources{[this] {
                                              return readerRank();
                                          }});
    claims->start();
    rendezvous = std::make_unique<rendezvous_duty>(target, settings.dataCentre, *gossip);
    sync->start();
    threads.emplace_back([this](const std::stop_token &stop) {
        runFold(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        pulls.run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        reader->run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        rendezvous->run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        health.run(stop);
    });
    threads.emplace_back([this](const std::stop_token &stop) {
        while (!stop.stop_requested()) {
            announce();
            pauseFor(announceInterval, stop);
        }
    });
}

void node::parts::stopThreads()
{
    std::ranges::for_each(threads, [](std::jthread &each) {
        each.request_stop();
    });
    threads.clear();
    if (sync) {
        sync->stop();
    }
    if (control) {
        control->stop();
    }
    if (requests) {
        requests->stop();
    }
    if (claims) {
        claims->stop();
    }
    gossip.reset();
}

void node::parts::announce()
{
    const fold_progress progress = store.seen();
    const proxy_status load = requests->status();
    const member_state worker = health.isReady() ? member_state::Ready : member_state::Starting;
    gossip->setLocal(progress.version, progress.position, worker, {load.running, load.waiting});
}

void node::parts::takeMembers(const std::string &encoded)
{
    decode_counters counters;
    const auto list = attempt([&] {
        return decodeMessage<member_list>(encoded, memberListFormat, counters);
    });
    if (!list) {
        LOG(WARNING) << "[gossip] A member list cannot be read. " << describe(list.failure());
        return;
    }
    gossip->onMemberList(*list);
}

std::optional<std::uint32_t> node::parts::readerRank()
{
    const bool isAnswered = gossip->status().isAnswered;
    if (isDraining || !isReaderEligible(!settings.seeds.empty(), isAnswered, steadyNow() - startedAt, lonelyWait)) {
        return std::nullopt;
    }
    const std::vector<member> readers = gossip->readersOf(readerDuty);
    const auto self = std::ranges::find(readers, settings.nodeId, &member::nodeId);
    if (self == readers.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(std::distance(readers.begin(), self));
}

pull_response node::parts::respondToPull(const pull_request &request)
{
    pull_response response;
    if (request.wantsRecords) {
        response = store.respond(request.position);
    } else {
        const fold_progress progress = store.seen();
        response.position = progress.position;
        response.version = progress.version;
    }
    if (!request.crashReports.empty()) {
        requests->mergeReports(request.crashReports);
    }
    if (request.wantsMembers) {
        response.memberList = encodeMessage(gossip->memberList(), memberListFormat);
    }
    return response;
}

void node::parts::runFold(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        auto event = ring.popFor(foldWait, stop);
        const time_point now = steadyNow();
        const fold_progress before = store.seen();
        if (event) {
            foldEvent(*std::move(event), now);
        }
        notePeers(now);
        if (store.seen() != before) {
            announce();
        }
    }
}

void node::parts::foldEvent(version_event event, time_point now)
{
    if (const auto *fromLog = std::get_if<log_news>(&event)) {
        std::vector<timed_record> records;
        std::ranges::transform(fromLog->batch.records, std::back_inserter(records), [](const log_record &each) {
            return timed_record{{each.offset, each.data}, each.timeMs};
        });
        store.absorb(records, now);
        store.noteLog(fromLog->batch.first, fromLog->batch.next, now);
    } else if (auto *snapshot = std::get_if<snapshot_news>(&event)) {
        store.absorb(std::move(snapshot->state), now);
    } else if (const auto *fromPeer = std::get_if<peer_news>(&event)) {
        snapshot_collector collector;
        for (const std::string &part : fromPeer->response.snapshotParts) {
            if (auto whole = addSnapshotPart(collector, part)) {
                store.absorb(*std::move(whole), now);
            }
        }
        store.absorb(fromPeer->response.records, now);
        store.notePeer({fromPeer->response.position, fromPeer->response.version}, now);
    }
}

void node::parts::notePeers(time_point now)
{
    const gossip_status known = gossip->status();
    if (!known.isAnswered) {
        store.tick(now);
        return;
    }
    store.notePeer({std::max(known.highest.position, known.ownHighest.position),
                    std::max(known.highest.version, known.ownHighest.version)},
                   now);
}

bool node::parts::servesKeyedRequests() const
{
    const auto config = store.config();
    return config && std::ranges::any_of(config->routes, [&](const route &each) {
               return each.service == settings.service && !each.applied.isIdempotent;
           });
}

bool node::parts::isWorkerPortClosed() const
{
    return isPortClosed(settings.upstream, steadyNow() + workerCheckWait);
}

// Returns when all other nodes of the own service in the data centre have the reports, or after `maxHoldBack`.
void node::parts::broadcastReports(const std::vector<crash_report> &reports)
{
    const time_point deadline = steadyNow() + maxHoldBack;
    std::vector<std::future<bool>> open;
    for (const member &each : gossip->liveMembers()) {
        if (each.service == settings.service && each.nodeId != settings.nodeId) {
            open.push_back(std::async(std::launch::async, [this, peer = each.sync, &reports, deadline] {
                return pulls.push(peer, reports, deadline);
            }));
        }
    }
    const auto missed = std::ranges::count_if(open, [](std::future<bool> &each) {
        return !each.get();
    });
    if (missed > 0) {
        LOG(WARNING) << "[proxy] " << missed << " nodes of the service do not know of a crash yet.";
    }
}

claim_sources node::parts::claimSources()
{
    return {
        .claim =
            [this](const hash128 &key, time_point deadline) {
                return claims->claim(key, deadline);
            },
        .startRun =
            [this](const hash128 &claim) {
                return claims->startRun(claim);
            },
        .endRun =
            [this](const hash128 &claim) {
                claims->endRun(claim);
            },
        .abandonRun =
            [this](const hash128 &claim) {
                return claims->abandonRun(claim);
            },
        .abandonUnsentRun =
            [this](const hash128 &claim) {
                return claims->abandonUnsentRun(claim);
            },
    };
}

void node::parts::observe(const request_sample &sample)
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
    figures.record(sample, wanted, steadyNow());
}

status_facts node::parts::statusFacts() const
{
    const std::string state = isDraining ? "draining" : (health.isReady() ? "ready" : "starting");
    return {
        .nodeId = settings.nodeId,
        .dataCentre = settings.dataCentre,
        .service = settings.service,
        .state = state,
        .store = store.status(),
        .gossip = gossip->status(),
        .proxy = requests->status(),
        .syncBytes = sync->transferredBytes() + pulls.transferredBytes(),
    };
}

node::node(node_settings settings)
    : m_settings(std::move(settings))
    , m_parts(std::make_unique<parts>(m_settings))
{
}

node::~node()
{
    m_parts->stopThreads();
}

result<void> node::start()
{
    BOOST_LEAF_CHECK(m_parts->openPorts());
    m_parts->startThreads();
    LOG(INFO) << "[node] " << m_settings.nodeId << " in " << m_settings.dataCentre << " serves callers at "
              << toText(m_settings.callerAddress) << ".";
    return {};
}

void node::shutDown()
{
    if (m_parts->isDraining.exchange(true)) {
        return;
    }
    LOG(INFO) << "[node] Draining for at most " << m_settings.drainTimeout.count() << " ms.";
    m_parts->gossip->beginDrain();
    m_parts->requests->drain(m_settings.drainTimeout);
    m_parts->gossip->leave();
    m_parts->stopThreads();
    LOG(INFO) << "[node] Stopped.";
}

} // namespace pistachioquay
