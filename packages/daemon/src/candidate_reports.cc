#include "cranberryplank/daemon/candidate_reports.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr const char* kReportsKey = "cranberryplank/candidate-reports";
constexpr Duration kStoreRetryInterval{300};

std::string Encode(std::uint64_t candidate,
                   const std::map<std::string, CandidateReport, std::less<>>& reports) {
  json list = json::object();
  for (const auto& [incarnation, report] : reports) {
    list[incarnation] = json{{"prepared", report.prepared}, {"reason", report.reason}};
  }
  // A reason may quote bytes of a damaged document that are not valid UTF-8.
  return json{{"candidate", candidate}, {"reports", list}}.dump(-1, ' ', false,
                                                                json::error_handler_t::replace);
}

}  // namespace

CandidateReports::CandidateReports(Store* store, RandomSource* random, std::string incarnation)
    : m_incarnation(std::move(incarnation)),
      m_document(store, random, kReportsKey, kStoreRetryInterval) {
  m_document.signal_resolved().connect(sigc::mem_fun(*this, &CandidateReports::Step));
}

void CandidateReports::Tick(TimePoint now, std::uint64_t candidate,
                            std::optional<CandidateReport> own, Duration poll_interval) {
  m_candidate = candidate;
  m_own = std::move(own);
  m_poll_interval = poll_interval;
  m_document.Tick(now);
  Step(now);
}

const CandidateReport* CandidateReports::Find(std::string_view incarnation) const {
  const auto found = m_reports.find(incarnation);
  const bool known = m_document_candidate == m_candidate && found != m_reports.end();
  return known ? &found->second : nullptr;
}

void CandidateReports::Step(TimePoint now) {
  Decode();
  if (!m_document.Idle()) {
    return;
  }
  if (!m_document.Current() || !m_refreshed || now >= *m_refreshed + m_poll_interval) {
    m_refreshed = now;
    m_document.Refresh(now);
    return;
  }
  const CandidateReport* stored = Find(m_incarnation);
  const bool newer_candidate = m_document_candidate > m_candidate;
  if (!m_own || newer_candidate || (stored != nullptr && *stored == *m_own)) {
    return;
  }
  auto reports = m_document_candidate == m_candidate ? m_reports : decltype(m_reports){};
  reports[m_incarnation] = *m_own;
  m_document.Swap(now, Encode(m_candidate, reports));
}

void CandidateReports::Decode() {
  m_reports.clear();
  m_document_candidate = 0;
  const json content = json::parse(m_document.content(), nullptr, false);
  if (!content.is_object()) {
    return;
  }
  try {
    std::map<std::string, CandidateReport, std::less<>> reports;
    for (const auto& [incarnation, report] : content.at("reports").items()) {
      reports[incarnation] = CandidateReport{report.at("prepared").get<bool>(),
                                             report.at("reason").get<std::string>()};
    }
    content.at("candidate").get_to(m_document_candidate);
    m_reports = std::move(reports);
  } catch (const json::exception&) {
    // An invalid document is treated as empty and is overwritten.
    m_document_candidate = 0;
  }
}

}  // namespace cranberryplank
