#ifndef TESTS_PROCESS_PLATFORM_UNDER_TEST_H_
#define TESTS_PROCESS_PLATFORM_UNDER_TEST_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cranberryplank {

/// The platform's store on loopback addresses, served by a thread of its own, with a configuration
/// of one queue. There are no workers, so that jobs are accepted and wait.
class PlatformUnderTest {
 public:
  /// @param daemons number of addresses, one for each daemon
  explicit PlatformUnderTest(int daemons);
  ~PlatformUnderTest();
  PlatformUnderTest(const PlatformUnderTest&) = delete;
  PlatformUnderTest& operator=(const PlatformUnderTest&) = delete;

  std::uint16_t port(int daemon) const { return m_ports.at(static_cast<std::size_t>(daemon)); }

 private:
  void Run();

  std::vector<std::uint16_t> m_ports;
  std::atomic<bool> m_listening = false;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

/// Returns the HTTP request that submits a job to the queue.
/// @param number distinguishes the jobs of one test
/// @param steps the job's steps, and further fields, in JSON
std::string Submission(int number, std::string_view steps);

/// Returns the HTTP request for the state of a job.
std::string StateRequest(int number);

}  // namespace cranberryplank

#endif  // TESTS_PROCESS_PLATFORM_UNDER_TEST_H_
