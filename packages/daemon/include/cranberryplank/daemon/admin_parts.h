#ifndef CRANBERRYPLANK_DAEMON_ADMIN_PARTS_H_
#define CRANBERRYPLANK_DAEMON_ADMIN_PARTS_H_

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/control/maintenance_coordinator.h"
#include "cranberryplank/control/vm_mover.h"
#include "cranberryplank/daemon/bundle_rollout.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/daemon/settings.h"
#include "cranberryplank/daemon/vm_list_tracker.h"

namespace cranberryplank {

/// Components that the admin API reads and changes. All must outlive it.
struct AdminParts {
  const Settings* settings = nullptr;
  HeadReplica* head = nullptr;
  VmMover* mover = nullptr;
  MaintenanceCoordinator* maintenance = nullptr;
  RequestRouter* router = nullptr;
  const VmListTracker* vm_list = nullptr;
  BundleRollout* rollout = nullptr;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_ADMIN_PARTS_H_
