#ifndef CRANBERRYPLANK_SUPPORT_SCHEDULER_H_
#define CRANBERRYPLANK_SUPPORT_SCHEDULER_H_

#include <functional>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Runs actions at given times.
class Scheduler {
 public:
  using Action = std::function<void(TimePoint now)>;

  virtual ~Scheduler() = default;

  virtual TimePoint Now() const = 0;

  /// Runs `action` at `when`, or as soon as possible if `when` has passed; never from inside this
  /// call.
  virtual void Schedule(TimePoint when, Action action) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_SCHEDULER_H_
