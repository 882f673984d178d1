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

/// A job daemon as a process of its own, on loopback addresses, with a store that refuses
/// connections.
class DaemonUnderTest {
 public:
  /// @param max_descriptors limit of the process's open descriptors
  /// @param limits text of the settings' table `limits`; empty for the defaults
  DaemonUnderTest(std::size_t max_descriptors, const std::string& limits);
  /// Ends the process.
  ~DaemonUnderTest();
  DaemonUnderTest(const DaemonUnderTest&) = delete;
  DaemonUnderTest& operator=(const DaemonUnderTest&) = delete;

  std::uint16_t port(Listener listener) const {
    return m_ports.at(static_cast<std::size_t>(listener));
  }

  bool alive() const;
  /// Returns the highest resident memory of the process so far, in kilobytes.
  std::size_t peak_memory_kb() const;
  /// Returns the resident memory of the process, in kilobytes.
  std::size_t memory_kb() const;
  std::size_t open_descriptors() const;

 private:
  std::size_t StatusField(const std::string& name) const;

  std::array<std::uint16_t, 4> m_ports;  ///< By listener.
  std::string m_settings_path;
  std::string m_log_path;
  pid_t m_process = -1;
};

}  // namespace cranberryplank

#endif  // TESTS_PROCESS_DAEMON_UNDER_TEST_H_
