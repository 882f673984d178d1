#include "cranberryplank/daemon/admin_edits.h"

#include <fmt/format.h>

#include <utility>

#include "cranberryplank/bundle/bundle_application.h"
#include "cranberryplank/daemon/admin_reads.h"

namespace cranberryplank {

HeadControl::FleetEdit GrantKeyEdit(const KeyGrant& grant) {
  return [grant](const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    const auto known = current.keys.find(grant.digest.hex);
    if (!current.teams.contains(grant.team)) {
      *last_reason = fmt::format("team {} is unknown", grant.team);
      return std::nullopt;
    }
    if (known != current.keys.end() && known->second.team != grant.team) {
      *last_reason = "the key is granted to another team";
      return std::nullopt;
    }
    Fleet next = current;
    next.keys[grant.digest.hex] = grant;
    return next;
  };
}

HeadControl::FleetEdit SetTeamEdit(const Team& team) {
  return [team](const Fleet& current, std::string* /*last_reason*/) -> std::optional<Fleet> {
    Fleet next = current;
    next.teams[team.name] = team;
    return next;
  };
}

HeadControl::FleetEdit AddVmEdit(const Vm& vm) {
  return [vm](const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    if (!current.pools.contains(vm.pool)) {
      *last_reason = fmt::format("pool {} is unknown", vm.pool);
      return std::nullopt;
    }
    if (current.vms.contains(vm.id) || vm.slots < 1) {
      *last_reason = current.vms.contains(vm.id) ? "the id is in use" : "slots below 1";
      return std::nullopt;
    }
    Fleet next = current;
    next.vms[vm.id] = vm;
    return next;
  };
}

HeadControl::FleetEdit RemoveVmEdit(const std::string& id, std::function<bool()> is_missing) {
  return [id, is_missing = std::move(is_missing)](
             const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    const auto vm = current.vms.find(id);
    if (vm == current.vms.end()) {
      *last_reason = fmt::format("VM {} is unknown", id);
      return std::nullopt;
    }
    const bool drained = vm->second.state == VmState::kEmpty && vm->second.target_pool.empty();
    if (!drained && !is_missing()) {
      *last_reason = "the VM is neither drained and empty nor gone from the VM list";
      return std::nullopt;
    }
    Fleet next = current;
    next.vms.erase(id);
    return next;
  };
}

HeadControl::FleetEdit SubmitBundleEdit(const Bundle& bundle, const ApproverKeys& approvers,
                                        int approvals_required) {
  return [bundle, approvers, approvals_required](const Fleet& current,
                                                 std::string* last_reason) -> std::optional<Fleet> {
    BundleVerifier verifier(approvers, approvals_required);
    if (!verifier.Verify(bundle, BundleVersionOf(current))) {
      *last_reason = verifier.last_reason();
      return std::nullopt;
    }
    BundleApplication application;
    auto next = application.Apply(bundle, current);
    if (!next) {
      *last_reason = application.last_reason();
    }
    return next;
  };
}

HeadControl::FleetEdit RecordCandidateEdit(const Bundle& bundle, HeadControl::FleetEdit apply) {
  return [version = bundle.version, digest = Sha256(bundle.text), apply = std::move(apply)](
             const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    if (!apply(current, last_reason)) {
      return std::nullopt;
    }
    const auto& candidate = current.candidate;
    const bool pending = candidate && candidate->activated == 0;
    if (pending && version < candidate->version) {
      // Replacing it would silently discard the newer of two concurrent submissions.
      *last_reason = fmt::format("version {} is below version {}, which is being rolled out",
                                 version, candidate->version);
      return std::nullopt;
    }
    Fleet next = current;
    if (!pending || candidate->digest != digest) {
      next.candidate = BundleCandidate{version, digest, current.revision + 1, 0};
    }
    return next;
  };
}

}  // namespace cranberryplank
