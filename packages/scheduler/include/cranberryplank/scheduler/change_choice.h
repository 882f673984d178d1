#ifndef CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_
#define CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_

#include <cstddef>
#include <span>
#include <vector>

namespace cranberryplank {

/// A job's change that waits to be stored.
struct PendingChange {
  std::size_t entries = 1;  ///< Entries of a transaction that it takes.
  bool awaited = false;     ///< A caller waits for it, or is told of it: a new or an ended job.
};

/// Chooses the changes of the next transaction, for the load in which jobs change faster than the
/// store takes it. New and ended jobs go first; progress of running tasks waits, and is then often
/// superseded by the job's end. A part of the room is kept for the oldest progress, because
/// workers' ends must be acknowledged within a bound.
/// @param pending  oldest change first
/// @param room     entries that the transaction takes
/// @return indexes into `pending`, ascending
std::vector<std::size_t> ChooseChanges(std::span<const PendingChange> pending, std::size_t room);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_
