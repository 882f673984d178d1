#ifndef CRANBERRYPLANK_DAEMON_WAVE_ORDER_H_
#define CRANBERRYPLANK_DAEMON_WAVE_ORDER_H_

#include "cranberryplank/control/maintenance_coordinator.h"
#include "cranberryplank/daemon/request_router.h"

namespace cranberryplank {

/// Returns the order in which maintenance waves take VMs down, by the wave planner of package
/// `policy`. `router` must outlive the result.
WavePicker WaveOrderOf(RequestRouter* router);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_WAVE_ORDER_H_
