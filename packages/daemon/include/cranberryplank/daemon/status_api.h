#ifndef CRANBERRYPLANK_DAEMON_STATUS_API_H_
#define CRANBERRYPLANK_DAEMON_STATUS_API_H_

#include <memory>
#include <string>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/control/slot_ledger.h"
#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/daemon/shutdown.h"
#include "cranberryplank/daemon/vm_list_tracker.h"
#include "cranberryplank/peers/tcp_peer_links.h"

namespace cranberryplank {

/// Components that the status pages report on. All must outlive StatusApi.
struct StatusParts {
  const HeadReplica* head = nullptr;
  const SlotLedger* slots = nullptr;
  RequestRouter* router = nullptr;
  const TcpPeerLinks* links = nullptr;
  const VmListTracker* vm_list = nullptr;
  const Shutdown* shutdown = nullptr;
  Metrics* metrics = nullptr;
};

/// Serves the status pages `/healthz`, `/readyz` and `/metrics`.
class StatusApi {
 public:
  explicit StatusApi(const StatusParts& parts) : m_parts(parts) {}

  /// Handles a request if its path is one of these pages.
  /// @return false if the path belongs to another interface
  bool Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);

 private:
  std::string NotReadyReason(TimePoint now) const;
  std::string RenderMetrics(TimePoint now) const;

  StatusParts m_parts;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_STATUS_API_H_
