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

/// What a daemon found when it read and verified a bundle candidate.
struct CandidateReport {
  bool prepared = false;
  std::string reason;  ///< Set unless prepared.

  bool operator==(const CandidateReport&) const = default;
};

/// Reports of all daemons on the newest bundle candidate, in one document of the store. A daemon's
/// heartbeat tells only which head it holds, not whether it could verify the candidate.
class CandidateReports : public sigc::trackable {
 public:
  /// @param incarnation whose report this object writes
  CandidateReports(Store* store, RandomSource* random, std::string incarnation);

  /// Reads the document if it is older than `poll_interval` and writes `own` if the document lacks
  /// it.
  /// @param candidate revision that recorded the candidate; reports on others are left out
  void Tick(TimePoint now, std::uint64_t candidate, std::optional<CandidateReport> own,
            Duration poll_interval);

  /// Returns a daemon's report as last read or written, or nullptr.
  const CandidateReport* Find(std::string_view incarnation) const;

  /// Time at which the read or write that last confirmed the document was sent.
  std::optional<TimePoint> ConfirmedAt() const { return m_document.ConfirmedAt(); }

 private:
  void Step(TimePoint now);
  void Decode();

  std::string m_incarnation;
  StoreDocument m_document;
  std::uint64_t m_candidate = 0;
  std::optional<CandidateReport> m_own;
  Duration m_poll_interval{0};
  std::optional<TimePoint> m_refreshed;
  std::uint64_t m_document_candidate = 0;  ///< Candidate that the document is about.
  std::map<std::string, CandidateReport, std::less<>> m_reports;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_CANDIDATE_REPORTS_H_
