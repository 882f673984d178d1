#ifndef SOAK_DAEMON_PROCESS_H_
#define SOAK_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "cranberryplank/daemon/settings.h"

namespace cranberryplank {

/// Returns the next unused port on 127.0.0.1. The ports are below the ephemeral port range, and the
/// process id selects the first one so that concurrent runs rarely share a range.
std::uint16_t NextPort();

/// Runs the daemon's program in a child process.
class DaemonProcess {
 public:
  /// @param folder directory of the settings file and the log
  /// @param store address at which this daemon alone reaches the store, so that store faults can be
  ///   injected for each daemon
  DaemonProcess(std::string program, const std::string& folder, int number, const Endpoint& store);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  ~DaemonProcess();

  void Start();
  void Signal(int signal) const;
  /// Changes the text of the settings file, but none of the settings.
  void TouchSettings() const;
  /// Reaps the process if it has exited. @return whether it is running
  bool Running();
  const Endpoint& callers() const { return m_caller_endpoint; }

 private:
  std::string m_program;
  std::string m_settings_path;
  std::string m_log_path;
  Endpoint m_caller_endpoint;
  pid_t m_pid = -1;
};

}  // namespace cranberryplank

#endif  // SOAK_DAEMON_PROCESS_H_
