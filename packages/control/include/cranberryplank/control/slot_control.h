#ifndef CRANBERRYPLANK_CONTROL_SLOT_CONTROL_H_
#define CRANBERRYPLANK_CONTROL_SLOT_CONTROL_H_

#include <span>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// Allocation of the slots that this daemon holds under the upper limits of teams.
class SlotControl {
 public:
  virtual ~SlotControl() = default;

  /// Acquires a free slot of `team` for a task that is about to start.
  /// @return false if this daemon holds no free slot of the team.
  virtual bool Acquire(TimePoint now, std::string_view team) = 0;

  /// Releases a slot whose task is known to have ended or to never start.
  virtual void Release(TimePoint now, std::string_view team) = 0;

  /// Sets the number of requests of `team` that wait on this daemon, which determines how many
  /// slots it requests.
  virtual void SetWaiting(TimePoint now, std::string_view team, int waiting) = 0;

  /// Returns the free slots held, for the heartbeat. Teams without free slots are omitted.
  virtual std::vector<FreeSlots> Free() const = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_SLOT_CONTROL_H_
