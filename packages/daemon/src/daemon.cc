#include "cranberryplank/daemon/daemon.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <sigc++/sigc++.h>

#include <chrono>
#include <csignal>
#include <optional>
#include <utility>
#include <vector>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/control/maintenance_coordinator.h"
#include "cranberryplank/control/slot_ledger.h"
#include "cranberryplank/control/vm_mover.h"
#include "cranberryplank/daemon/admin_api.h"
#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/daemon/bundle_rollout.h"
#include "cranberryplank/daemon/caller_api.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/move_scheduler.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/daemon/shutdown.h"
#include "cranberryplank/daemon/status_api.h"
#include "cranberryplank/daemon/vm_list_tracker.h"
#include "cranberryplank/daemon/wave_order.h"
#include "cranberryplank/model/invariant.h"
#include "cranberryplank/model/log.h"
#include "cranberryplank/peers/tcp_peer_links.h"
#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/http_store.h"
#include "cranberryplank/platform/http_vm_directory.h"
#include "cranberryplank/platform/http_worker_client.h"
#include "cranberryplank/platform/vm_list_reader.h"
#include "cranberryplank/policy/max_min_share_allocator.h"
#include "cranberryplank/policy/shortage_move_planner.h"
#include "cranberryplank/policy/two_choice_placement.h"

namespace cranberryplank {

namespace {

constexpr Duration kTickInterval{20};
constexpr Duration kCallerCheckInterval{200};
/// Longest time after the last stage of a shutdown in which responses are still written.
constexpr Duration kLastWrites{1'000};

timeval ToTimeval(Duration duration) {
  timeval time{};
  time.tv_sec = duration.count() / 1000;
  time.tv_usec = duration.count() % 1000 * 1000;
  return time;
}

/// Returns the number of the current rounding period of shares. Clock skew between daemons makes
/// the shares slightly less accurate, but never lets a limit be exceeded.
std::uint64_t RotationNow() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<Duration>(wall) / kRotationPeriod);
}

DaemonRecord RecordOf(const Settings& settings, std::string incarnation) {
  DaemonRecord record;
  record.id = settings.id;
  record.incarnation = std::move(incarnation);
  record.zone = settings.zone;
  record.peer_host = settings.peer_listen.host;
  record.peer_port = settings.peer_listen.port;
  record.api_host = settings.api_listen.host;
  record.api_port = settings.api_listen.port;
  return record;
}

std::vector<DaemonRecord> FirstPeers(const Settings& settings) {
  std::vector<DaemonRecord> peers;
  for (const Endpoint& endpoint : settings.first_peers) {
    DaemonRecord record;
    record.peer_host = endpoint.host;
    record.peer_port = endpoint.port;
    peers.push_back(std::move(record));
  }
  return peers;
}

ApiLimits LimitsOf(const Settings& settings) {
  return ApiLimits{settings.max_body_bytes, settings.max_header_bytes,
                   settings.caller_idle_timeout};
}

TcpPeerSettings PeerSettings(const DaemonRecord& self) {
  TcpPeerSettings settings;
  settings.id = self.id;
  settings.incarnation = self.incarnation;
  return settings;
}

MaxMinSettings ShareSettings(const DaemonRecord& self) {
  MaxMinSettings settings;
  settings.daemon = self.incarnation;
  return settings;
}

RouterOptions RouterOptionsOf(const Settings& settings) {
  RouterOptions options;
  options.zone = settings.zone;
  options.tickets.lifetime = settings.ticket_lifetime;
  return options;
}

ApproverKeys ApproversOf(const Settings& settings) {
  ApproverKeys approvers;
  for (const auto& [name, hex] : settings.approvers) {
    if (const auto key = PublicKey::FromHex(hex)) {
      approvers.emplace(name, *key);
    }
  }
  return approvers;
}

void LogDecision(TimePoint /*now*/, const std::string& line) {
  LogLine(LogLevel::kInfo, "control").Field("decision", line);
}

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

struct EventDeleter {
  void operator()(event* handle) const { event_free(handle); }
};

using EventPointer = std::unique_ptr<event, EventDeleter>;

}  // namespace

struct Daemon::Parts : public sigc::trackable {
  explicit Parts(const Settings& configured);

