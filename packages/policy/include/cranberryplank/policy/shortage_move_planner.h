#ifndef CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_SHORTAGE_MOVE_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

class PoolView;

/// Which pool gives a VM, after the spare pool.
enum class DonorOrder {
  kLargestSurplus,
  /// The pool whose last load peak ended most recently. Where peaks go round the queues, its next
  /// peak is the furthest away, so its VMs are least likely to be asked back.
  kLatestPeak,
};

/// Settings of `ShortageMovePlanner`.
struct ShortageMoveSettings {
  /// Time that a move takes besides the drain: two head changes in effect and the check with the
  /// worker.
  Duration move_overhead{2'000};
  /// A move is made only if the work that would be late without it exceeds this many times the
  /// capacity that the move itself costs.
  double cost_factor = 1.0;
  /// Part of the allowed wait that is planned with. The rest covers run times that vary and
  /// backlogs that differ between daemons.
  double wait_fraction = 0.5;
  /// Length of a load peak assumed until some have been observed.
  Duration initial_peak{30'000};
  /// A donor keeps this many times its present load.
  double donor_reserve = 1.3;
  DonorOrder donor_order = DonorOrder::kLargestSurplus;
};

/// Moves VMs only if a shortage would make more work late than the move costs. The offered load is
/// smoothed, so that one reading a little above the capacity is no shortage. Takes VMs from the
/// spare pool first and never takes what a pool's own demand and availability budget need.
class ShortageMovePlanner : public MovePlanner {
 public:
  explicit ShortageMovePlanner(ShortageMoveSettings settings);

  std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) override;

 private:
  struct History {
    TimePoint updated;
    std::uint64_t lost = 0;
    int waiting = 0;
    double offered = 0;       // Slots that arriving work needs, smoothed.
    double peak_seconds = 0;  // Mean length of load peaks, smoothed.
    bool in_peak = false;
    TimePoint peak_start;
    TimePoint peak_end;
    double peak_offered = 0;
  };
  struct Shortage {
    double late_work = 0;  // Slot-seconds that no present or arriving VM can do in time.
    int vms = 0;           // That would do it.
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
