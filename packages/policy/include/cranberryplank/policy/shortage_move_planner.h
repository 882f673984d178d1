#ifndef CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

class PoolView;

/// Order in which pools other than the spare pool donate VMs.
enum class DonorOrder {
  kLargestSurplus,  ///< Pool with the most slots beyond its reserve first.
  /// Pool whose last load peak ended most recently first. If the pools peak in turn, its next peak
  /// is the furthest away, so its VMs are the least likely to be needed back.
  kLatestPeak,
};

/// Settings of `ShortageMovePlanner`.
struct ShortageMoveSettings {
  /// Duration of a move without the drain: two head changes that must be in effect and the check
  /// that the worker is empty.
  Duration move_overhead{2'000};
  /// A move is planned only if the late work without it exceeds this multiple of the capacity that
  /// the move itself costs.
  double cost_factor = 1.0;
  /// Fraction of the allowed wait used in the prediction. The rest absorbs varying run times and
  /// backlogs that differ between daemons.
  double wait_fraction = 0.5;
  /// Length of a load peak that is assumed until peaks have been observed.
  Duration initial_peak{30'000};
  /// A donor keeps capacity for this multiple of its current load.
  double donor_reserve = 1.3;
  DonorOrder donor_order = DonorOrder::kLargestSurplus;
};

/// Moves VMs only if the predicted late work exceeds the cost of the move. The offered load is
/// smoothed, so that a single reading slightly above the capacity does not count as a shortage.
/// Takes VMs from the spare pool first and leaves each donor the VMs that its own demand and
/// availability budget need.
class ShortageMovePlanner : public MovePlanner {
 public:
  explicit ShortageMovePlanner(ShortageMoveSettings settings);

  std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) override;

 private:
  struct History {
    TimePoint updated;
    std::uint64_t lost = 0;
    int waiting = 0;
    double offered = 0;       // Smoothed slots needed by arriving work.
    double peak_seconds = 0;  // Smoothed mean length of load peaks.
    bool in_peak = false;
    TimePoint peak_start;
    TimePoint peak_end;
    double peak_offered = 0;
  };
  struct Shortage {
    double late_work = 0;  // Slot-seconds that serving and arriving VMs cannot finish in time.
    int vms = 0;           // Additional VMs needed to finish it in time.
  };

  void Observe(TimePoint now, const PoolView& view);
  Shortage Predict(TimePoint now, const PoolView& view) const;
  double ReservedSlots(const PoolView& view) const;
  bool CanDonate(const PoolView& view) const;
  bool IsBetterDonor(const PoolView& a, const PoolView& b) const;
  PoolView* FindDonor(std::vector<PoolView>* views, const PoolView& recipient) const;

  ShortageMoveSettings m_settings;
  std::map<std::string, History> m_history;  // By pool.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
