#ifndef CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_
#define CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_

#include <cstddef>
#include <span>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// A change of a job that waits to be stored.
struct PendingChange {
  std::size_t entries = 1;  ///< Transaction entries of its own that the change needs.
  bool awaited = false;     ///< A caller waits for it or is notified of it: a new or an ended job.
  Duration age{0};
};

/// Chooses the changes of the next transaction when jobs change faster than the store accepts.
/// Progress that has waited too long goes first, because until it is stored only the worker knows
/// of the ended runs. Then come new and ended jobs. Other progress of running tasks waits, and
/// is often superseded by the end of the job; a part of the transaction is reserved for the oldest.
/// @param pending  oldest change first
/// @param room     number of entries that fit into the transaction
/// @return indexes into `pending`, ascending
std::vector<std::size_t> ChooseChanges(std::span<const PendingChange> pending, std::size_t room);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_CHANGE_CHOICE_H_
