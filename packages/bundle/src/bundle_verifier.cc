#include "cranberryplank/bundle/bundle_verifier.h"

#include <fmt/format.h>

#include <set>
#include <utility>

#include "cranberryplank/bundle/bundle_checker.h"
#include "cranberryplank/bundle/bundle_signer.h"

namespace cranberryplank {

BundleVerifier::BundleVerifier(ApproverKeys approvers, int required)
    : m_approvers(std::move(approvers)), m_required(required) {}

bool BundleVerifier::Refuse(std::string reason) {
  m_last_reason = std::move(reason);
  return false;
}

bool BundleVerifier::Verify(const Bundle& bundle, std::uint64_t active_version) {
  BundleChecker checker;
  if (!checker.Check(bundle)) {
    return Refuse(checker.last_reason());
  }
  if (bundle.version <= active_version) {
    return Refuse(
        fmt::format("version {} is not above version {} in force", bundle.version, active_version));
  }
  return CheckApprovers() && CheckRetirements(bundle) && CheckApprovals(bundle);
}

bool BundleVerifier::CheckApprovers() {
  if (m_required < 1) {
    return Refuse("at least one approval must be required");
  }
  // One key under two names would let one person approve twice.
  for (auto a = m_approvers.begin(); a != m_approvers.end(); ++a) {
    for (auto b = std::next(a); b != m_approvers.end(); ++b) {
      if (a->second == b->second) {
        return Refuse(fmt::format("approvers {} and {} have the same key", a->first, b->first));
      }
    }
  }
  return true;
}

bool BundleVerifier::CheckRetirements(const Bundle& bundle) {
  for (const auto& [command, mapping] : bundle.mappings) {
    if (!mapping.retirement) {
      continue;
    }
    const Retirement& retirement = *mapping.retirement;
    const auto approver = m_approvers.find(retirement.approver);
    if (approver == m_approvers.end()) {
      return Refuse(fmt::format("retirement of '{}' is signed by the unknown approver '{}'",
                                command, retirement.approver));
    }
    if (!approver->second.Verify(RetirementDigest(command, retirement.reason),
                                 retirement.signature)) {
      return Refuse(fmt::format("retirement of '{}': signature of {} does not match", command,
                                retirement.approver));
    }
  }
  return true;
}

bool BundleVerifier::CheckApprovals(const Bundle& bundle) {
  const Digest digest = ApprovalDigest(bundle);
  std::set<std::string> approved;
  for (const Approval& approval : bundle.approvals) {
    const auto approver = m_approvers.find(approval.approver);
    if (approver == m_approvers.end()) {
      return Refuse(fmt::format("approval by the unknown approver '{}'", approval.approver));
    }
    if (!approver->second.Verify(digest, approval.signature)) {
      return Refuse(
          fmt::format("approval of {} does not match the bundle's content", approval.approver));
    }
    if (!approved.insert(approval.approver).second) {
      return Refuse(fmt::format("{} approved twice", approval.approver));
    }
  }
  if (static_cast<int>(approved.size()) < m_required) {
    return Refuse(fmt::format("{} of {} required approvals", approved.size(), m_required));
  }
  return true;
}

}  // namespace cranberryplank
