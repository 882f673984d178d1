#ifndef CRANBERRYPLANK_DAEMON_REQUEST_FORWARDER_H_
#define CRANBERRYPLANK_DAEMON_REQUEST_FORWARDER_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/slot_control.h"
#include "cranberryplank/daemon/demand_table.h"
#include "cranberryplank/daemon/forward_table.h"
#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/daemon/pending_requests.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/peers/peer_links.h"
#include "cranberryplank/policy/share_allocator.h"
#include "cranberryplank/policy/waiting_queue.h"

namespace cranberryplank {

/// Maximum hops of a forwarded request, which goes to the owner of its ticket and from there to a
/// slot holder.
inline constexpr int kMaxHops = 2;

/// Dependencies of a forwarder. All must outlive it.
struct ForwarderParts {
  const HeadControl* head = nullptr;
  SlotControl* slots = nullptr;
  PeerLinks* links = nullptr;
  const ShareAllocator* shares = nullptr;
  RandomSource* random = nullptr;
  PeerTable* peers = nullptr;
  DemandTable* demand = nullptr;
  WaitingQueue* queue = nullptr;
  PendingRequests* pending = nullptr;
};

/// Forwards requests to other daemons and accepts requests that other daemons forward to this one.
class RequestForwarder : public sigc::trackable {
 public:
  /// Puts a request back into the waiting queue of this daemon.
  using RequeueCallback =
      std::function<void(TimePoint now, PendingRequest pending, std::string_view reason)>;
  using AcceptCallback =
      std::function<void(TimePoint now, CallerRequest request, ReplyCallback done)>;

  RequestForwarder(const ForwarderParts& parts, RequeueCallback requeue, AcceptCallback accept);

  /// Ends forwarded requests whose reply is overdue and forwards waiting requests to slot holders.
  void Tick(TimePoint now);

  /// Forwards a request to the daemon `incarnation`.
  void Forward(TimePoint now, const std::string& incarnation, std::string_view reason,
               PendingRequest pending);

  /// Forwards a request to any registered daemon if this daemon is not registered itself.
  /// @return false, with `pending` unchanged, if the request was not forwarded
  bool ForwardUnregistered(TimePoint now, PendingRequest* pending);

 private:
  void ForwardWaiting(TimePoint now);
  std::optional<RouteChoice> RouteOf(TimePoint now, const std::string& pool,
                                     const std::string& team, const WaitingRequest& next);
  void OnNotSent(TimePoint now, PendingRequest pending, bool to_ticket_owner);
  void OnEnd(TimePoint now, const std::string& task_id, const ForwardReply* reply,
             std::string_view reason);
  bool MayRetryHere(TimePoint now, const PendingRequest& pending, const ForwardReply& reply) const;
  void OnMessage(TimePoint now, const std::string& sender, const PeerMessage& message);
  bool Registered() const;
  bool HasFreeSlot(std::string_view team) const;

  ForwarderParts m_parts;
  RequeueCallback m_requeue;
  AcceptCallback m_accept;
  ForwardTable m_forwards;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_REQUEST_FORWARDER_H_
