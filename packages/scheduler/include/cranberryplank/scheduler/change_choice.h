#ifndef CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_
#define CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_

#include <cstddef>
#include <span>
#include <vector>

namespace cranberryplank {

/// A change of a job that waits to be stored.
struct PendingChange {
  std::size_t entries = 1;  ///< Transaction entries that the change needs.
  bool awaited = false;     ///< A caller waits for it or is notified of it: a new or an ended job.
};

/// Chooses the changes of the next transaction when jobs change faster than the store accepts. New
/// and ended jobs go first. Progress of running tasks waits and is often superseded by the end of
/// the job. A part of the transaction is reserved for the oldest progress, because ended runs must
/// be acknowledged within a bounded time.
/// @param pending  oldest change first
/// @param room     number of entries that fit into the transaction
/// @return indexes into `pending`, ascending
std::vector<std::size_t> ChooseChanges(std::span<const PendingChange> pending, std::size_t room);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_
