#ifndef CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_

#include <map>
#include <string>

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

/// Settings of `ShortageMovePlanner`.
struct ShortageMoveSettings {
  /// Time over which a shortage has to persist before a VM is moved for it.
  Duration sustain{2'000};
  /// Time that a move takes besides the drain: two head changes in effect and the check with the
  /// worker.
  Duration move_overhead{2'000};
  /// A move is made only if the work that would be late without it exceeds this many times the
  /// capacity lost during the move.
  double cost_factor = 1.0;
  /// Time over which the highest recent need of a donor pool is remembered. Load peaks return in
  /// turn, so a pool between two peaks is not free to give.
  Duration donor_memory{120'000};
  /// Time between two moves into the same pool, by which the effect of the first is visible.
  Duration settle{4'000};
};

/// Moves VMs on sustained shortage only, from the spare pool first, and never takes what a pool's
/// own demand and availability budget need.
class ShortageMovePlanner : public MovePlanner {
 public:
  explicit ShortageMovePlanner(ShortageMoveSettings settings);

  std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) override;

 private:
  struct History {
    double need = 0;  // Highest recent need in slots, decaying over the donor memory.
    TimePoint updated;
    bool short_now = false;
    TimePoint short_since;
    TimePoint last_gain;
    bool gained = false;
  };

  void Observe(TimePoint now, std::span<const PoolLoad> pools);
  double LateWork(const PoolLoad& load) const;
  const PoolLoad* FindDonor(std::span<const PoolLoad> pools, const PoolLoad& taker,
                            const std::map<std::string, int>& given) const;

  ShortageMoveSettings m_settings;
  std::map<std::string, History> m_history;  // By pool.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
