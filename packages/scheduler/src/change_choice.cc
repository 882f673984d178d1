#include "cranberryplank/scheduler/change_choice.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// One of this many entries is reserved for progress while more awaited changes exist than fit.
constexpr std::size_t kProgressDivisor = 4;
/// Progress that has waited this long goes first.
constexpr Duration kOverdueAge{500};

enum class Class { kOverdue, kAwaited, kProgress };

Class ClassOf(const PendingChange& change) {
  if (change.awaited) {
    return Class::kAwaited;
  }
  return change.age >= kOverdueAge ? Class::kOverdue : Class::kProgress;
}

/// Adds the oldest changes of one class that fit, and subtracts their entries from `room`.
void Choose(std::span<const PendingChange> pending, Class chosen_class, std::size_t* room,
            std::vector<std::size_t>* chosen) {
  for (std::size_t i = 0; i < pending.size(); ++i) {
    if (ClassOf(pending[i]) != chosen_class) {
      continue;
    }
    if (pending[i].entries > *room) {
      return;
    }
    *room -= pending[i].entries;
    chosen->push_back(i);
  }
}

}  // namespace

std::vector<std::size_t> ChooseChanges(std::span<const PendingChange> pending, std::size_t room) {
  std::vector<std::size_t> chosen;
  std::size_t left = room;
  Choose(pending, Class::kOverdue, &left, &chosen);
  std::size_t progress = 0;
  for (const PendingChange& change : pending) {
    progress += ClassOf(change) == Class::kProgress ? change.entries : 0;
  }
  const std::size_t kept = std::min({progress, room / kProgressDivisor, left});
  left -= kept;
  Choose(pending, Class::kAwaited, &left, &chosen);
  left += kept;
  Choose(pending, Class::kProgress, &left, &chosen);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace cranberryplank
