#ifndef TESTS_PROCESS_DAEMON_UNDER_TEST_H_
#define TESTS_PROCESS_DAEMON_UNDER_TEST_H_

#include <sys/types.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cranberryplank {

/// Addresses at which a daemon accepts connections.
enum class Listener { kCallers, kReady, kDaemons, kMetrics };

/// Returns a loopback port that is free at the time of the call.
std::uint16_t FreePort();

/// How a daemon under test is started.
struct DaemonOptions {
  std::size_t max_descriptors = 0;  ///< Limit of the process's open descriptors.
  std::size_t memory_mb = 0;        ///< The setting `limits.memory_mb`; 0 for its default.
  int number = 1;                   ///< Distinguishes the daemons of one test.
  std::uint16_t store_port = 0;     ///< Of the store; 0 for one that refuses connections.
};

/// A job daemon as a process of its own, on loopback addresses.
class DaemonUnderTest {
 public:
  explicit DaemonUnderTest(const DaemonOptions& options);
  /// Ends the process.
  ~DaemonUnderTest();
  DaemonUnderTest(const DaemonUnderTest&) = delete;
  DaemonUnderTest& operator=(const DaemonUnderTest&) = delete;

  std::uint16_t port(Listener listener) const {
    return m_ports.at(static_cast<std::size_t>(listener));
  }

  bool alive() const;
  void Signal(int signal) const;
  /// Changes the settings file without a change of what it sets.
  void TouchSettings() const;
  /// Waits until the process ends by itself. @return whether its exit status was 0
  bool WaitForEnd();
  /// Starts the process again after its end, with the same settings.
  void Restart();
  /// Returns the highest resident memory of the process so far, in kilobytes.
  std::size_t peak_memory_kb() const;
  /// Returns the resident memory of the process, in kilobytes.
  std::size_t memory_kb() const;
  /// Returns the bytes that the kernel holds in the queues of the process's connections with its
  /// clients: received and not read, sent and not acknowledged.
  std::size_t kernel_queue_bytes() const;
  std::size_t open_descriptors() const;

 private:
  std::size_t StatusField(const std::string& name) const;

  void Start();

  std::size_t m_max_descriptors;
  std::array<std::uint16_t, 4> m_ports;  ///< By listener.
  std::string m_settings_path;
  std::string m_log_path;
  pid_t m_process = -1;
};

}  // namespace cranberryplank

#endif  // TESTS_PROCESS_DAEMON_UNDER_TEST_H_
