#include "cranberryplank/daemon/bundle_rollout.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/control/acting_daemon.h"
#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/daemon/admin_edits.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

constexpr std::string_view kSubject = "bundle-rollout";

/// Equal to the time within which a change of the head must reach the store.
constexpr Duration kUploadTimeout{5'000};
constexpr Duration kRetryInterval{300};

/// Interval between attempts to fetch or verify a candidate. Rejected content may become acceptable
/// when the configuration changes, for example when a pool loses its last VM.
constexpr Duration kCheckInterval{1'000};

/// The acting daemon polls the reports at the active interval for the expected duration of a
/// rollout. After that, and on all other daemons, the idle interval applies.
constexpr Duration kActivePollInterval{100};
constexpr Duration kIdlePollInterval{1'000};
constexpr Duration kExpectedRolloutTime{5'000};

/// Time after the candidate's revision took effect during which the activation waits for reachable
/// daemons that have not reported, for example because only they cannot reach the store.
constexpr Duration kReportTimeout = kFreshness + kEffectMargin;

HeadControl::FleetEdit RejectingEdit(const std::string& reason) {
  return [reason](const Fleet&, std::string* last_reason) -> std::optional<Fleet> {
    *last_reason = reason;
    return std::nullopt;
  };
}

}  // namespace

std::string_view ToString(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kNone:
      return "none";
    case RolloutStage::kDistributing:
      return "distributing";
    case RolloutStage::kActivating:
      return "activating";
    case RolloutStage::kInEffect:
      return "in_effect";
  }
  return "";
}

BundleRollout::BundleRollout(const BundleRolloutParts& parts, ApproverKeys approvers,
                             int approvals_required)
    : m_parts(parts),
      m_approvers(std::move(approvers)),
      m_approvals_required(approvals_required),
      m_reports(parts.store, parts.random, std::string(parts.head->incarnation())) {}

void BundleRollout::Prepare(TimePoint now, const Bundle& bundle, PreparedCallback done) {
  // Checks that do not depend on the configuration run first, so that a bundle that can never be
  // accepted is not written. A rejecting edit is submitted even then, because repeated submissions
  // are detected when the edit is applied.
  BundleVerifier verifier(m_approvers, m_approvals_required);
  PreparedBundle prepared{fmt::format("bundle version {}", bundle.version), nullptr, ""};
  if (!verifier.Verify(bundle, 0)) {
    prepared.edit = RejectingEdit(verifier.last_reason());
  } else if (bundle.text.size() > kMostPartBytes) {
    prepared.edit = RejectingEdit(fmt::format("the bundle has {} bytes; at most {} are allowed",
                                              bundle.text.size(), kMostPartBytes));
  }
  if (prepared.edit) {
    done(now, prepared);
    return;
  }
  prepared.edit =
      RecordCandidateEdit(bundle, SubmitBundleEdit(bundle, m_approvers, m_approvals_required));
  auto upload = std::make_shared<Upload>();
  upload->text = bundle.text;
  upload->digest = Sha256(bundle.text);
  upload->deadline = now + kUploadTimeout;
  upload->next_attempt = now;
  upload->prepared = std::move(prepared);
  upload->done = std::move(done);
  m_uploads.push_back(std::move(upload));
  TickUploads(now);
}

void BundleRollout::TickUploads(TimePoint now) {
  for (const std::shared_ptr<Upload>& upload : m_uploads) {
    if (upload->in_flight || now < upload->next_attempt) {
      continue;
    }
    upload->in_flight = true;
    m_parts.store->CompareAndSwap(PartKey(upload->digest), upload->text, 0,
                                  [this, upload, alive = std::weak_ptr<bool>(m_alive)](
                                      TimePoint answered, const StoreWriteReply& reply) {
                                    if (!alive.expired()) {
                                      OnUploaded(answered, upload, reply);
                                    }
                                  });
  }
}

void BundleRollout::OnUploaded(TimePoint now, const std::shared_ptr<Upload>& upload,
                               const StoreWriteReply& reply) {
  // The key is derived from the content, so a conflict means that the text is already stored, for
  // example by an earlier attempt whose answer was lost.
  const bool stored = reply.status == StoreStatus::kOk || reply.status == StoreStatus::kConflict;
  if (!stored && now < upload->deadline) {
    upload->in_flight = false;
    upload->next_attempt = now + kRetryInterval;
    return;
  }
  std::erase(m_uploads, upload);
  if (!stored) {
    upload->prepared.unavailable = fmt::format("the store gave no answer: {}", reply.reason);
  }
  upload->done(now, upload->prepared);
}

const BundleCandidate* BundleRollout::PendingCandidate() const {
  const auto& candidate = m_parts.head->fleet().candidate;
  return candidate && candidate->activated == 0 ? &*candidate : nullptr;
}

EffectStatus BundleRollout::StatusOf(const Digest& bundle, TimePoint now) const {
  const auto& newest = m_parts.head->fleet().candidate;
  if (!newest || newest->digest != bundle) {
    return EffectStatus();
  }
  const bool activated = newest->activated != 0;
  EffectStatus status =
      m_parts.head->StatusOf(activated ? newest->activated : newest->revision, now);
  status.in_effect = status.in_effect && activated;
  return status;
}

RolloutStatus BundleRollout::Status(TimePoint now) const {
  RolloutStatus status;
  const auto& newest = m_parts.head->fleet().candidate;
  if (!newest) {
    return status;
  }
  status.version = newest->version;
  status.digest = newest->digest;
  status.revision = newest->activated != 0 ? newest->activated : newest->revision;
  const EffectStatus effect = m_parts.head->StatusOf(status.revision, now);
  if (newest->activated == 0) {
    status.stage = RolloutStage::kDistributing;
    const std::string blocking_reason = BlockingReason(now);
    status.waiting_for = !blocking_reason.empty()      ? blocking_reason
                         : !m_activation_error.empty() ? m_activation_error
                                                       : "the acting daemon's activation";
  } else if (effect.in_effect) {
    status.stage = RolloutStage::kInEffect;
  } else {
    status.stage = RolloutStage::kActivating;
    status.waiting_for = fmt::format("revision {} to be in effect", status.revision);
  }
  for (const DaemonRecord& daemon : m_parts.head->head().daemons) {
    RolloutDaemon entry{daemon.id, 0, false, std::nullopt};
    const auto heartbeat = m_parts.peers->LastHeartbeatOf(daemon.incarnation);
    const bool self = daemon.incarnation == m_parts.head->incarnation();
    entry.revision = self ? m_parts.head->head().revision : heartbeat ? heartbeat->revision : 0;
    entry.acknowledged = entry.revision >= status.revision;
    if (m_candidate.revision == newest->revision) {
      const CandidateReport* report = ReportOf(daemon);
      entry.report = report == nullptr ? std::nullopt : std::optional(*report);
    }
    status.daemons.push_back(std::move(entry));
  }
  return status;
}

void BundleRollout::Tick(TimePoint now) {
  TickUploads(now);
  const BundleCandidate* candidate = PendingCandidate();
  if (candidate == nullptr ||
      m_parts.head->head().FindIncarnation(m_parts.head->incarnation()) == nullptr) {
    return;
  }
  if (m_candidate != *candidate) {
    TrackCandidate(now, *candidate);
  }
  if (!m_in_effect_since && m_parts.head->StatusOf(candidate->revision, now).in_effect) {
    m_in_effect_since = now;
  }
  if (now >= m_next_attempt && !m_fetching && !(m_report && m_report->prepared)) {
    if (m_bundle) {
      Verify(now);
    } else {
      Fetch(now);
    }
  }
  const bool acting = IsActing();
  const bool expected = now < m_started + kExpectedRolloutTime;
  m_reports.Tick(now, candidate->revision, m_report,
                 acting && expected ? kActivePollInterval : kIdlePollInterval);
  if (acting && !m_activating && now >= m_next_activation && BlockingReason(now).empty()) {
    Activate(now);
  }
}

void BundleRollout::TrackCandidate(TimePoint now, const BundleCandidate& candidate) {
  m_candidate = candidate;
  m_bundle.reset();
  m_report.reset();
  m_in_effect_since.reset();
  m_activation_error.clear();
  m_started = now;
  m_next_attempt = now;
  m_next_activation = now;
}

void BundleRollout::Fetch(TimePoint now) {
  m_fetching = true;
  m_next_attempt = now + kCheckInterval;
  m_parts.store->Read(PartKey(m_candidate.digest),
                      [this, digest = m_candidate.digest, alive = std::weak_ptr<bool>(m_alive)](
                          TimePoint answered, const StoreReadReply& reply) {
                        if (!alive.expired()) {
                          OnFetched(answered, digest, reply);
                        }
                      });
}

void BundleRollout::OnFetched(TimePoint now, const Digest& digest, const StoreReadReply& reply) {
  m_fetching = false;
  if (digest != m_candidate.digest) {
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    SetReport({false, fmt::format("the store gave no answer: {}", reply.reason)});
    return;
  }
  if (!reply.found || Sha256(reply.value) != digest) {
    SetReport({false, fmt::format("part {} in the store {}", digest.hex,
                                  reply.found ? "does not match its digest" : "is missing")});
    return;
  }
  BundleParser parser;
  m_bundle = parser.Parse(reply.value);
  if (!m_bundle) {
    SetReport({false, parser.last_reason()});
    return;
  }
  Verify(now);
}

void BundleRollout::Verify(TimePoint now) {
  m_next_attempt = now + kCheckInterval;
  std::string reason;
  const bool accepted =
      SubmitBundleEdit(*m_bundle, m_approvers, m_approvals_required)(m_parts.head->fleet(), &reason)
          .has_value();
  SetReport({accepted, reason});
}

void BundleRollout::SetReport(const CandidateReport& report) {
  if (m_report == report) {
    return;
  }
  m_report = report;
  LogLine(report.prepared ? LogLevel::kInfo : LogLevel::kWarning, "bundle_candidate")
      .Field("version", m_candidate.version)
      .Field("digest", m_candidate.digest.hex)
      .Field("prepared", report.prepared)
      .Field("reason", report.reason);
}

bool BundleRollout::InContact(const DaemonRecord& daemon) const {
  return daemon.incarnation == m_parts.head->incarnation() ||
         m_parts.peers->LastHeartbeatOf(daemon.incarnation).has_value();
}

bool BundleRollout::IsActing() const {
  // A failed daemon stays registered until its VM disappears from the VM list, so only reachable
  // daemons are considered.
  Head reachable;
  for (const DaemonRecord& daemon : m_parts.head->head().daemons) {
    if (InContact(daemon)) {
      reachable.daemons.push_back(daemon);
    }
  }
  const DaemonRecord* acting = ActingDaemon(reachable, kSubject);
  return acting != nullptr && acting->incarnation == m_parts.head->incarnation();
}

const CandidateReport* BundleRollout::ReportOf(const DaemonRecord& daemon) const {
  // This daemon's report may not have been stored yet.
  if (daemon.incarnation == m_parts.head->incarnation() && m_report) {
    return &*m_report;
  }
  return m_reports.Find(daemon.incarnation);
}

bool BundleRollout::IsPreparedByMajority() const {
  const std::vector<DaemonRecord>& daemons = m_parts.head->head().daemons;
  std::size_t prepared = 0;
  for (const DaemonRecord& daemon : daemons) {
    if (!InContact(daemon)) {
      continue;
    }
    const CandidateReport* report = ReportOf(daemon);
    if (report == nullptr || !report->prepared) {
      return false;
    }
    ++prepared;
  }
  return prepared * 2 > daemons.size();
}

std::string BundleRollout::BlockingReason(TimePoint now) const {
  // A majority is sufficient, because waiting for both stages to be in effect would take 5 s while
  // a failed daemon is still registered.
  if (IsPreparedByMajority()) {
    return "";
  }
  if (!m_in_effect_since) {
    return fmt::format("revision {} to be in effect", m_candidate.revision);
  }
  if (m_reports.ConfirmedAt() < m_in_effect_since) {
    return "the daemons' reports to be read from the store";
  }
  for (const DaemonRecord& daemon : m_parts.head->head().daemons) {
    const bool self = daemon.incarnation == m_parts.head->incarnation();
    const CandidateReport* report = ReportOf(daemon);
    if (!InContact(daemon)) {
      continue;
    }
    if (report != nullptr && !report->prepared) {
      return fmt::format("{}, which rejects it: {}", daemon.id, report->reason);
    }
    if (report == nullptr && (self || now < *m_in_effect_since + kReportTimeout)) {
      return fmt::format("the report of {}", daemon.id);
    }
  }
  return "";
}

HeadControl::FleetEdit BundleRollout::ActivateEdit() const {
  return [candidate = m_candidate,
          apply = SubmitBundleEdit(*m_bundle, m_approvers, m_approvals_required)](
             const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    if (current.candidate != candidate) {
      *last_reason = "the candidate was replaced or activated before";
      return std::nullopt;
    }
    auto next = apply(current, last_reason);
    if (next) {
      next->candidate->activated = current.revision + 1;
    }
    return next;
  };
}

void BundleRollout::Activate(TimePoint now) {
  m_activating = true;
  m_parts.head->Submit(now, fmt::format("activate bundle version {}", m_candidate.version),
                       ActivateEdit(),
                       [this, candidate = m_candidate, alive = std::weak_ptr<bool>(m_alive)](
                           TimePoint answered, const ChangeResult& result) {
                         if (alive.expired()) {
                           return;
                         }
                         LogLine(LogLevel::kInfo, "bundle_activation")
                             .Field("version", candidate.version)
                             .Field("recorded", result.outcome == ChangeOutcome::kRecorded)
                             .Field("revision", result.revision)
                             .Field("reason", result.reason);
                         m_activating = false;
                         if (candidate == m_candidate) {
                           m_next_activation = answered + kCheckInterval;
                           m_activation_error = result.reason;
                         }
                       });
}

}  // namespace cranberryplank
