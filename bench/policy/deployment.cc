#include "deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numbers>
#include <set>

namespace cranberryplank::bench {

namespace {

std::optional<nlohmann::json> ReadJson(const std::string& path, std::string* last_reason) {
  std::ifstream file(path);
  nlohmann::json value = nlohmann::json::parse(file, nullptr, false);
  if (value.is_discarded()) {
    *last_reason = fmt::format("{} cannot be read as JSON", path);
    return std::nullopt;
  }
  return value;
}

bool ReadFleet(const std::string& directory, Fleet* fleet, std::string* last_reason) {
  const auto bundle = ReadJson(directory + "/bundle.json", last_reason);
  const auto vms = ReadJson(directory + "/vms.json", last_reason);
  if (!bundle || !vms) {
    return false;
  }
  for (const auto& [part, list] : bundle->items()) {
    if (!DecodePart(part, list.dump(), fleet, last_reason)) {
      return false;
    }
  }
  std::map<std::string, nlohmann::json> shards;
  for (const nlohmann::json& vm : *vms) {
    nlohmann::json& shard = shards[VmPartName(vm.at("rack").get<std::string>())];
    shard.push_back(vm);
  }
  return std::all_of(shards.begin(), shards.end(), [&](const auto& shard) {
    return DecodePart(shard.first, shard.second.dump(), fleet, last_reason);
  });
}

void SetOfficeLoad(Deployment* deployment) {
  deployment->queues = {{"tone-tests", "tone-testing", 1.5, 12},
                        {"hallmark-registrations", "hallmarks", 1.0, 10},
                        {"export-permits", "export-permits", 1.0, 10},
                        {"cooperative-payments", "payments", 0.5, 10},
                        {"counter", "counter", 0.5, 10}};
  deployment->teams = {{"artisans-guild", 0.35},     {"inspectorate", 0.25},
                       {"export-clerks", 0.15},      {"valley-cooperative", 0.10},
                       {"alpine-cooperative", 0.10}, {"port-office", 0.05}};
}

void SetTauwharePikeLoad(Deployment* deployment) {
  deployment->queues = {{"shortlists", "shortlists", 1.5, 15},
                        {"trade-mark-screening", "screening", 2.0, 20},
                        {"te-reo-usage-checks", "usage-checks", 4.0, 40},
                        {"domain-availability", "domains", 0.5, 10},
                        {"billing-records", "billing-records", 0.5, 10}};
  deployment->teams = {{"pike-consultants", 0.30}, {"client-legal", 0.30},
                       {"harbour-agency", 0.15},   {"kauri-agency", 0.10},
                       {"rimu-agency", 0.10},      {"records-office", 0.05}};
  deployment->shortest_peak_seconds = 20;
  deployment->longest_peak_seconds = 40;
}

}  // namespace

std::optional<Deployment> LoadDeployment(std::string_view contrib, std::string_view name,
                                         std::string* last_reason) {
  Deployment deployment;
  deployment.name = name;
  if (!ReadFleet(fmt::format("{}/{}", contrib, name), &deployment.fleet, last_reason)) {
    return std::nullopt;
  }
  if (name == "office") {
    SetOfficeLoad(&deployment);
  } else {
    SetTauwharePikeLoad(&deployment);
  }
  std::set<std::string> zones;
  for (const auto& [id, vm] : deployment.fleet.vms) {
    zones.insert(vm.zone);
  }
  deployment.zones.assign(zones.begin(), zones.end());
  return deployment;
}

PeakSchedule::PeakSchedule(const Deployment& deployment, double seconds, double day_seconds,
                           std::uint64_t seed)
    : m_deployment(deployment), m_day_seconds(day_seconds) {
  for (const QueueShape& queue : deployment.queues) {
    double slots = 0;
    for (const auto& [id, vm] : deployment.fleet.vms) {
      slots += vm.pool == queue.pool ? vm.slots : 0;
    }
    m_peak_slots.push_back(slots * deployment.peak_over_capacity);
  }
  SeededRandom random(seed);
  double end = 0;
  for (std::size_t i = 0; end < seconds; ++i) {
    end += deployment.shortest_peak_seconds +
           random.Fraction() * (deployment.longest_peak_seconds - deployment.shortest_peak_seconds);
    m_peaks.push_back(Peak{end, i % deployment.queues.size()});
  }
}

double PeakSchedule::Load(std::size_t queue, double at_seconds) const {
  const auto peak =
      std::upper_bound(m_peaks.begin(), m_peaks.end(), at_seconds,
                       [](double at, const Peak& candidate) { return at < candidate.end; });
  const double phase = at_seconds / m_day_seconds +
                       static_cast<double>(queue) / static_cast<double>(m_peak_slots.size());
  const double day = 1.0 + m_deployment.daily_swing * std::sin(2 * std::numbers::pi * phase);
  const double mean = m_peak_slots[queue] / kPeakOverMean * day;
  const bool in_peak = peak != m_peaks.end() && peak->queue == queue;
  return mean * (in_peak ? kPeakOverMean : kOffPeakOverMean);
}

double DeadlineSeconds(const QueueShape& queue, double run_seconds) {
  constexpr double kRunFactor = 3;
  return queue.wait_seconds + kRunFactor * run_seconds;
}

double DrawExponential(double mean, RandomSource& random) {
  return -mean * std::log1p(-random.Fraction());
}

double DrawRunSeconds(double mean, RandomSource& random) {
  constexpr double kShortestSeconds = 0.02;
  constexpr double kShortFraction = 0.8;
  constexpr double kShortMean = 0.6;
  constexpr double kLongMean = (1 - kShortFraction * kShortMean) / (1 - kShortFraction);
  const double factor = random.Fraction() < kShortFraction ? kShortMean : kLongMean;
  return std::max(kShortestSeconds, DrawExponential(mean * factor, random));
}

}  // namespace cranberryplank::bench
