#include "cranberryplank/daemon/status_api.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryplank/model/invariant.h"

namespace cranberryplank {

bool StatusApi::Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  const std::string& path = exchange->request().path;
  ApiResponse response;
  if (path == "/healthz") {
    response.body = R"({"status":"ok"})";
  } else if (path == "/readyz") {
    const std::string reason = NotReadyReason(now);
    response.status = reason.empty() ? 200 : 503;
    response.body = nlohmann::json{
        {"status", reason.empty() ? "ready" : "not ready"},
        {"reason",
         reason}}.dump();
  } else if (path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = RenderMetrics(now);
  } else {
    return false;
  }
  exchange->Reply(response);
  return true;
}

std::string StatusApi::NotReadyReason(TimePoint now) const {
  if (m_parts.shutdown->started()) {
    return "shutting down";
  }
  std::string reason;
  if (m_parts.head->FreshUntil(now, &reason)) {
    return "";
  }
  return reason.empty() ? "not fresh" : reason;
}

std::string StatusApi::RenderMetrics(TimePoint now) const {
  Metrics& metrics = *m_parts.metrics;
  std::string reason;
  const LinkCounters& links = m_parts.links->counters();
  metrics.SetGauge("cranberryplank_fresh",
                   m_parts.head->FreshUntil(now, &reason).has_value() ? 1 : 0);
  metrics.SetGauge("cranberryplank_head_revision",
                   static_cast<double>(m_parts.head->head().revision));
  metrics.SetGauge("cranberryplank_effective_revision",
                   static_cast<double>(m_parts.head->effective_revision()));
  metrics.SetGauge("cranberryplank_registered_daemons",
                   static_cast<double>(m_parts.head->head().daemons.size()));
  metrics.SetGauge("cranberryplank_requests_waiting",
                   static_cast<double>(m_parts.router->waiting()));
  metrics.SetGauge("cranberryplank_tasks_running",
                   static_cast<double>(m_parts.router->runner().running()));
  metrics.SetGauge("cranberryplank_tasks_uncertain",
                   static_cast<double>(m_parts.router->runner().uncertain()));
  metrics.SetGauge("cranberryplank_workers_quarantined",
                   static_cast<double>(m_parts.router->runner().health().QuarantinedVms().size()));
  metrics.SetGauge("cranberryplank_vms_leaving",
                   static_cast<double>(m_parts.vm_list->leaving().size()));
  metrics.SetTotal("cranberryplank_vm_lists_distrusted", m_parts.vm_list->rejected_lists());
  metrics.SetTotal("cranberryplank_peer_bytes_sent", links.bytes_sent);
  metrics.SetTotal("cranberryplank_peer_bytes_received", links.bytes_received);
  metrics.SetTotal("cranberryplank_peer_messages_sent", links.messages_sent);
  metrics.SetTotal("cranberryplank_peer_links_lost", links.links_lost);
  metrics.SetTotal("cranberryplank_peer_heartbeats_dropped", links.heartbeats_dropped);
  metrics.SetTotal("cranberryplank_peer_frames_damaged", links.damaged_frames);
  metrics.SetTotal("cranberryplank_invariant_violations", InvariantViolations());
  return metrics.Render();
}

}  // namespace cranberryplank
