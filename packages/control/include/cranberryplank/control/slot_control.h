#ifndef CRANBERRYPLANK_CONTROL_SLOT_CONTROL_H_
#define CRANBERRYPLANK_CONTROL_SLOT_CONTROL_H_

#include <span>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"

namespace cranberryplank {

/// The slots of teams' upper limits that this daemon holds.
class SlotControl {
 public:
  virtual ~SlotControl() = default;

  /// Takes a free slot of `team` for a task about to start.
  /// @return false if this daemon holds no free slot of the team.
  virtual bool Acquire(TimePoint now, std::string_view team) = 0;

  /// Frees a slot after its task is known to have ended or never to start.
  virtual void Release(TimePoint now, std::string_view team) = 0;

  /// Tells how many requests of `team` wait here, so that slots can be asked for.
  virtual void SetWaiting(TimePoint now, std::string_view team, int waiting) = 0;

  /// Free slots held, for the heartbeat; teams without free slots are left out.
  virtual std::vector<FreeSlots> Free() const = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_SLOT_CONTROL_H_
