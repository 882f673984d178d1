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

/// Rollout stage of the newest bundle.
enum class RolloutStage {
  kNone,          ///< No bundle has been submitted.
  kDistributing,  ///< Recorded as the candidate; daemons fetch and verify it.
  kActivating,    ///< Recorded as the active bundle, not yet in effect everywhere.
  kInEffect,
};

std::string_view ToString(RolloutStage stage);

/// State of one daemon in a rollout.
struct RolloutDaemon {
  std::string id;
  std::uint64_t revision = 0;             ///< Newest head that it applied; 0 if unknown.
  bool acknowledged = false;              ///< Has applied the revision of the current stage.
  std::optional<CandidateReport> report;  ///< Empty until it has checked the candidate.
};

struct RolloutStatus {
  RolloutStage stage = RolloutStage::kNone;
  std::uint64_t version = 0;
  Digest digest;
  std::uint64_t revision = 0;  ///< Of the activation, or of the candidate before activation.
  std::string waiting_for;     ///< Condition for the next stage; empty if in effect.
  std::vector<RolloutDaemon> daemons;
};

/// Change that records a submitted bundle as the candidate.
struct PreparedBundle {
  std::string description;
  HeadControl::FleetEdit edit;  ///< Fails with a reason if the bundle is not acceptable.
  std::string unavailable;      ///< Why the bundle's text could not be stored; empty if it was.
};

/// Components that the rollout uses. All must outlive it.
struct BundleRolloutParts {
  HeadControl* head = nullptr;
  Store* store = nullptr;
  RandomSource* random = nullptr;
  const PeerTable* peers = nullptr;  ///< Provides the reachable daemons.
};

/// Rolls out bundles to the fleet in stages. Each daemon verifies the candidate; the acting daemon
/// activates it once the other daemons have verified it, too.
class BundleRollout {
 public:
  using PreparedCallback = std::function<void(TimePoint now, const PreparedBundle& prepared)>;

  /// @param approvals_required number of approvals that a bundle needs
  BundleRollout(const BundleRolloutParts& parts, ApproverKeys approvers, int approvals_required);

  /// Writes the text of a submitted bundle to the store. `done` may be called before this function
  /// returns.
  void Prepare(TimePoint now, const Bundle& bundle, PreparedCallback done);

  /// Returns whether the bundle with this digest is in effect, and which daemons have not yet
  /// acknowledged the revision of its current stage.
  EffectStatus StatusOf(const Digest& bundle, TimePoint now) const;

  RolloutStatus Status(TimePoint now) const;

  /// Continues uploads and advances the rollout.
  void Tick(TimePoint now);

 private:
  /// Text of a submitted bundle that is being written to the store.
  struct Upload {
    std::string text;
    Digest digest;
    TimePoint deadline;
    TimePoint next_attempt;
    bool in_flight = false;
    PreparedBundle prepared;
    PreparedCallback done;
  };

  /// Returns the newest candidate, or nullptr if there is none or it has been activated.
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
  /// Returns a daemon's report on the candidate, or nullptr if none is known.
  const CandidateReport* ReportOf(const DaemonRecord& daemon) const;
  /// Returns whether all reachable daemons, and more than half of the registered ones, are
  /// prepared.
  bool IsPreparedByMajority() const;
  /// Returns the condition that the activation waits for; empty if it may proceed.
  std::string BlockingReason(TimePoint now) const;
  void Activate(TimePoint now);
  HeadControl::FleetEdit ActivateEdit() const;

  BundleRolloutParts m_parts;
  ApproverKeys m_approvers;
  int m_approvals_required;
  std::vector<std::shared_ptr<Upload>> m_uploads;
  CandidateReports m_reports;
  BundleCandidate m_candidate;              ///< Candidate that the fields below describe.
  std::optional<Bundle> m_bundle;           ///< Parsed content, once fetched.
  std::optional<CandidateReport> m_report;  ///< Report of this daemon.
  TimePoint m_started;
  TimePoint m_next_attempt;                    ///< Next attempt to fetch or verify it.
  std::optional<TimePoint> m_in_effect_since;  ///< For the candidate's revision.
  bool m_fetching = false;
  bool m_activating = false;
  TimePoint m_next_activation;
  std::string m_activation_error;  ///< Why the last activation failed.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Invalidates late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_BUNDLE_ROLLOUT_H_
