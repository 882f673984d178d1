#include "cranberryplank/policy/shortage_move_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "pool_view.h"

namespace cranberryplank {

namespace {

// Time constant of the smoothed offered load. Arrivals per second vary by a tenth or more, while a
// longer time constant would delay the response to peaks of a few seconds. Waiting one more second
// for a shortage to persist required one more VM for the same work.
constexpr double kOfferedLoadSmoothingSeconds = 1.5;
// A peak ends when the offered load falls below this fraction of its maximum.
constexpr double kPeakEndFraction = 0.5;
// Weight of a new peak in the mean peak length.
constexpr double kPeakLengthGain = 0.25;
// Expected peak length as a multiple of the mean.
constexpr double kPeakMargin = 1.2;
// Remaining time assumed for a peak that exceeds its expected length.
constexpr double kMinRemainingSeconds = 3;

double Seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

ShortageMovePlanner::ShortageMovePlanner(ShortageMoveSettings settings) : m_settings(settings) {}

void ShortageMovePlanner::Observe(TimePoint now, const PoolView& view) {
  const PoolLoad& load = view.load();
  const auto [entry, added] = m_history.try_emplace(load.pool.name);
  History& history = entry->second;
  if (added) {
    history.offered = load.running;
    history.peak_seconds = Seconds(m_settings.initial_peak);
  } else if (now > history.updated) {
    const double elapsed = Seconds(now - history.updated);
    // The counter of lost requests is reset to 0 when a daemon restarts.
    const double lost =
        load.lost >= history.lost ? static_cast<double>(load.lost - history.lost) : 0;
    const double growth = (load.waiting - history.waiting + lost) * Seconds(load.run_time);
    const double arrived = std::max(0.0, load.running + growth / elapsed);
    history.offered +=
        (1 - std::exp(-elapsed / kOfferedLoadSmoothingSeconds)) * (arrived - history.offered);
  }
  history.updated = now;
  history.lost = load.lost;
  history.waiting = load.waiting;

  if (!history.in_peak && history.offered > view.ServingSlots()) {
    history.in_peak = true;
    history.peak_start = now;
    history.peak_offered = 0;
  }
  if (history.in_peak) {
    history.peak_offered = std::max(history.peak_offered, history.offered);
    if (history.offered < kPeakEndFraction * history.peak_offered) {
      history.in_peak = false;
      history.peak_end = now;
      history.peak_seconds +=
          kPeakLengthGain * (Seconds(now - history.peak_start) - history.peak_seconds);
    }
  }
}

ShortageMovePlanner::Shortage ShortageMovePlanner::Predict(TimePoint now,
                                                           const PoolView& view) const {
  const PoolLoad& load = view.load();
  const History& history = m_history.at(load.pool.name);
  const double run = Seconds(load.run_time);
  const double wait = m_settings.wait_fraction * Seconds(load.allowed_wait);
  const double lead = Seconds(m_settings.move_overhead) + run;
  double remaining = 0;
  if (history.in_peak) {
    remaining = std::max(kMinRemainingSeconds,
                         kPeakMargin * history.peak_seconds - Seconds(now - history.peak_start));
  }
  // The backlog and all arrivals until the end of the peak must start within the allowed wait after
  // the peak. Moved VMs contribute only after the lead time.
  const double horizon = remaining + wait;
  const double useful_seconds = horizon - lead;
  if (useful_seconds <= 0) {
    return {};
  }
  const double work = load.waiting * run + history.offered * remaining;
  const double late = work - view.ServingSlots() * horizon - view.ArrivingSlots() * useful_seconds;
  if (late <= m_settings.cost_factor * view.SlotsPerVm() * lead) {
    return {};
  }
  return Shortage{late, static_cast<int>(std::ceil(late / useful_seconds / view.SlotsPerVm()))};
}

double ShortageMovePlanner::ReservedSlots(const PoolView& view) const {
  const PoolLoad& load = view.load();
  return std::max(m_settings.donor_reserve * m_history.at(load.pool.name).offered,
                  static_cast<double>(load.running + load.waiting));
}

bool ShortageMovePlanner::CanDonate(const PoolView& view) const {
  const double left = view.ServingSlots() - view.SlotsPerVm();
  return view.ServingVms() > MinServingVms(view.load().pool) && left >= ReservedSlots(view);
}

bool ShortageMovePlanner::IsBetterDonor(const PoolView& a, const PoolView& b) const {
  if (a.load().pool.spare != b.load().pool.spare) {
    return a.load().pool.spare;
  }
  const TimePoint a_peak = m_history.at(a.load().pool.name).peak_end;
  const TimePoint b_peak = m_history.at(b.load().pool.name).peak_end;
  if (m_settings.donor_order == DonorOrder::kLatestPeak && a_peak != b_peak) {
    return a_peak > b_peak;
  }
  return a.ServingSlots() - ReservedSlots(a) > b.ServingSlots() - ReservedSlots(b);
}

PoolView* ShortageMovePlanner::FindDonor(std::vector<PoolView>* views,
                                         const PoolView& recipient) const {
  PoolView* best = nullptr;
  for (PoolView& view : *views) {
    if (&view != &recipient && CanDonate(view) && (best == nullptr || IsBetterDonor(view, *best))) {
      best = &view;
    }
  }
  return best;
}

std::vector<PlannedMove> ShortageMovePlanner::Plan(TimePoint now, std::span<const PoolLoad> pools) {
  std::vector<PoolView> views = MakePoolViews(pools);
  for (const PoolView& view : views) {
    Observe(now, view);
  }
  std::vector<PlannedMove> moves;
  for (PoolView& recipient : views) {
    const Shortage shortage = Predict(now, recipient);
    for (int i = 0; i < shortage.vms; ++i) {
      PoolView* donor = FindDonor(&views, recipient);
      if (donor == nullptr) {
        break;
      }
      const double reserved = ReservedSlots(*donor);
      const MovableVm vm = donor->TakeVm();
      recipient.AddArriving(vm.slots);
      moves.push_back(PlannedMove{
          vm.id, donor->load().pool.name, recipient.load().pool.name,
          fmt::format(
              "{:.0f} slot-seconds are predicted to be late; {} slots serve an offered load of "
              "{:.0f}; {} pool keeps {} slots for a reserve of {:.0f}",
              shortage.late_work, recipient.ServingSlots(),
              m_history.at(recipient.load().pool.name).offered,
              donor->load().pool.spare ? "spare" : "donor", donor->ServingSlots(), reserved)});
    }
  }
  return moves;
}

}  // namespace cranberryplank
