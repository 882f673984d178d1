#include "cranberryplank/entry/job_settings.h"

#include <fmt/format.h>

#include <array>
#include <string_view>

#include "cranberryplank/daemon/settings_table.h"

namespace cranberryplank {

namespace {

constexpr std::int64_t kHourMs = 3'600'000;
/// An order takes up to `kStartDelivery`, so less would leave too little time to start on confirmed
/// data.
constexpr std::int64_t kLeastEvacuationMs = 1'000;
constexpr double kHourSeconds = 3'600;
constexpr double kMaxCores = 1'000;
constexpr double kMaxFarFactor = 100;
constexpr std::int64_t kMostVms = 1'000'000;
constexpr std::int64_t kLeastMemoryMb = 64;
constexpr std::int64_t kMostMemoryMb = 1'048'576;
constexpr std::int64_t kLeastDescriptors = 64;
constexpr std::int64_t kMostDescriptors = 1'048'576;
constexpr std::array<std::string_view, 7> kTables{"daemon",   "listen", "platform", "bounds",
                                                  "overload", "limits", "placement"};

void ReadListen(const toml::table& root, ProblemList* problems, JobSettings* settings) {
  TableReader table(root, "listen", problems);
  table.Address("callers", &settings->caller_listen);
  table.Address("ready", &settings->ready_listen);
  table.Address("daemons", &settings->daemon_listen);
  table.Address("metrics", &settings->metrics_listen);
  table.ReportUnknownKeys();
}

void ReadPlatform(const toml::table& root, ProblemList* problems, JobSettings* settings) {
  TableReader table(root, "platform", problems);
  table.Address("store", &settings->store);
  if (table.Has("machines")) {
    settings->machines.emplace();
    table.Address("machines", &*settings->machines);
  }
  if (table.Has("advice")) {
    settings->advice.emplace();
    table.Address("advice", &*settings->advice);
  }
  table.ReportUnknownKeys();
}

void ReadBounds(const toml::table& root, ProblemList* problems, JobSettings* settings) {
  TableReader table(root, "bounds", problems);
  table.Milliseconds("revocation_ms", 100, kHourMs, &settings->revocation_bound);
  table.Milliseconds("max_lease_ms", 500, kHourMs, &settings->max_lease);
  table.Milliseconds("stop_ms", 0, kHourMs, &settings->stop_time);
  table.Milliseconds("drain_ms", 0, kHourMs, &settings->drain_time);
  if (table.Has("evacuation_ms")) {
    settings->evacuation_bound.emplace();
    table.Milliseconds("evacuation_ms", kLeastEvacuationMs, kHourMs, &*settings->evacuation_bound);
  }
  table.Milliseconds("machine_lease_ms", 0, kHourMs, &settings->machine_lease);
  table.Milliseconds("notice_ms", 0, kHourMs, &settings->notice_time);
  table.Milliseconds("harm_ms", 0, kHourMs, &settings->harm_time);
  table.Seconds("retention_s", 0, kHourSeconds, &settings->retention);
  table.Seconds("shutdown_grace_s", 0, kHourSeconds, &settings->shutdown_grace);
  table.Seconds("move_s", 0, kHourSeconds, &settings->move_time);
  table.Seconds("upkeep_s", 0, kHourSeconds, &settings->upkeep_time);
  table.ReportUnknownKeys();
}

void ReadOverload(const toml::table& root, ProblemList* problems, JobSettings* settings) {
  if (!root.contains("overload")) {
    return;
  }
  TableReader table(root, "overload", problems);
  table.Number("divide_from_vms", 0, kMostVms, &settings->divide_from_vms);
  table.ReportUnknownKeys();
}

void ReadLimits(const toml::table& root, ProblemList* problems, JobSettings* settings) {
  if (!root.contains("limits")) {
    return;
  }
  TableReader table(root, "limits", problems);
  table.Number("memory_mb", kLeastMemoryMb, kMostMemoryMb, &settings->memory_mb);
  table.Number("max_descriptors", kLeastDescriptors, kMostDescriptors, &settings->max_descriptors);
  table.ReportUnknownKeys();
}

void ReadPlacement(const toml::table& root, ProblemList* problems, JobSettings* settings) {
  if (!root.contains("placement")) {
    return;
  }
  TableReader table(root, "placement", problems);
  table.Real("far_factor", 1, kMaxFarFactor, &settings->far_factor);
  table.ReportUnknownKeys();
}

}  // namespace

std::optional<JobSettings> JobSettingsReader::ReadText(std::string_view text) {
  m_last_reason.clear();
  const auto root = ParseSettings(text, "settings", &m_last_reason);
  if (!root) {
    return std::nullopt;
  }
  ProblemList problems("settings");
  JobSettings settings;
  ReportUnknownTables(*root, kTables, &problems);
  TableReader daemon(*root, "daemon", &problems);
  daemon.Text("id", true, &settings.node);
  daemon.Text("zone", true, &settings.zone);
  daemon.Real("cpu_share", 0.001, kMaxCores, &settings.cpu_share);
  daemon.Real("cpu_speed", 0.001, kMaxCores, &settings.cpu_speed);
  daemon.LogSeverity("log_level", &settings.log_level);
  daemon.ReportUnknownKeys();
  ReadListen(*root, &problems, &settings);
  ReadPlatform(*root, &problems, &settings);
  ReadBounds(*root, &problems, &settings);
  ReadOverload(*root, &problems, &settings);
  ReadLimits(*root, &problems, &settings);
  ReadPlacement(*root, &problems, &settings);
  if (!problems.text().empty()) {
    m_last_reason = problems.text();
    return std::nullopt;
  }
  return settings;
}

}  // namespace cranberryplank
