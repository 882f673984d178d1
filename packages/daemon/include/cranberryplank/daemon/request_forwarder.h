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

/// Hops of a forwarded request: to the owner of its ticket and from there to a slot holder.
inline constexpr int kMaxHops = 2;

/// Objects that a forwarder works with. All must outlive it.
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

/// Passes requests on to other daemons, and takes those that others pass on to this one.
class RequestForwarder : public sigc::trackable {
 public:
  /// Puts a request back among those that wait here.
  using RequeueCallback =
      std::function<void(TimePoint now, PendingRequest pending, std::string_view reason)>;
  using AcceptCallback =
      std::function<void(TimePoint now, CallerRequest request, ReplyCallback done)>;

  RequestForwarder(const ForwarderParts& parts, RequeueCallback requeue, AcceptCallback accept);

  /// Gives up forwarded requests without a reply and forwards waiting ones to slot holders.
  void Tick(TimePoint now);

  /// Passes a request on.
  void Forward(TimePoint now, const std::string& incarnation, std::string_view reason,
               PendingRequest pending);

  /// Passes a request on to any registered daemon, if this one is not registered itself.
  /// @return false, with `pending` untouched, if there is none
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
