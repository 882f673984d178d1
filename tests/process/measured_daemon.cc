#include "measured_daemon.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "client_crowd.h"

namespace cranberryplank {

namespace {

constexpr std::size_t kKilobyte = std::size_t{1} << 10U;

}  // namespace

MeasuredDaemon::MeasuredDaemon(const DaemonOptions& options)
    : m_options(options), m_daemon(options) {
  RequireAnswer(port(Listener::kCallers), Get("/"));
}

void MeasuredDaemon::Measure() {
  const std::size_t queues_kb = m_daemon.kernel_queue_bytes() / kKilobyte;
  const std::size_t process_kb = m_daemon.memory_kb();
  m_peak_kb = std::max(m_peak_kb, process_kb + queues_kb);
  m_peak_queues_kb = std::max(m_peak_queues_kb, queues_kb);
  m_descriptors = std::max(m_descriptors, m_daemon.open_descriptors());
}

void MeasuredDaemon::CheckWithinLimits() {
  REQUIRE(m_daemon.alive());
  Measure();
  const std::size_t bound_kb = m_options.memory_mb * kKilobyte;
  CAPTURE(m_daemon.peak_memory_kb(), m_peak_queues_kb);
  CHECK(m_daemon.peak_memory_kb() < bound_kb);
  CHECK(m_peak_kb < bound_kb);
  CHECK(m_descriptors < m_options.max_descriptors);
}

void MeasuredDaemon::CheckServesWithinLimits() {
  for (const auto& [listener, path] :
       {std::pair{Listener::kCallers, "/"}, std::pair{Listener::kReady, "/ready"},
        std::pair{Listener::kMetrics, "/metrics"}}) {
    RequireAnswer(port(listener), Get(path));
    Measure();
  }
  CheckWithinLimits();
}

void RequireAnswer(std::uint16_t port, const std::string& request, const std::string& status) {
  while (!Call(port, request).starts_with(status)) {
  }
}

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
}

}  // namespace cranberryplank
