#include "cranberryplank/scheduler/change_choice.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// One of this many entries is reserved for progress while more awaited changes exist than fit.
constexpr std::size_t kProgressDivisor = 4;

/// Adds the oldest changes of one kind that fit, and subtracts their entries from `room`.
void Choose(std::span<const PendingChange> pending, bool awaited, std::size_t* room,
            std::vector<std::size_t>* chosen) {
  for (std::size_t i = 0; i < pending.size() && *room > 0; ++i) {
    if (pending[i].awaited != awaited) {
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
  std::size_t progress = 0;
  for (const PendingChange& change : pending) {
    progress += change.awaited ? 0 : change.entries;
  }
  const std::size_t kept = std::min(progress, room / kProgressDivisor);
  std::vector<std::size_t> chosen;
  std::size_t left = room - kept;
  Choose(pending, true, &left, &chosen);
  left += kept;
  Choose(pending, false, &left, &chosen);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace cranberryplank
