#include "daemon_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <utility>

namespace cranberryplank {

namespace {

constexpr int kFirstPort = 10'000;
constexpr int kPortsPerProcess = 36;
/// Keeps the ports below 20000, where those of the process tests begin.
constexpr int kProcesses = 270;

bool IsPortFree(std::uint16_t port) {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  const int reuse = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(probe);
  return bound;
}

}  // namespace

std::uint16_t NextPort() {
  static int next = kFirstPort + getpid() % kProcesses * kPortsPerProcess;
  while (!IsPortFree(static_cast<std::uint16_t>(next))) {
    ++next;
  }
  return static_cast<std::uint16_t>(next++);
}

DaemonProcess::DaemonProcess(std::string program, const std::string& folder, int number,
                             const Endpoint& store)
    : m_program(std::move(program)),
      m_settings_path(fmt::format("{}/daemon-{}.toml", folder, number)),
      m_log_path(fmt::format("{}/daemon-{}.log", folder, number)),
      m_caller_endpoint{"127.0.0.1", NextPort()} {
  std::ofstream(m_settings_path) << fmt::format(
      "[daemon]\nid = \"daemon-{}\"\nzone = \"az-{}\"\ncpu_share = 1.0\ncpu_speed = 1.0\n\n"
      "[listen]\ncallers = \"127.0.0.1:{}\"\nready = \"127.0.0.1:{}\"\ndaemons = \"127.0.0.1:{}\"\n"
      "metrics = \"127.0.0.1:{}\"\n\n[platform]\nstore = \"{}:{}\"\n\n"
      "[bounds]\nrevocation_ms = 5000\nmax_lease_ms = 6000\nstop_ms = 200\ndrain_ms = 2000\n"
      "machine_lease_ms = 3000\nnotice_ms = 5500\nharm_ms = 4500\nretention_s = 120\n"
      "shutdown_grace_s = 6\nmove_s = 1.5\nupkeep_s = 2\n",
      number, number % 3 + 1, m_caller_endpoint.port, NextPort(), NextPort(), NextPort(),
      store.host, store.port);
}

DaemonProcess::~DaemonProcess() {
  if (Running()) {
    Signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

void DaemonProcess::Start() {
  m_pid = fork();
  if (m_pid != 0) {
    return;
  }
  const int log = open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  const std::array<const char*, 5> arguments{m_program.c_str(), "--jobs", "--settings",
                                             m_settings_path.c_str(), nullptr};
  execv(m_program.c_str(), const_cast<char* const*>(arguments.data()));
  _exit(127);  // NOLINT(readability-magic-numbers): as a shell does
}

void DaemonProcess::Signal(int signal) const {
  if (m_pid > 0) {
    kill(m_pid, signal);
  }
}

void DaemonProcess::TouchSettings() const {
  std::ofstream(m_settings_path, std::ios::app) << "# touched\n";
}

bool DaemonProcess::Running() {
  if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
    m_pid = -1;
  }
  return m_pid > 0;
}

}  // namespace cranberryplank
