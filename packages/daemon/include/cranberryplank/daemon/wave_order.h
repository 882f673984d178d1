#ifndef CRANBERRYPLANK_DAEMON_WAVE_ORDER_H_
#define CRANBERRYPLANK_DAEMON_WAVE_ORDER_H_

#include "cranberryplank/control/maintenance_coordinator.h"
#include "cranberryplank/daemon/request_router.h"

namespace cranberryplank {

/// Returns a picker that selects the next VMs of a maintenance wave with the budget wave planner of
/// package `policy`. `router` must outlive the result.
WavePicker WaveOrderOf(RequestRouter* router);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_WAVE_ORDER_H_
