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
#include "cranberryplank/daemon/demand_board.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/daemon/pending_requests.h"
#include "cranberryplank/daemon/request_forwarder.h"
#include "cranberryplank/daemon/suspect_exchange.h"
#include "cranberryplank/daemon/task_runner.h"
#include "cranberryplank/daemon/ticket_book.h"
#include "cranberryplank/daemon/waiting_sweeper.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/peers/peer_links.h"
#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/policy/placement_policy.h"
#include "cranberryplank/policy/retry_budget.h"
#include "cranberryplank/policy/share_allocator.h"
#include "cranberryplank/policy/waiting_queue.h"

namespace cranberryplank {

/// Rules that tests switch off to see that their checks fail without them. Programs use the
/// defaults.
struct RouterRules {
  bool check_key_before_dispatch = true;
  bool check_freshness = true;
  bool keep_uncertain_slots = true;
  bool never_rerun_after_may_have_run = true;
};

/// Objects that a router works with. All must outlive it.
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

/// What a router knows of its daemon.
struct RouterOptions {
  std::string zone;  ///< Availability zone of this daemon.
  TicketLimits tickets;
  RouterRules rules;
};

/// Takes a caller's request through admission, waiting, placement and dispatch to its reply, or
/// forwards it to another daemon. A passive state machine: it acts in `Tick` and in callbacks.
class RequestRouter : public sigc::trackable {
 public:
  RequestRouter(const RouterParts& parts, const RouterOptions& options);

  /// Accepts a caller's request. `done` runs exactly once, possibly before this returns.
  /// @return the task id of the request
  std::string Accept(TimePoint now, CallerRequest request, ReplyCallback done);

  /// Drops a request whose caller has gone, if it still waits here.
  /// @return true if it is certain not to run
  bool Cancel(TimePoint now, std::string_view task_id);

  /// Issues tickets to the team of a key; on failure returns nothing and sets `*refusal`.
  std::optional<std::vector<std::string>> IssueTickets(TimePoint now, std::string_view key_digest,
                                                       int count, Refusal* refusal);

  /// Does what is due. To be called every few tens of milliseconds.
  /// @param rotation number of the rounding period, equal on all daemons; see ShareAllocator
  void Tick(TimePoint now, std::uint64_t rotation);

  /// Replaces the VMs that the platform's list shows as leaving or gone.
  void SetLeaving(std::set<std::string, std::less<>> leaving);

  /// Takes in a peer's heartbeat.
  void OnBeat(TimePoint now, const Heartbeat& beat);

  /// Fills in demand, free slots, leaving and suspect VMs of this daemon's heartbeat.
  void FillBeat(TimePoint now, Heartbeat* beat) const;

  /// Refuses new requests from now on; those accepted go on.
  void BeginShutdown() { m_shutting_down = true; }

  /// Refuses what still waits and asks workers to checkpoint what runs.
  void EndWaiting(TimePoint now);

  /// True if nothing waits, runs, is forwarded or is uncertain.
  bool Idle() const { return m_pending.empty() && m_runner.Idle(); }

  TaskRunner& runner() { return m_runner; }
  DemandBoard& demand() { return m_demand; }
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
  void PumpAll(TimePoint now);
  void Pump(TimePoint now, const std::string& pool);
  DispatchOutcome Dispatch(TimePoint now, const std::string& pool, std::string_view reason,
                           TimePoint fresh_until, const WaitingRequest& waiting);
  std::optional<PlacementChoice> ChooseWorker(TimePoint now, const std::string& pool,
                                              const PendingRequest& pending);
  void Start(TimePoint now, const Queue& queue, const PlacementChoice& choice,
             TimePoint fresh_until, PendingRequest* pending);
  void OnEnd(TimePoint now, const std::string& task_id, const std::string& vm, const TaskEnd& end);
  void OnCompleted(TimePoint now, PendingRequest pending, const std::string& vm,
                   const TaskEnd& end);
  void OnCheckpointed(TimePoint now, PendingRequest pending);
  void OnNoAnswer(TimePoint now, PendingRequest pending, const std::string& vm);
  void OnResolved(TimePoint now, const std::string& task_id, TaskFate fate);

  void UpdateShares(TimePoint now, std::uint64_t rotation);
  void OnConfiguration(TimePoint now);

  RouterParts m_parts;
  RouterOptions m_options;
  AdmissionCheck m_admission;
  TicketBook m_tickets;
  PeerTable m_peers;
  WaitingQueue m_queue;
  RetryBudget m_retries;
  TaskRunner m_runner;
  SuspectExchange m_suspects;
  DemandBoard m_demand;
  PendingRequests m_pending;
  RequestForwarder m_forwarder;
  WaitingSweeper m_sweeper;
  std::set<std::string, std::less<>> m_leaving;
  TimePoint m_shares_updated;
  bool m_shutting_down = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_REQUEST_ROUTER_H_
