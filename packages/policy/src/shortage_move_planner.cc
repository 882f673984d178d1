#include "cranberryplank/policy/shortage_move_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "pool_view.h"

namespace cranberryplank {

namespace {

double Seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

ShortageMovePlanner::ShortageMovePlanner(ShortageMoveSettings settings) : m_settings(settings) {}

void ShortageMovePlanner::Observe(TimePoint now, const PoolView& view) {
  const PoolLoad& load = view.load();
  const auto [entry, added] = m_history.try_emplace(load.pool.name);
  History& history = entry->second;
  if (added) {
    history.updated = now;
    history.lost = load.lost;
  }
  const double elapsed = Seconds(now - history.updated);
  const double fade = std::exp(-elapsed / Seconds(m_settings.memory));
  const double run = Seconds(load.run_time);
  const double allowed = std::max(0.1, Seconds(load.allowed_wait));
  const double lost = load.lost >= history.lost ? static_cast<double>(load.lost - history.lost) : 0;
  history.lost = load.lost;
  history.updated = now;
  history.need *= fade;
  history.late_work = history.late_work * fade + lost * run;

  const int capacity = view.ServingSlots();
  if (load.waiting == 0 && lost == 0) {
    history.busy = false;
    history.projected_late = 0;
    history.need = std::max(history.need, static_cast<double>(load.running));
    return;
  }
  if (!history.busy) {
    history.busy = true;
    history.busy_since = now;
    history.served = 0;
    history.lost_work = 0;
    history.waiting_work = 0;
  }
  history.served += load.running * elapsed;
  history.lost_work += lost * run;
  const double waiting_work = load.waiting * run;
  const double growth = elapsed > 0 ? (waiting_work - history.waiting_work) / elapsed : 0;
  history.waiting_work = waiting_work;
  // All work that arrived in this busy period has to be done within the period and the allowed
  // wait, so this many slots would have been enough.
  const double arrived = history.served + history.lost_work + waiting_work;
  history.need = std::max(history.need, arrived / (Seconds(now - history.busy_since) + allowed));
  // Backlog at the time a move started now would be done, beyond what can start in time.
  const double ahead = Seconds(m_settings.move_overhead) + run;
  history.projected_late =
      std::max(0.0, waiting_work + std::max(0.0, growth) * ahead - capacity * allowed);
}

double ShortageMovePlanner::Keep(const PoolView& view) const {
  const History& history = m_history.at(view.load().pool.name);
  return std::max(history.need, static_cast<double>(view.load().running + view.load().waiting));
}

PoolView* ShortageMovePlanner::FindDonor(std::vector<PoolView>* views,
                                         const PoolView& taker) const {
  PoolView* best = nullptr;
  double best_surplus = 0;
  for (PoolView& view : *views) {
    // VMs under the budget may be down at any moment, so the pool must do without them.
    const int reserve = view.load().pool.budget.per_pool;
    if (&view == &taker || view.ServingVms() - 1 < reserve + 1) {
      continue;
    }
    const double margin = m_settings.donor_margin * view.SlotsPerVm();
    const double surplus = view.ServingSlots() - view.SlotsPerVm() - Keep(view) - margin;
    if (surplus < 0) {
      continue;
    }
    const bool better =
        best == nullptr || (view.load().pool.spare && !best->load().pool.spare) ||
        (view.load().pool.spare == best->load().pool.spare && surplus > best_surplus);
    if (better) {
      best = &view;
      best_surplus = surplus;
    }
  }
  return best;
}

bool ShortageMovePlanner::Sustained(TimePoint now, const PoolView& view) {
  History& history = m_history.at(view.load().pool.name);
  const double move_seconds = Seconds(m_settings.move_overhead) + Seconds(view.load().run_time);
  const double cost = m_settings.cost_factor * view.SlotsPerVm() * move_seconds;
  const bool short_now = history.late_work + history.projected_late > cost &&
                         history.need > view.ServingSlots() + view.ArrivingSlots();
  if (!short_now) {
    history.short_now = false;
    return false;
  }
  if (!history.short_now) {
    history.short_now = true;
    history.short_since = now;
  }
  return now - history.short_since >= m_settings.sustain &&
         (!history.gained || now - history.last_gain >= m_settings.settle);
}

std::vector<PlannedMove> ShortageMovePlanner::Plan(TimePoint now, std::span<const PoolLoad> pools) {
  std::vector<PoolView> views = ViewPools(pools);
  for (const PoolView& view : views) {
    Observe(now, view);
  }
  std::vector<PlannedMove> moves;
  for (PoolView& taker : views) {
    if (!Sustained(now, taker)) {
      continue;
    }
    History& history = m_history.at(taker.load().pool.name);
    const double work = history.late_work + history.projected_late;
    int wanted = static_cast<int>(std::ceil(
        (history.need - taker.ServingSlots() - taker.ArrivingSlots()) / taker.SlotsPerVm()));
    for (; wanted > 0; --wanted) {
      PoolView* donor = FindDonor(&views, taker);
      if (donor == nullptr) {
        break;
      }
      const MovableVm vm = donor->TakeVm();
      taker.AddArriving(vm.slots);
      moves.push_back(PlannedMove{
          vm.id, donor->load().pool.name, taker.load().pool.name,
          fmt::format("{:.0f} slot-seconds late or lost, needs {:.0f} slots, has {}; {} pool keeps "
                      "{:.0f} slots for itself",
                      work, history.need, taker.ServingSlots(),
                      donor->load().pool.spare ? "spare" : "donor", Keep(*donor))});
      history.gained = true;
      history.last_gain = now;
      history.late_work = 0;
    }
  }
  return moves;
}

}  // namespace cranberryplank
