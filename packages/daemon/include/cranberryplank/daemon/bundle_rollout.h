#ifndef CRANBERRYPLANK_DAEMON_BUNDLE_ROLLOUT_H_
#define CRANBERRYPLANK_DAEMON_BUNDLE_ROLLOUT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/bundle/bundle_verifier.h"
#include "cranberryplank/control/head_control.h"
#include "cranberryplank/daemon/candidate_reports.h"
#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/store.h"

namespace cranberryplank {

/// How far the newest bundle has come.
enum class RolloutStage {
  kNone,          ///< No bundle was submitted yet.
  kDistributing,  ///< Recorded as candidate; daemons read and verify it.
  kActivating,    ///< Recorded as the active bundle, not yet in effect everywhere.
  kInEffect,
};

std::string_view ToString(RolloutStage stage);

/// One daemon's part in a rollout.
struct RolloutDaemon {
  std::string id;
  std::uint64_t revision = 0;             ///< Newest head that it applied; 0 if not heard of.
  bool acknowledged = false;              ///< Has applied the revision of the present stage.
  std::optional<CandidateReport> report;  ///< Nothing before it has verified the candidate.
};

struct RolloutStatus {
  RolloutStage stage = RolloutStage::kNone;
  std::uint64_t version = 0;
  Digest digest;
  std::uint64_t revision = 0;  ///< That recorded the candidate, or once activated, the activation.
  std::string waiting_for;     ///< Why the next stage has not been reached; empty if in effect.
  std::vector<RolloutDaemon> daemons;
};

/// Change that records a submitted bundle as the candidate.
struct PreparedBundle {
  std::string description;
  HeadControl::FleetEdit edit;  ///< Refuses with a reason if the bundle is not acceptable.
  std::string unavailable;      ///< Why the store did not take the bundle's text; else empty.
};

/// Objects that the rollout works on. All must outlive it.
struct BundleRolloutParts {
  HeadControl* head = nullptr;
  Store* store = nullptr;
  RandomSource* random = nullptr;
  const PeerTable* peers = nullptr;  ///< Daemons in contact.
};

/// Rolls out bundles over the fleet in stages: verifies the candidate on this daemon and, if this
/// daemon acts for the rollout, activates it once the others have verified it, too.
class BundleRollout {
 public:
  using PreparedCallback = std::function<void(TimePoint now, const PreparedBundle& prepared)>;

  /// @param required number of approvals that a bundle needs
  BundleRollout(const BundleRolloutParts& parts, ApproverKeys approvers, int approvals_required);

  /// Writes the text of a submitted bundle to the store. `done` may run before this returns.
  void Prepare(TimePoint now, const Bundle& bundle, PreparedCallback done);

  /// Tells whether the bundle with this digest is in effect, and which daemons have not yet
  /// acknowledged the revision of its present stage.
  EffectStatus StatusOf(const Digest& bundle, TimePoint now) const;

  RolloutStatus Status(TimePoint now) const;

  /// Does what is due.
  void Tick(TimePoint now);

 private:
  /// Text of a submitted bundle on its way to the store.
  struct Upload {
    std::string text;
    Digest digest;
    TimePoint deadline;
    TimePoint next_attempt;
    bool in_flight = false;
    PreparedBundle prepared;
    PreparedCallback done;
  };

  const BundleCandidate* PendingCandidate() const;
  bool InContact(const DaemonRecord& daemon) const;
  void TickUploads(TimePoint now);
  void OnUploaded(TimePoint now, const std::shared_ptr<Upload>& upload,
                  const StoreWriteReply& reply);
  void TrackCandidate(TimePoint now, const BundleCandidate& candidate);
  void Fetch(TimePoint now);
  void OnFetched(TimePoint now, const Digest& digest, const StoreReadReply& reply);
  void Verify(TimePoint now);
  void SetReport(const CandidateReport& report);
  bool IsActing() const;
  /// Returns what is known of a daemon's report on the candidate, or nullptr.
  const CandidateReport* ReportOf(const DaemonRecord& daemon) const;
  /// Tells whether all daemons in contact, and more than half of those registered, are prepared.
  bool IsPreparedByMajority() const;
  std::string BlockingReason(TimePoint now) const;
  void Activate(TimePoint now);
  HeadControl::FleetEdit ActivateEdit() const;

  BundleRolloutParts m_parts;
  ApproverKeys m_approvers;
  int m_approvals_required;
  std::vector<std::shared_ptr<Upload>> m_uploads;
  CandidateReports m_reports;
  BundleCandidate m_candidate;              ///< The one that the fields below are about.
  std::optional<Bundle> m_bundle;           ///< Its content, once read.
  std::optional<CandidateReport> m_report;  ///< This daemon's.
  TimePoint m_started;
  TimePoint m_next_attempt;  ///< At reading or verifying it.
  std::optional<TimePoint>
      m_in_effect_since;  ///< Since when the candidate's revision is in effect.
  bool m_fetching = false;
  bool m_activating = false;
  TimePoint m_next_activation;
  std::string m_activation_error;  ///< Why the last activation was refused.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_BUNDLE_ROLLOUT_H_
