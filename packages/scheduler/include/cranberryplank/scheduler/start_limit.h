#ifndef CRANBERRYPLANK_SCHEDULER_START_LIMIT_H_
#define CRANBERRYPLANK_SCHEDULER_START_LIMIT_H_

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Load of an owner that has more to do than it can.
struct OwnerLoad {
  Duration oldest_unstored{0};   ///< Age of the oldest change that is not stored.
  Duration transaction_time{0};  ///< How long the newest transaction took.
  double ends_per_pass = 0;      ///< Ended runs stored between two placement passes, on average.
  bool store_failing = false;    ///< The store does not answer, so a late change shows no overload.
};

/// Returns how many tasks may be started in one placement pass.
///
/// The load that this answers: demand of several times what the owner can carry. Each start leads
/// to an end that must be stored. If starts go on while the storing of ends is behind, the backlog
/// grows without limit, and a change of owner loses all of it. While storing is behind, about one
/// task is started for each end that is stored, fewer the longer changes wait, and none if they
/// wait too long. A pass never takes so long that lease renewals and replies wait for it.
int StartsAllowed(const OwnerLoad& load);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_START_LIMIT_H_
