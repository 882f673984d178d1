#ifndef CRANBERRYPLANK_SCHEDULER_JOB_ORDER_H_
#define CRANBERRYPLANK_SCHEDULER_JOB_ORDER_H_

#include <compare>
#include <cstdint>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Input for the order in which the waiting tasks of occurrences are placed.
struct OrderInput {
  bool long_running = false;
  bool best_effort = false;  ///< Uses leftover CPU only.
  bool over_share = false;   ///< Exceeds the customer's guaranteed jobs per second.
  int priority = 0;          ///< Of the queue; 0 is the most urgent.
  TimePoint due{};
  Duration objective{0};        ///< From `due`.
  Duration remaining_chain{0};  ///< Duration of the longest chain of dependent steps that remain.
  int remaining_steps = 0;      ///< Steps that are not done.
  /// Time that a busy owner takes for each step besides the time of its tasks: until it is placed,
  /// and until its end is known.
  Duration step_delay{0};
  bool begun = false;        ///< A task of the occurrence has been started or is done.
  std::uint64_t serial = 0;  ///< Breaks ties: the order in which the jobs were added.
};

/// Position in the order: smaller is placed first.
struct OrderKey {
  int rank = 0;
  int priority = 0;
  TimePoint objective{};
  std::uint64_t serial = 0;

  auto operator<=>(const OrderKey&) const =
      default;  // NOLINT(modernize-use-nullptr): a false finding
};

/// Returns the position of waiting work when a queue requests several times the capacity of its
/// pool for a few seconds. The earliest objective goes first. Work that can no longer meet its
/// objective comes after work that can, because its late result has little value. Work that has not
/// begun counts as too late a little earlier; otherwise all of it would begin at the last moment
/// and end just too late. How much earlier follows the owner's own delay, which grows when the
/// demand is more than it can carry.
OrderKey OrderOf(const OrderInput& input, TimePoint now);

/// Returns whether the work will end so late that its result has no value.
bool IsWorthless(const OrderInput& input, TimePoint now);

/// Returns the latest time at which the waiting work counts as work that can meet its objective.
TimePoint LatestStart(const OrderInput& input);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_JOB_ORDER_H_
