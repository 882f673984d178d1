#ifndef TESTS_PROCESS_MEASURED_DAEMON_H_
#define TESTS_PROCESS_MEASURED_DAEMON_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "daemon_under_test.h"

namespace cranberryplank {

/// A daemon and the most that it, and the kernel for it, held at the times of measurement.
class MeasuredDaemon {
 public:
  /// Waits until the daemon answers.
  explicit MeasuredDaemon(const DaemonOptions& options);

  DaemonUnderTest& daemon() { return m_daemon; }
  std::uint16_t port(Listener listener) const { return m_daemon.port(listener); }

  void Measure();
  std::function<void()> Observer() {
    return [this] { Measure(); };
  }

  /// Checks that the process lives and that no measurement exceeded the memory and the descriptors
  /// of its options.
  void CheckWithinLimits();
  /// Checks also that ordinary requests are answered.
  void CheckServesWithinLimits();

 private:
  DaemonOptions m_options;
  DaemonUnderTest m_daemon;
  std::size_t m_peak_kb = 0;         ///< Of the process and the kernel's queues together.
  std::size_t m_peak_queues_kb = 0;  ///< Of the kernel's queues.
  std::size_t m_descriptors = 0;
};

/// Sends a request until it gets an answer that begins with `status`, as clients repeat it. A
/// daemon that never answers so fails the test by its time limit.
void RequireAnswer(std::uint16_t port, const std::string& request,
                   const std::string& status = "HTTP/1.1 ");

/// Returns an ordinary request for a path, on a connection that closes after the response.
std::string Get(const std::string& path);

}  // namespace cranberryplank

#endif  // TESTS_PROCESS_MEASURED_DAEMON_H_
