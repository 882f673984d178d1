#ifndef CRANBERRYPLANK_ENTRY_SRC_OWNER_METRICS_H_
#define CRANBERRYPLANK_ENTRY_SRC_OWNER_METRICS_H_

#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/entry/schedule_owner.h"

namespace cranberryplank {

/// Records the state and the counters of the schedule's owner.
/// @param owner must be ready
void RecordOwnerMetrics(TimePoint now, ScheduleOwner* owner, Metrics* metrics);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SRC_OWNER_METRICS_H_