  void Connect();
  bool Listen();
  void Tick();
  void Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);
  void BeginShutdown();
  void EndOnceResponsesAreWritten(TimePoint now);

  static void OnTick(int, short, void* self) {  // NOLINT(google-runtime-int): libevent's type
    static_cast<Parts*>(self)->Tick();
  }
  static void OnSignal(int, short, void* self) {  // NOLINT(google-runtime-int): libevent's type
    static_cast<Parts*>(self)->BeginShutdown();
  }

  Settings settings;
  std::string last_reason;
  std::unique_ptr<event_base, EventBaseDeleter> base;
  SystemRandom random;
  DaemonRecord self;
  Metrics metrics;
  HttpClient http;
  HttpStore store;
  HttpVmDirectory directory;
  VmListReader worker_list;
  HttpWorkerClient workers;
  TcpPeerLinks links;
  HeadReplica head;
  SlotLedger slots;
  VmMover mover;
  MaxMinShareAllocator shares;
  TwoChoicePlacement placement;
  RequestRouter router;
  MaintenanceCoordinator maintenance;
  VmListTracker vm_list;
  ShortageMovePlanner move_planner;
  MoveScheduler moves;
  BundleRollout rollout;
  CallerApi caller_api;
  AdminApi admin_api;
  Shutdown shutdown;
  StatusApi status_api;
  ApiServer server;
  TimePoint last_caller_check;
  std::optional<TimePoint> finished_at;  ///< When the shutdown's last stage ended.
  EventPointer tick;
  EventPointer terminate;
  EventPointer interrupt;
};

Daemon::Parts::Parts(const Settings& configured)
    : settings(configured),
      base(event_base_new()),
      self(RecordOf(settings, random.Nonce())),
      http(base.get()),
      store(&http, settings.store.host, settings.store.port),
      directory(&http, settings.vm_list.host, settings.vm_list.port),
      worker_list(&directory, "worker", settings.vm_list_poll),
      workers(&http),
      links(base.get(), PeerSettings(self), &random),
      head(self, FirstPeers(settings), store, directory, links, random),
      slots(&head, &store, &random),
      mover(&head, &store, &workers, &random),
      shares(ShareSettings(self)),
      router(RouterParts{&head, &slots, &workers, &links, &shares, &placement, &random, &metrics,
                         [this](const Digest& key) { return head.IsDenied(key); }},
             RouterOptionsOf(settings)),
      maintenance(&head, &store, &worker_list, &workers, &random, WaveOrderOf(&router)),
      vm_list(&worker_list),
      move_planner(ShortageMoveSettings{}),
      moves(MoveParts{&head, &mover, &router, &vm_list, &move_planner}),
      rollout(BundleRolloutParts{&head, &store, &random, &router.peers()}, ApproversOf(settings),
              settings.approvals_required),
      caller_api(&settings, &router, &metrics),
      admin_api(AdminParts{&settings, &head, &mover, &maintenance, &router, &vm_list, &rollout}),
      shutdown(ShutdownParts{&head, &slots, &router}, settings.shutdown_grace),
      status_api(StatusParts{&head, &slots, &router, &links, &vm_list, &shutdown, &metrics}),
      server(base.get(), LimitsOf(settings),
             [this](TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
               Handle(now, exchange);
             }),
      tick(event_new(base.get(), -1, EV_PERSIST, &Parts::OnTick, this)),
      terminate(evsignal_new(base.get(), SIGTERM, &Parts::OnSignal, this)),
      interrupt(evsignal_new(base.get(), SIGINT, &Parts::OnSignal, this)) {
  Connect();
}

