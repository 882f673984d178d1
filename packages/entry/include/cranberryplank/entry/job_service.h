#ifndef CRANBERRYPLANK_ENTRY_JOB_SERVICE_H_
#define CRANBERRYPLANK_ENTRY_JOB_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/entry/caller_gateway.h"
#include "cranberryplank/entry/client_limits.h"
#include "cranberryplank/entry/daemon_peers.h"
#include "cranberryplank/entry/job_settings.h"
#include "cranberryplank/entry/operator_items.h"
#include "cranberryplank/entry/owner_client.h"
#include "cranberryplank/entry/pause_monitor.h"
#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/entry/schedule_claim.h"
#include "cranberryplank/entry/schedule_hand_over.h"
#include "cranberryplank/entry/schedule_owner.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/entry/vm_control.h"
#include "cranberryplank/model/random.h"

struct event_base;

namespace cranberryplank {

/// Platform interfaces that the service uses.
struct JobServiceParts {
  KeyValueStore* store = nullptr;
  RedirectableWorkerLink* workers = nullptr;
  VmControl* machines = nullptr;  ///< nullptr if VMs cannot be moved.
  const PlatformFormat* format = nullptr;
  HttpClient* http = nullptr;
  RandomSource* random = nullptr;
};

/// One daemon of the job service. It handles callers' requests, watches the configuration, and runs
/// the scheduler while it owns the schedule.
class JobService : public sigc::trackable {
 public:
  JobService(event_base* base, const JobSettings& settings, const JobServiceParts& parts);
  ~JobService();
  JobService(const JobService&) = delete;
  JobService& operator=(const JobService&) = delete;

  /// @return false, with `last_reason()` set, if an address cannot be bound
  bool Listen();
  const std::string& last_reason() const { return m_last_reason; }
  void Tick(Now now);
  /// Applies changed settings, except for the listen addresses.
  void SetSettings(Now now, const JobSettings& settings);
  /// Begins a graceful shutdown.
  void BeginShutdown(TimePoint now);
  /// Continues a shutdown that has begun: once all requests have their responses, no more
  /// connections of callers are accepted. Must be called after each turn of the event loop.
  /// @return whether the process may end; no sooner than a turn after the last accepted connection
  bool AdvanceShutdown(TimePoint now);
  /// Returns the number of callers' requests whose response is not yet written completely.
  std::size_t open_requests() const { return m_caller_server.open_requests(); }
  /// Returns whether this daemon owns the schedule, so that its loop has frequent work.
  bool owner() const { return m_owner != nullptr; }

 private:
  void OnConfig(TimePoint now);
  void OnWave(TimePoint now, const UpkeepWave& wave);
  /// Passes the evacuated zones to the owner of the schedule if this daemon is it.
  void OnEvacuation(TimePoint now);
  void OnAcquired(TimePoint now);
  void OnLost(TimePoint now);
  void FollowOwner(TimePoint now);
  /// Returns whether all daemons that have called recently, and so may take over, read the progress
  /// log.
  bool AllReadProgressLog(TimePoint now) const;
  /// Returns the age of requests that are read now.
  RequestAge AgeOfRequests(TimePoint now);
  void HandleCaller(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);
  void HandleDaemonCall(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);
  /// Handles the request of an owner that stops to take over.
  OwnerReply RequestTakeOver(TimePoint now, const OwnerCall& call);
  /// Returns the reply to a call of another daemon, if it does not depend on the schedule.
  std::optional<OwnerReply> AnswerWithoutOwner(const OwnerCall& call, RequestAge age) const;
  void RecordHandOver(TimePoint now, const OwnerCall& call);
  void HandleReady(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);
  void RecordConnections();
  void HandleMetrics(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);
  void CallOwner(const OwnerCall& call, Duration timeout, CallerGateway::Callback done);
  /// Asks the earlier owners that may still act whether they have stopped.
  void AskEarlierOwners(TimePoint now);
  SchedulerSettings SchedulerSettingsOf() const;
  VmFleetSettings FleetSettingsOf() const;

  JobSettings m_settings;
  ClientLimits m_limits;
  JobServiceParts m_parts;
  std::string m_address;  ///< Address for calls between daemons.
  std::string m_last_reason;
  Metrics m_metrics;
  OperatorItems m_operators;
  ScheduleOwnership m_ownership;
  OwnerClient m_owner_client;
  DaemonPeers m_peers;
  ScheduleClaim m_claim;
  PauseMonitor m_pauses;
  ScheduleHandOver m_hand_over;
  std::string m_followed_incarnation;  ///< Incarnation of the owner that `m_owner_client` pings.
  CallerGateway m_gateway;
  std::unique_ptr<ScheduleOwner> m_owner;
  bool m_owner_ended = false;
  bool m_evacuation_ignored = false;  ///< It was logged that the setting is missing.
  std::optional<TimePoint> m_stopping_since;
  bool m_ended_accepting = false;  ///< Connections of callers, before the end of the process.
  /// Owners that stopped acting when they handed over to this daemon, by incarnation, and the time
  /// until which the owners before each of them may act, if it said so.
  std::map<std::string, std::optional<TimePoint>> m_handed_over;
  TimePoint m_earlier_owners_asked{};
  TimePoint m_callers_checked{};
  ApiServer m_caller_server;
  ApiServer m_ready_server;
  ApiServer m_daemon_server;
  ApiServer m_metrics_server;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_JOB_SERVICE_H_
