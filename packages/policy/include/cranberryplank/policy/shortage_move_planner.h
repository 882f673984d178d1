#ifndef CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

class PoolView;

/// Settings of `ShortageMovePlanner`.
struct ShortageMoveSettings {
  /// Time over which a shortage has to persist before a VM is moved for it.
  Duration sustain{2'000};
  /// Time that a move takes besides the drain: two head changes in effect and the check with the
  /// worker.
  Duration move_overhead{2'000};
  /// A move is made only if the work lost or late exceeds this many times the capacity that the
  /// move itself costs.
  double cost_factor = 1.0;
  /// Time over which needs and lost work are remembered. Load peaks return in turn, so a pool
  /// between two peaks is not free to give, and shortages too short to move for add up.
  Duration memory{600'000};
  /// VMs that a donor keeps beyond its remembered need.
  double donor_margin = 0.0;
  /// Time between two rounds of moves into the same pool, by which the first shows its effect.
  Duration settle{10'000};
};

/// Moves VMs on sustained shortage only, from the spare pool first, and never takes what a pool's
/// own demand and availability budget need.
class ShortageMovePlanner : public MovePlanner {
 public:
  explicit ShortageMovePlanner(ShortageMoveSettings settings);

  std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) override;

 private:
  struct History {
    TimePoint updated;
    double need = 0;       // Highest slots needed to serve in time, fading over the memory.
    double late_work = 0;  // Slot-seconds lost, fading likewise.
    double projected_late = 0;
    std::uint64_t lost = 0;
    bool busy = false;  // Requests wait or are lost.
    TimePoint busy_since;
    double served = 0;  // Slot-seconds in this busy period.
    double lost_work = 0;
    double waiting_work = 0;
    bool short_now = false;
    TimePoint short_since;
    bool gained = false;
    TimePoint last_gain;
  };

  void Observe(TimePoint now, const PoolView& view);
  bool Sustained(TimePoint now, const PoolView& view);
  double Keep(const PoolView& view) const;
  PoolView* FindDonor(std::vector<PoolView>* views, const PoolView& taker) const;

  ShortageMoveSettings m_settings;
  std::map<std::string, History> m_history;  // By pool.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
