#ifndef CRANBERRYPLANK_DAEMON_CANDIDATE_REPORTS_H_
#define CRANBERRYPLANK_DAEMON_CANDIDATE_REPORTS_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/control/store_document.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/store.h"

namespace cranberryplank {

/// Result of a daemon's attempt to fetch and verify a bundle candidate.
struct CandidateReport {
  bool prepared = false;  ///< The candidate was fetched and verified.
  std::string reason;     ///< Why it is not prepared; empty if it is.

  bool operator==(const CandidateReport&) const = default;
};

/// Reports of all daemons on the newest bundle candidate, kept in one document of the store.
/// Heartbeats do not say whether a daemon verified the candidate.
class CandidateReports : public sigc::trackable {
 public:
  /// @param incarnation incarnation of the daemon whose report this object writes
  CandidateReports(Store* store, RandomSource* random, std::string incarnation);

  /// Reads the document if it is older than `poll_interval` and writes `own` if the document lacks
  /// it.
  /// @param candidate revision that recorded the candidate; reports on other candidates are ignored
  void Tick(TimePoint now, std::uint64_t candidate, std::optional<CandidateReport> own,
            Duration poll_interval);

  /// Returns a daemon's report as last read or written, or nullptr.
  const CandidateReport* Find(std::string_view incarnation) const;

  /// Returns the send time of the last store call that confirmed the document.
  std::optional<TimePoint> ConfirmedAt() const { return m_document.ConfirmedAt(); }

 private:
  /// Refreshes the document or writes this daemon's report if necessary.
  void Step(TimePoint now);
  void Decode();

  std::string m_incarnation;
  StoreDocument m_document;
  std::uint64_t m_candidate = 0;
  std::optional<CandidateReport> m_own;
  Duration m_poll_interval{0};
  std::optional<TimePoint> m_refreshed;
  std::uint64_t m_document_candidate = 0;  ///< Candidate that the document describes.
  std::map<std::string, CandidateReport, std::less<>> m_reports;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_CANDIDATE_REPORTS_H_
