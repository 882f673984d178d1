#ifndef CRANBERRYPLANK_ENTRY_JOB_SETTINGS_H_
#define CRANBERRYPLANK_ENTRY_JOB_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/daemon/settings.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Settings of a daemon that schedules jobs. docs/SETTINGS.md describes each setting.
struct JobSettings {
  std::string node;
  std::string zone;
  double cpu_share = 1;  ///< Cores of the VM; may be a fraction.
  double cpu_speed = 1;  ///< Speed of these cores relative to a standard core.
  Endpoint caller_listen;
  Endpoint ready_listen;
  Endpoint daemon_listen;
  Endpoint metrics_listen;
  Endpoint store;
  std::optional<Endpoint> machines;
  std::optional<Endpoint> advice;
  Duration revocation_bound{5'000};  ///< A withdrawn key must not be accepted for longer.
  Duration max_lease{6'000};         ///< Longest lease that workers grant.
  Duration stop_time{900};           ///< Longest time to stop a task.
  Duration drain_time{2'000};  ///< A worker accepts starts for this long after it reports to drain.
  /// A worker must not begin a start in a zone later than this after its evacuation was requested;
  /// nothing if such requests are ignored.
  std::optional<Duration> evacuation_bound;
  Duration retention{120'000};  ///< How long the state of an ended job stays available.
  Duration shutdown_grace{6'000};
  Duration machine_lease{3'000};  ///< Two holders must not send orders to one VM within this time.
  Duration move_time{1'500};
  Duration upkeep_time{2'000};
  Duration notice_time{4'500};  ///< A task that has not run for this long counts as away.
  Duration harm_time{4'000};    ///< Longest time that best-effort tasks may slow a serving task.
  /// While the pools want more VMs than there are, a fleet of at least this many VMs is divided
  /// among them; 0 for none.
  int divide_from_vms = 0;
  std::size_t memory_mb = 160;          ///< Memory of the VM that the process may use.
  std::size_t max_descriptors = 4'100;  ///< Descriptors that the process may open.
  double far_factor = 1;  ///< Duration of a task away from its data, relative to near it.
  LogLevel log_level = LogLevel::kInfo;
};

/// Parses and validates settings in TOML.
class JobSettingsReader {
 public:
  /// @return nothing, with `last_reason()` set, if the text is not valid
  std::optional<JobSettings> ReadText(std::string_view text);
  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_JOB_SETTINGS_H_
