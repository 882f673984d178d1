#include "daemon_under_test.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string_view>

namespace cranberryplank {

std::uint16_t FreePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  close(socket);
  return ntohs(address.sin_port);
}

namespace {

std::string TemporaryFile() {
  std::string path = "/tmp/client-limits-XXXXXX";
  const int file = mkstemp(path.data());
  REQUIRE(file >= 0);
  close(file);
  return path;
}

[[noreturn]] void RunDaemon(const std::string& settings, const std::string& log,
                            std::size_t max_descriptors) {
  const rlimit limit{max_descriptors, max_descriptors};
  setrlimit(RLIMIT_NOFILE, &limit);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execl(CRANBERRYPLANK_DAEMON, CRANBERRYPLANK_DAEMON, "--jobs", "--settings", settings.c_str(),
        nullptr);
  _exit(EXIT_FAILURE);
}

}  // namespace

DaemonUnderTest::DaemonUnderTest(const DaemonOptions& options)
    : m_max_descriptors(options.max_descriptors),
      m_ports{FreePort(), FreePort(), FreePort(), FreePort()},
      m_settings_path(TemporaryFile()),
      m_log_path(TemporaryFile()) {
  std::ofstream settings(m_settings_path);
  settings << fmt::format(
      "[daemon]\nid = \"entry-{}\"\nzone = \"zone-{}\"\n"
      "[listen]\ncallers = \"127.0.0.1:{}\"\nready = \"127.0.0.1:{}\"\n"
      "daemons = \"127.0.0.1:{}\"\nmetrics = \"127.0.0.1:{}\"\n"
      "[platform]\nstore = \"127.0.0.1:{}\"\n",
      options.number, options.number, port(Listener::kCallers), port(Listener::kReady),
      port(Listener::kDaemons), port(Listener::kMetrics),
      options.store_port == 0 ? FreePort() : options.store_port);
  if (options.memory_mb > 0) {
    settings << fmt::format("[limits]\nmemory_mb = {}\n", options.memory_mb);
  }
  settings.close();
  Start();
}

DaemonUnderTest::~DaemonUnderTest() {
  if (m_process > 0) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
  }
  std::remove(m_settings_path.c_str());
  std::remove(m_log_path.c_str());
}

void DaemonUnderTest::Start() {
  m_process = fork();
  REQUIRE(m_process >= 0);
  if (m_process == 0) {
    RunDaemon(m_settings_path, m_log_path, m_max_descriptors);
  }
}

void DaemonUnderTest::Signal(int signal) const { kill(m_process, signal); }

void DaemonUnderTest::TouchSettings() const {
  std::ofstream(m_settings_path, std::ios::app) << "# touched\n";
}

bool DaemonUnderTest::WaitForEnd() {
  int status = 0;
  const pid_t ended = waitpid(m_process, &status, 0);
  m_process = -1;
  return ended > 0 && WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS;
}

void DaemonUnderTest::Restart() {
  REQUIRE(m_process == -1);
  Start();
}

bool DaemonUnderTest::alive() const {
  std::ifstream stat(fmt::format("/proc/{}/stat", m_process));
  std::string id;
  std::string name;
  std::string state;
  stat >> id >> name >> state;
  return !state.empty() && state != "Z";
}

std::size_t DaemonUnderTest::StatusField(const std::string& name) const {
  std::ifstream status(fmt::format("/proc/{}/status", m_process));
  std::string field;
  std::size_t value = 0;
  while (status >> field) {
    if (field == name) {
      status >> value;
      return value;
    }
  }
  return 0;
}

std::size_t DaemonUnderTest::peak_memory_kb() const { return StatusField("VmHWM:"); }

std::size_t DaemonUnderTest::memory_kb() const { return StatusField("VmRSS:"); }

std::size_t DaemonUnderTest::kernel_queue_bytes() const {
  constexpr std::string_view kListening = "0A";
  std::ifstream sockets("/proc/net/tcp");
  std::string line;
  std::getline(sockets, line);  // The table's header.
  std::size_t bytes = 0;
  while (std::getline(sockets, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> local >> remote >> state >> queues;
    const std::size_t colon = local.find(':');
    const auto local_port =
        static_cast<std::uint16_t>(std::stoul(local.substr(colon + 1), nullptr, 16));
    if (state == kListening ||
        std::find(m_ports.begin(), m_ports.end(), local_port) == m_ports.end()) {
      continue;
    }
    bytes += std::stoul(queues.substr(0, queues.find(':')), nullptr, 16);
    bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return bytes;
}

std::size_t DaemonUnderTest::open_descriptors() const {
  const std::filesystem::directory_iterator descriptors(fmt::format("/proc/{}/fd", m_process));
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace cranberryplank
