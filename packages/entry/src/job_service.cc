#include "cranberryplank/entry/job_service.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/platform/http_status.h"
#include "owner_metrics.h"
#include "stop_timing.h"

namespace cranberryplank {

namespace {

constexpr Duration kCallerCheckInterval{500};
constexpr Duration kTakeOverTimeout{300};
constexpr Duration kEarlierOwnersInterval{250};
/// Time in which a new owner is called by all other daemons.
constexpr Duration kFirstPings{1'500};
/// The store counts as unreachable after this time without an answer.
constexpr Duration kStoreSilence{1'500};
/// Most hand-overs that a daemon remembers.
constexpr std::size_t kMaxHandOvers = 1'000;
constexpr std::size_t kMaxIncarnationBytes = 64;
/// Part of the memory for the jobs that the owner knows.
constexpr std::size_t kJobMemoryDivisor = 5;

OwnershipRecord SelfRecord(const JobSettings& settings, const std::string& address,
                           RandomSource* random) {
  OwnershipRecord record;
  record.owner = settings.node;
  record.address = address;
  record.incarnation = random->Nonce();
  return record;
}

/// Returns the limits of the daemon's servers, which also keep to the process's own limit of open
/// descriptors.
ClientLimits ClientLimitsOf(const JobSettings& settings) {
  rlimit descriptors{};
  std::size_t usable = settings.max_descriptors;
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    usable = std::min(usable, static_cast<std::size_t>(descriptors.rlim_cur));
  }
  return DivideAmongClients(settings.memory_mb << 20U, usable);
}

double CoresOf(const JobSettings& settings) { return settings.cpu_share * settings.cpu_speed; }

/// Returns whether a reply to a ping shows that an earlier owner has stopped acting. A reply from
/// another process means that the earlier one has ended. The same process replies kNotOwner only
/// after it has stopped.
bool HasStopped(const EarlierOwner& owner, const OwnerReply& reply) {
  return !reply.incarnation.empty() &&
         (reply.incarnation != owner.incarnation || reply.status == OwnerStatus::kNotOwner);
}

std::string AddressText(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.host, endpoint.port);
}

}  // namespace

JobService::JobService(event_base* base, const JobSettings& settings, const JobServiceParts& parts)
    : m_settings(settings),
      m_limits(ClientLimitsOf(settings)),
      m_parts(parts),
      m_address(AddressText(settings.daemon_listen)),
      m_operators(parts.store, parts.format),
      m_ownership(parts.store, "duty/schedule", SelfRecord(settings, m_address, parts.random)),
      m_owner_client(parts.http, m_address, CoresOf(settings)),
      m_claim(parts.store, &m_ownership, &m_owner_client, parts.random),
      m_hand_over(&m_ownership, &m_owner_client, &m_peers, m_address),
      m_gateway(parts.format, &m_metrics,
                [this](const OwnerCall& call, Duration timeout, CallerGateway::Callback done) {
                  CallOwner(call, timeout, std::move(done));
                }),
      m_caller_server(base, m_limits.callers,
                      [this](TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
                        HandleCaller(now, exchange);
                      }),
      m_ready_server(base, m_limits.ready,
                     [this](TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
                       HandleReady(now, exchange);
                     }),
      m_daemon_server(base, m_limits.daemons,
                      [this](TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
                        HandleDaemonCall(now, exchange);
                      }),
      m_metrics_server(base, m_limits.metrics,
                       [this](TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
                         HandleMetrics(now, exchange);
                       }) {
  m_ownership.signal_acquired().connect(sigc::mem_fun(*this, &JobService::OnAcquired));
  m_ownership.signal_lost().connect(sigc::mem_fun(*this, &JobService::OnLost));
  m_operators.signal_config().connect(sigc::mem_fun(*this, &JobService::OnConfig));
  m_operators.signal_wave().connect(sigc::mem_fun(*this, &JobService::OnWave));
  m_operators.signal_evacuation().connect(sigc::mem_fun(*this, &JobService::OnEvacuation));
  m_operators.SetEvacuationBound(settings.evacuation_bound);
  const TimePoint now = Clock::now();
  m_operators.Start(now);
  m_ownership.Read(now);
}

JobService::~JobService() = default;

bool JobService::Listen() {
  const std::pair<ApiServer*, Endpoint> servers[] = {
      {&m_caller_server, m_settings.caller_listen},
      {&m_ready_server, m_settings.ready_listen},
      {&m_daemon_server, m_settings.daemon_listen},
      {&m_metrics_server, m_settings.metrics_listen},
  };
  for (const auto& [server, endpoint] : servers) {
    if (!server->Listen(endpoint)) {
      m_last_reason = server->last_reason();
      return false;
    }
  }
  return true;
}

SchedulerSettings JobService::SchedulerSettingsOf() const {
  SchedulerSettings settings;
  settings.max_lease = m_settings.max_lease;
  settings.lease = std::min(settings.lease, m_settings.max_lease);
  settings.stop_time = m_settings.stop_time;
  settings.drain_time = m_settings.drain_time;
  settings.evacuation_bound = m_settings.evacuation_bound;
  settings.retention = m_settings.retention;
  settings.far_factor = m_settings.far_factor;
  settings.max_job_bytes = (m_settings.memory_mb << 20U) / kJobMemoryDivisor;
  return settings;
}

VmFleetSettings JobService::FleetSettingsOf() const {
  VmFleetSettings settings;
  settings.holder = m_settings.node;
  settings.machine_lease = m_settings.machine_lease;
  settings.move_time = m_settings.move_time;
  settings.upkeep_time = m_settings.upkeep_time;
  settings.divide_from_vms = m_settings.divide_from_vms;
  return settings;
}

void JobService::SetSettings(Now now, const JobSettings& settings) {
  m_settings = settings;
  m_operators.SetEvacuationBound(settings.evacuation_bound);
  if (m_owner) {
    m_owner->SetSettings(SchedulerSettingsOf(), FleetSettingsOf());
  }
  OnEvacuation(now.time);
}

void JobService::OnConfig(TimePoint now) {
  if (m_owner) {
    m_owner->SetConfig({now, UnixMilliseconds()}, m_operators.config());
  }
}

void JobService::OnWave(TimePoint now, const UpkeepWave& wave) {
  if (m_owner) {
    m_owner->SetWave(now, wave);
  }
}

void JobService::OnEvacuation(TimePoint /*now*/) {
  const bool ignored = !m_settings.evacuation_bound && !m_operators.evacuated_zones().empty();
  if (!std::exchange(m_evacuation_ignored, ignored) && ignored) {
    LogLine(LogLevel::kWarning, "evacuation_ignored").Field("reason", "evacuation_ms is not set");
  }
  if (m_owner) {
    m_owner->SetEvacuatedZones(m_settings.evacuation_bound ? m_operators.evacuated_zones()
                                                           : ZoneSet{});
  }
}

void JobService::OnAcquired(TimePoint now) {
  m_owner_ended = false;
  m_claim.Reset();
  m_owner.reset();  // Its destructor would redirect the workers' replies away from the new owner.
  m_owner = std::make_unique<ScheduleOwner>(
      ScheduleOwnerParts{m_parts.store, m_parts.workers, m_parts.format, &m_ownership,
                         m_parts.machines},
      SchedulerSettingsOf(), FleetSettingsOf());
  const Now at{now, UnixMilliseconds()};
  for (const auto& [number, wave] : m_operators.waves()) {
    m_owner->SetWave(now, wave);
  }
  if (m_operators.config()) {
    m_owner->SetConfig(at, m_operators.config());
  }
  OnEvacuation(now);
  m_owner->Begin(at);
  m_earlier_owners_asked = now;
  EarlierOwners* earlier = m_owner->earlier_owners();
  earlier->RecordVmStopped(now, m_settings.node);
  for (const auto& [incarnation, act_until] : m_handed_over) {
    earlier->RecordStopped(now, incarnation);
    if (act_until) {
      earlier->RecordBoundBefore(*act_until, incarnation);
    }
  }
}

void JobService::AskEarlierOwners(TimePoint now) {
  if (now < m_earlier_owners_asked + kEarlierOwnersInterval) {
    return;
  }
  m_earlier_owners_asked = now;
  OwnerCall ping;
  ping.kind = OwnerCallKind::kPing;
  ping.config_version = m_operators.config_version();
  const std::uint64_t epoch = m_ownership.revision();
  for (const EarlierOwner& owner : m_owner->earlier_owners()->Askable(now)) {
    m_owner_client.Call(
        owner.address, ping, kTakeOverTimeout,
        [this, owner, epoch](TimePoint at, const OwnerReply& reply) {
          // Since a question under an earlier epoch the other daemon may have owned
          // the schedule again.
          if (m_owner && m_ownership.revision() == epoch && HasStopped(owner, reply)) {
            m_owner->earlier_owners()->RecordStopped(at, owner.incarnation);
          }
        });
  }
}

void JobService::OnLost(TimePoint /*now*/) {
  // The owner may be in the middle of the call that led here, so the next tick ends it.
  m_owner_ended = true;
}

void JobService::Tick(Now now) {
  m_pauses.Observe(now.time);
  if (m_owner_ended) {
    m_owner_ended = false;
    const auto owner = std::move(m_owner);
    owner->End(now.time);
  }
  m_operators.Tick(now.time);
  m_ownership.Tick(now.time);
  FollowOwner(now.time);
  if (!m_stopping_since) {
    m_claim.Tick(now.time, CoresOf(m_settings), m_operators.confirmed_at());
  }
  if (m_owner && m_ownership.owned()) {
    AskEarlierOwners(now.time);
    m_owner->SetProgressInLog(now.time, AllReadProgressLog(now.time));
    if (m_operators.loaded()) {
      m_owner->SetEvacuationsKnownUntil(m_operators.confirmed_at());
    }
    m_owner->Tick(now);
    if (m_owner && m_owner->fenced()) {
      m_ownership.Read(now.time);
      m_ownership.Lose(now.time, "a worker has seen a higher fence");
    }
  }
  m_gateway.Tick(now.time);
  if (m_stopping_since) {
    const auto elapsed = std::chrono::duration_cast<Duration>(now.time - *m_stopping_since);
    m_hand_over.Tick(
        now.time, LeastSuccessorCores(elapsed, m_settings.shutdown_grace, CoresOf(m_settings)),
        m_owner ? m_owner->EarlierOwnersActFor(now.time) : ScheduleOwnership::kAuthority);
  }
  if (now.time - m_callers_checked >= kCallerCheckInterval) {
    m_callers_checked = now.time;
    m_caller_server.CheckCallerConnections();
  }
}

void JobService::FollowOwner(TimePoint now) {
  const auto& record = m_ownership.record();
  const std::string incarnation =
      m_ownership.known() && record && !m_ownership.owned() ? record->incarnation : std::string();
  if (incarnation != m_followed_incarnation) {
    if (!m_followed_incarnation.empty()) {
      m_gateway.RepeatCallsInFlight(now);
    }
    m_followed_incarnation = incarnation;
    m_owner_client.SetOwner(now, incarnation.empty() ? std::string() : record->address);
  }
  m_owner_client.Tick(now, m_operators.config_version());
  m_operators.RecordNewestVersion(now, m_owner_client.owner_config_version());
  if (!incarnation.empty() && m_owner_client.denies_ownership()) {
    m_ownership.Read(now);
  }
}

bool JobService::AllReadProgressLog(TimePoint now) const {
  return now - m_ownership.record_changed_at() >= kFirstPings && m_peers.AllReadProgressLog();
}

void JobService::CallOwner(const OwnerCall& call, Duration timeout, CallerGateway::Callback done) {
  const TimePoint now = Clock::now();
  if (m_ownership.owned() && m_owner) {
    if (m_owner->ready()) {
      m_owner->Handle({now, UnixMilliseconds()}, call, std::move(done));
      return;
    }
  } else if (m_ownership.known() && m_ownership.record() && !m_owner_client.denies_ownership()) {
    m_owner_client.Call(m_ownership.record()->address, call, timeout, std::move(done));
    return;
  }
  OwnerReply reply;
  reply.status = OwnerStatus::kNotReady;
  reply.reason = "no owner of the schedule is known";
  done(now, reply);
}

RequestAge JobService::AgeOfRequests(TimePoint now) {
  m_pauses.Observe(now);
  return m_pauses.MayReadOldRequests(now) ? RequestAge::kUnknown : RequestAge::kRecent;
}

void JobService::HandleCaller(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  m_gateway.Handle({now, UnixMilliseconds()}, m_operators.config().get(),
                   m_operators.ConfigAgeAt(now, m_settings.revocation_bound), exchange,
                   AgeOfRequests(now));
}

void JobService::HandleDaemonCall(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  const RequestAge age = AgeOfRequests(now);
  const auto call = DecodeOwnerCall(exchange->request().body);
  ApiResponse response;
  response.content_type = "application/octet-stream";
  if (!call) {
    LogLine(LogLevel::kWarning, "unreadable_daemon_call")
        .Field("bytes", exchange->request().body.size());
    response.status = http_status::kBadRequest;
    exchange->Reply(response);
    return;
  }
  if (!call->sender.empty()) {
    m_peers.RecordCall(now, *call);
  }
  m_operators.RecordNewestVersion(now, call->config_version);
  const auto answer = [this, exchange](TimePoint at, OwnerReply reply) {
    reply.config_version = m_operators.config_version();
    reply.epoch = m_ownership.revision();
    reply.incarnation = m_ownership.incarnation();
    reply.strongest_cores = m_peers.StrongestCores(at, CoresOf(m_settings));
    const bool writes_fail = m_owner && m_owner->ready() && m_owner->store_failing(at);
    reply.ping_interval_ms = m_peers.PingIntervalMs();
    reply.store_reached = !writes_fail && at - m_ownership.store_answered() < kStoreSilence;
    ApiResponse encoded;
    encoded.content_type = "application/octet-stream";
    encoded.body = EncodeOwnerReply(reply);
    exchange->Reply(encoded);
  };
  if (call->kind == OwnerCallKind::kTakeOver) {
    answer(now, RequestTakeOver(now, *call));
    return;
  }
  if (const auto reply = AnswerWithoutOwner(*call, age)) {
    answer(now, *reply);
    return;
  }
  m_owner->Handle({now, UnixMilliseconds()}, *call, answer);
}

OwnerReply JobService::RequestTakeOver(TimePoint now, const OwnerCall& call) {
  OwnerReply reply;
  if (m_stopping_since || !m_operators.config()) {
    reply.status = OwnerStatus::kNotReady;
    return reply;
  }
  reply.status = OwnerStatus::kOk;
  m_claim.RequestTakeOver();
  RecordHandOver(now, call);
  m_ownership.Read(now);
  return reply;
}

std::optional<OwnerReply> JobService::AnswerWithoutOwner(const OwnerCall& call,
                                                         RequestAge age) const {
  OwnerReply reply;
  if (!m_ownership.owned() || !m_owner) {
    reply.status = OwnerStatus::kNotOwner;
    return reply;
  }
  if (call.kind == OwnerCallKind::kPing) {
    reply.status = OwnerStatus::kOk;
    return reply;
  }
  reply.status = OwnerStatus::kNotReady;
  if (!m_owner->ready()) {
    reply.reason = "the state is being loaded";
    return reply;
  }
  if (call.kind == OwnerCallKind::kSubmit && age == RequestAge::kUnknown) {
    reply.reason = "the daemon did not run for a while";
    return reply;
  }
  return std::nullopt;
}

void JobService::RecordHandOver(TimePoint now, const OwnerCall& call) {
  if (m_handed_over.size() >= kMaxHandOvers || call.incarnation.size() > kMaxIncarnationBytes) {
    return;  // The next owner waits for the earlier one as for one that has failed.
  }
  m_handed_over[call.incarnation] = call.earlier_owners_act_for
                                        ? std::optional(now + *call.earlier_owners_act_for)
                                        : std::nullopt;
}

void JobService::HandleReady(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  const bool fresh = now - m_operators.confirmed_at() < m_settings.revocation_bound;
  ApiResponse response;
  response.body = "{}";
  response.status = m_operators.config() && fresh && !m_stopping_since ? http_status::kOk
                                                                       : http_status::kUnavailable;
  exchange->Reply(response);
}

void JobService::HandleMetrics(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  m_metrics.SetGauge("cranberryplank_owner", m_ownership.owned() ? 1 : 0);
  m_metrics.SetGauge("cranberryplank_config_version",
                     static_cast<double>(m_operators.config_version()));
  m_metrics.SetGauge("cranberryplank_config_age_seconds",
                     std::chrono::duration<double>(now - m_operators.confirmed_at()).count());
  m_metrics.SetGauge("cranberryplank_open_requests",
                     static_cast<double>(m_gateway.open_requests()));
  RecordConnections();
  if (m_owner && m_owner->ready()) {
    RecordOwnerMetrics(now, m_owner.get(), &m_metrics);
  }
  ApiResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = m_metrics.Render();
  exchange->Reply(response);
}

void JobService::RecordConnections() {
  const std::pair<const ApiServer*, std::string_view> servers[] = {
      {&m_caller_server, "callers"},
      {&m_ready_server, "ready"},
      {&m_daemon_server, "daemons"},
      {&m_metrics_server, "metrics"},
  };
  std::size_t closed = 0;
  for (const auto& [server, name] : servers) {
    const std::string label = fmt::format("listener=\"{}\"", name);
    m_metrics.SetGauge("cranberryplank_open_connections",
                       static_cast<double>(server->open_connections()), label);
    m_metrics.SetGauge("cranberryplank_buffered_bytes",
                       static_cast<double>(server->buffered_bytes()), label);
    closed += server->closed_connections();
  }
  m_metrics.SetTotal("cranberryplank_connections_closed_total", closed);
}

void JobService::BeginShutdown(TimePoint now) {
  if (m_stopping_since) {
    return;
  }
  m_stopping_since = now;
  m_gateway.Close(now + AnswerTime(m_settings.shutdown_grace));
  LogLine(LogLevel::kInfo, "stopping")
      .Field("owner", m_ownership.owned())
      .Field("open_requests", m_gateway.open_requests());
}

bool JobService::AdvanceShutdown(TimePoint now) {
  if (!m_stopping_since) {
    return false;
  }
  StopState state;
  state.elapsed = std::chrono::duration_cast<Duration>(now - *m_stopping_since);
  state.grace = m_settings.shutdown_grace;
  state.owner = m_ownership.owned();
  // A response that was given is written in a later turn of the event loop.
  state.answered = m_caller_server.open_requests() + m_daemon_server.open_requests() == 0;
  if (!MayEnd(state)) {
    return false;
  }
  // A connection that was accepted in this turn of the event loop is read in a later one.
  const bool accepts = !std::exchange(m_ended_accepting, true);
  if (accepts) {
    m_caller_server.StopAccepting();
  }
  return !accepts || MustEnd(state);
}

}  // namespace cranberryplank