void Daemon::Parts::Connect() {
  head.SetHeartbeatContent(
      [this](TimePoint now, Heartbeat* heartbeat) { router.FillHeartbeat(now, heartbeat); });
  head.signal_heartbeat().connect([this](TimePoint now, const Heartbeat& heartbeat) {
    router.OnHeartbeat(now, heartbeat);
    slots.SetPeerDemand(now, heartbeat.incarnation, heartbeat.demand);
  });
  head.signal_removed().connect([this](TimePoint /*now*/) {
    last_reason = "this daemon was removed from the head";
    BeginShutdown();
  });
  slots.signal_excess().connect([this](TimePoint /*now*/, const std::string& team, int tasks) {
    router.runner().CheckpointTeam(team, tasks);
  });
  maintenance.signal_checkpoint().connect([this](TimePoint /*now*/, const std::string& vm) {
    router.runner().CheckpointVm(vm, "the VM is to be rebooted");
  });
  router.runner().signal_status().connect(
      [this](TimePoint now, const std::string& vm, const WorkerStatus& status) {
        mover.ObserveWorker(now, vm, status);
        maintenance.ObserveWorker(now, vm, status);
      });
  vm_list.signal_changed().connect(
      [this](TimePoint /*now*/, const VmListTracker::LeavingSet& leaving) {
        router.SetLeavingVms(leaving);
      });
  head.signal_decision().connect(sigc::ptr_fun(&LogDecision));
  slots.signal_decision().connect(sigc::ptr_fun(&LogDecision));
  mover.signal_decision().connect(sigc::ptr_fun(&LogDecision));
  maintenance.signal_decision().connect(sigc::ptr_fun(&LogDecision));
  links.signal_closed().connect([](const std::string& peer, const std::string& reason) {
    LogLine(LogLevel::kInfo, "link_closed").Field("peer", peer).Field("reason", reason);
  });
}

bool Daemon::Parts::Listen() {
  if (!links.Listen(settings.peer_listen.host, settings.peer_listen.port)) {
    last_reason = links.last_reason();
    return false;
  }
  if (!server.Listen(settings.api_listen)) {
    last_reason = server.last_reason();
    return false;
  }
  return true;
}

void Daemon::Parts::Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  const bool handled = caller_api.Handle(now, exchange) || admin_api.Handle(now, exchange) ||
                       status_api.Handle(now, exchange);
  if (!handled) {
    ApiResponse response;
    response.status = 404;
    response.body = R"({"verdict":"not_run","reason":"no such path","task":""})";
    exchange->Reply(response);
  }
}

void Daemon::Parts::BeginShutdown() {
  if (shutdown.Begin(Clock::now())) {
    LogLine(LogLevel::kInfo, "shutdown").Field("state", "begun").Field("reason", last_reason);
  }
}

void Daemon::Parts::Tick() {
  const TimePoint now = Clock::now();
  head.Tick(now);
  slots.Tick(now);
  worker_list.Tick(now);
  vm_list.Tick(now, head.fleet());
  router.Tick(now, RotationNow());
  mover.Tick(now);
  if (settings.automatic_moves) {
    moves.Tick(now);
  }
  maintenance.Tick(now);
  rollout.Tick(now);
  admin_api.Tick(now);
  if (now - last_caller_check >= kCallerCheckInterval) {
    last_caller_check = now;
    server.CheckCallerConnections();
  }
  shutdown.Tick(now);
  if (shutdown.accepting_ended()) {
    server.StopAccepting();
  }
  if (shutdown.finished()) {
    EndOnceResponsesAreWritten(now);
  }
}

void Daemon::Parts::EndOnceResponsesAreWritten(TimePoint now) {
  if (!finished_at) {
    finished_at = now;
  }
  if (server.open_requests() > 0 && now - *finished_at < kLastWrites) {
    return;
  }
  LogLine(LogLevel::kInfo, "shutdown")
      .Field("state", "finished")
      .Field("open_requests", server.open_requests());
  event_base_loopexit(base.get(), nullptr);
}

Daemon::Daemon(const Settings& settings) : m_parts(std::make_unique<Parts>(settings)) {}

Daemon::~Daemon() = default;

const std::string& Daemon::last_reason() const { return m_parts->last_reason; }

bool Daemon::Run() {
  // Writing to a connection that a peer or caller has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  SetLogLevel(m_parts->settings.log_level);
  SetAbortOnInvariantViolation(m_parts->settings.abort_on_invariant_violation);
  if (!m_parts->Listen()) {
    return false;
  }
  const timeval interval = ToTimeval(kTickInterval);
  event_add(m_parts->tick.get(), &interval);
  event_add(m_parts->terminate.get(), nullptr);
  event_add(m_parts->interrupt.get(), nullptr);
  LogLine(LogLevel::kInfo, "started")
      .Field("id", m_parts->settings.id)
      .Field("zone", m_parts->settings.zone)
      .Field("incarnation", m_parts->self.incarnation);
  event_base_dispatch(m_parts->base.get());
  return m_parts->last_reason.empty();
}

}  // namespace cranberryplank
