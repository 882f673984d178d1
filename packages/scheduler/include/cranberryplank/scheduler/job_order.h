#ifndef CRANBERRYPLANK_SCHEDULER_JOB_ORDER_H_
#define CRANBERRYPLANK_SCHEDULER_JOB_ORDER_H_

#include <compare>
#include <string>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// What decides when the waiting tasks of an occurrence are placed.
struct OrderInput {
  bool long_running = false;
  bool best_effort = false;  ///< Uses leftover CPU only.
  bool over_share = false;   ///< Beyond the jobs a second that the customer is owed.
  int priority = 0;          ///< Of the queue; 0 is the most urgent.
  TimePoint due{};
  Duration objective{0};        ///< From `due`.
  Duration remaining_chain{0};  ///< Work that must still run one step after the other.
  int remaining_steps = 0;      ///< Steps that are not done.
  bool begun = false;           ///< A task of the occurrence has been started or is done.
  std::string id;               ///< Breaks ties.
};

/// Position in the order: smaller is placed first.
struct OrderKey {
  int rank = 0;
  int priority = 0;
  TimePoint objective{};
  std::string id;

  auto operator<=>(const OrderKey&) const =
      default;  // NOLINT(modernize-use-nullptr): a false finding
};

/// Orders waiting work for the load in which a queue asks for several times its pool for some
/// seconds: the earliest objective goes first, and work that can no longer meet its objective
/// yields to work that can, since it is worth little whenever it ends. Work that has not begun
/// counts as too late a little earlier: else all of it would begin at the last moment and end just
/// too late.
OrderKey OrderOf(const OrderInput& input, TimePoint now);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_JOB_ORDER_H_
