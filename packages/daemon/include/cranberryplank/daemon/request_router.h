#ifndef CRANBERRYPLANK_DAEMON_REQUEST_ROUTER_H_
#define CRANBERRYPLANK_DAEMON_REQUEST_ROUTER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/slot_control.h"
#include "cranberryplank/daemon/admission.h"
#include "cranberryplank/daemon/caller_request.h"
#include "cranberryplank/daemon/demand_table.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/daemon/pending_requests.h"
#include "cranberryplank/daemon/request_forwarder.h"
#include "cranberryplank/daemon/suspect_exchange.h"
#include "cranberryplank/daemon/task_runner.h"
#include "cranberryplank/daemon/ticket_table.h"
#include "cranberryplank/daemon/waiting_request_expirer.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/peers/peer_links.h"
#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/policy/placement_policy.h"
#include "cranberryplank/policy/retry_budget.h"
#include "cranberryplank/policy/share_allocator.h"
#include "cranberryplank/policy/waiting_queue.h"

namespace cranberryplank {

/// Safety rules that tests can disable to verify that their checks detect a violation. Production
/// code uses the defaults.
struct RouterRules {
  bool check_key_before_dispatch = true;
  bool check_freshness = true;
  bool keep_uncertain_slots = true;
  bool never_rerun_after_may_have_run = true;
};

/// Dependencies of a router. All must outlive it.
struct RouterParts {
  HeadControl* head = nullptr;
  SlotControl* slots = nullptr;
  WorkerClient* workers = nullptr;
  PeerLinks* links = nullptr;
  ShareAllocator* shares = nullptr;
  const PlacementPolicy* placement = nullptr;
  RandomSource* random = nullptr;
  Metrics* metrics = nullptr;
  AdmissionCheck::DeniedKeyCheck is_denied;
};

/// Settings of a router.
struct RouterOptions {
  std::string zone;  ///< Availability zone of this daemon.
  TicketLimits tickets;
  RouterRules rules;
};

/// Handles a caller's request from admission through queueing, placement and dispatch to the reply,
/// or forwards it to another daemon. A passive state machine that acts in `Tick` and in callbacks.
class RequestRouter : public sigc::trackable {
 public:
  RequestRouter(const RouterParts& parts, const RouterOptions& options);

  /// Accepts a caller's request. `done` is called exactly once, possibly before this returns.
  /// @return the task id of the request
  std::string Accept(TimePoint now, CallerRequest request, ReplyCallback done);

  /// Cancels a request whose caller has disconnected, if it still waits in this daemon's queue.
  /// @return true if it certainly does not run
  bool Cancel(TimePoint now, std::string_view task_id);

  /// Issues tickets to the team of a key; on failure returns `std::nullopt` and sets `*refusal`.
  std::optional<std::vector<std::string>> IssueTickets(TimePoint now, std::string_view key_digest,
                                                       int count, Refusal* refusal);

  /// Performs all work that is due. Must be called every few tens of milliseconds.
  /// @param rotation number of the rounding period, equal on all daemons; see ShareAllocator
  void Tick(TimePoint now, std::uint64_t rotation);

  /// Replaces the set of VMs that the platform's VM list shows as leaving or missing.
  void SetLeavingVms(std::set<std::string, std::less<>> leaving);

  /// Processes a peer's heartbeat.
  void OnHeartbeat(TimePoint now, const Heartbeat& beat);

  /// Fills in demand, free slots, leaving and suspect VMs of this daemon's heartbeat.
  void FillHeartbeat(TimePoint now, Heartbeat* beat) const;

  /// Refuses new requests from now on; requests accepted before are completed.
  void BeginShutdown() { m_shutting_down = true; }

  /// Refuses all waiting requests and asks the workers to checkpoint all running tasks.
  void RefuseWaitingAndCheckpoint(TimePoint now);

  /// Returns whether no request waits, runs or is forwarded and no task has an unknown outcome.
  bool Idle() const { return m_pending.empty() && m_runner.Idle(); }

  TaskRunner& runner() { return m_runner; }
  DemandTable& demand() { return m_demand; }
  const SuspectExchange& suspects() const { return m_suspects; }
  const PeerTable& peers() const { return m_peers; }
  std::size_t waiting() const { return m_queue.size(); }

 private:
  enum class DispatchOutcome { kStarted, kRefused, kNoSlot, kNoWorker };

  void Admit(TimePoint now, PendingRequest pending);
  bool AdmitTicket(TimePoint now, PendingRequest* pending);
  void Enqueue(TimePoint now, PendingRequest pending);
  void Requeue(TimePoint now, PendingRequest pending, std::string_view reason);
  PushResult Push(TimePoint now, const PendingRequest& pending, int max_waiting);

  Duration RetryAfterFor(const CallerRequest& request, const Queue& queue);

  std::optional<TimePoint> DispatchUntil(TimePoint now, std::string* last_reason) const;
  void DispatchAllPools(TimePoint now);
  void DispatchWaiting(TimePoint now, const std::string& pool);
  DispatchOutcome Dispatch(TimePoint now, const std::string& pool, std::string_view reason,
                           TimePoint fresh_until, const WaitingRequest& waiting);
  std::optional<PlacementChoice> ChooseWorker(TimePoint now, const std::string& pool,
                                              const PendingRequest& pending);
  void Start(TimePoint now, const Queue& queue, const PlacementChoice& choice,
             TimePoint fresh_until, PendingRequest* pending);
  void OnEnd(TimePoint now, const std::string& task_id, const std::string& vm,
             const AttemptResult& end);
  void OnCompleted(TimePoint now, PendingRequest pending, const std::string& vm,
                   const AttemptResult& end);
  void OnCheckpointed(TimePoint now, PendingRequest pending);
  void OnNoAnswer(TimePoint now, PendingRequest pending, const std::string& vm);
  void OnResolved(TimePoint now, const std::string& task_id, TaskOutcome outcome);

  void UpdateShares(TimePoint now, std::uint64_t rotation);
  void OnConfiguration(TimePoint now);

  RouterParts m_parts;
  RouterOptions m_options;
  AdmissionCheck m_admission;
  TicketTable m_tickets;
  PeerTable m_peers;
  WaitingQueue m_queue;
  RetryBudget m_retries;
  TaskRunner m_runner;
  SuspectExchange m_suspects;
  DemandTable m_demand;
  PendingRequests m_pending;
  RequestForwarder m_forwarder;
  WaitingRequestExpirer m_expirer;
  std::set<std::string, std::less<>> m_leaving_vms;
  TimePoint m_shares_updated;
  bool m_shutting_down = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_REQUEST_ROUTER_H_
