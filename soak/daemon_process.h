#ifndef SOAK_DAEMON_PROCESS_H_
#define SOAK_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

#include "cranberryplank/daemon/settings.h"

namespace cranberryplank {

/// Returns the next port of 127.0.0.1 that nothing uses. The ports are below those of outgoing
/// connections, and each process has its own.
std::uint16_t NextPort();

/// A real daemon in a process of its own.
class DaemonProcess {
 public:
  /// @param folder work folder for settings and log
  /// @param store address of the store for this daemon alone
  DaemonProcess(std::string program, const std::string& folder, int number, const Endpoint& store);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  ~DaemonProcess();

  void Start();
  void Signal(int signal) const;
  /// Collects the process if it has ended. @return whether it runs
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
