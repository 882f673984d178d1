#include "cranberryplank/daemon/admin_reads.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>

#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/model/vm_json.h"

namespace cranberryplank {

using nlohmann::json;

std::uint64_t BundleVersionOf(const Fleet& fleet) {
  if (fleet.bundle.empty()) {
    return 0;
  }
  BundleParser parser;
  const auto bundle = parser.Parse(fleet.bundle);
  return bundle ? bundle->version : 0;
}

json AdminReads::Status() const {
  const HeadReplica& head = *m_parts.head;
  const std::uint64_t revision = head.head().revision;
  const EffectStatus effect = head.StatusOf(revision, m_now);
  std::string reason;
  const bool fresh = head.FreshUntil(m_now, &reason).has_value();
  return json{{"daemon", m_parts.settings->id},
              {"incarnation", head.incarnation()},
              {"revision", revision},
              {"newest_revision", std::max(revision, m_parts.router->peers().NewestRevision())},
              {"fresh", fresh},
              {"reason", fresh ? "" : reason},
              {"in_effect", effect.in_effect},
              {"pending", effect.pending},
              {"bundle_version", BundleVersionOf(head.fleet())},
              {"daemons", Daemons()}};
}

json AdminReads::Daemons() const {
  const HeadReplica& head = *m_parts.head;
  json list = json::array();
  for (const DaemonRecord& daemon : head.head().daemons) {
    const bool self = daemon.incarnation == head.incarnation();
    const auto heartbeat = m_parts.router->peers().LastHeartbeatOf(daemon.incarnation);
    const auto age = [&]() -> std::int64_t {
      if (self) {
        return 0;
      }
      return heartbeat ? std::chrono::duration_cast<Duration>(m_now - heartbeat->received).count()
                       : -1;
    }();
    list.push_back(json{{"id", daemon.id},
                        {"incarnation", daemon.incarnation},
                        {"zone", daemon.zone},
                        {"revision", self        ? head.head().revision
                                     : heartbeat ? heartbeat->revision
                                                 : 0},
                        {"heard_ms", age}});
  }
  return list;
}

AdminReads::Load AdminReads::LoadOf(std::string_view pool, std::string_view team) const {
  Load load;
  const auto add = [&](const auto& demand) {
    load.running += demand.running;
    load.waiting += demand.waiting;
  };
  for (const TeamDemand& own : m_parts.router->demand().LocalDemand()) {
    if ((pool.empty() || own.pool == pool) && (team.empty() || own.team == team)) {
      add(own);
    }
  }
  for (const auto& [name, queues] : m_parts.router->demand().QueuesByPool()) {
    if (!pool.empty() && name != pool) {
      continue;
    }
    for (const DaemonDemand& peer : m_parts.router->peers().Demand(name)) {
      if (team.empty() || peer.team == team) {
        add(peer);
      }
    }
  }
  return load;
}

json AdminReads::Teams() const {
  const Fleet& fleet = m_parts.head->fleet();
  json list = json::array();
  for (const auto& [name, team] : fleet.teams) {
    const Load load = LoadOf("", name);
    const auto keys = std::count_if(
        fleet.keys.begin(), fleet.keys.end(),
        [&team_name = team.name](const auto& key) { return key.second.team == team_name; });
    list.push_back(json{{"name", name},
                        {"share_weight", team.contract.share_weight},
                        {"upper_limit", team.contract.upper_limit},
                        {"running", load.running},
                        {"waiting", load.waiting},
                        {"keys", keys}});
  }
  return json{{"revision", fleet.revision}, {"teams", list}};
}

json AdminReads::Pools() const {
  const Fleet& fleet = m_parts.head->fleet();
  json list = json::array();
  for (const auto& [name, pool] : fleet.pools) {
    std::map<VmState, int> states;
    int slots = 0;
    for (const auto& [id, vm] : fleet.vms) {
      if (vm.pool == name) {
        ++states[vm.state];
        slots += vm.slots;
      }
    }
    const Load load = LoadOf(name, "");
    list.push_back(json{{"name", name},
                        {"spare", pool.spare},
                        {"budget",
                         {{"per_pool", pool.budget.per_pool},
                          {"per_rack", pool.budget.per_rack},
                          {"per_zone", pool.budget.per_zone}}},
                        {"vms",
                         {{"serving", states[VmState::kServing]},
                          {"draining", states[VmState::kDraining]},
                          {"empty", states[VmState::kEmpty]}}},
                        {"slots", slots},
                        {"running", load.running},
                        {"waiting", load.waiting}});
  }
  return json{{"revision", fleet.revision}, {"pools", list}};
}

json AdminReads::Vms(std::string_view pool) const {
  const Fleet& fleet = m_parts.head->fleet();
  json list = json::array();
  for (const auto& [id, vm] : fleet.vms) {
    if (!pool.empty() && vm.pool != pool) {
      continue;
    }
    json record = EncodeVm(vm);
    record["leaving"] = m_parts.vm_list->leaving().contains(id);
    list.push_back(std::move(record));
  }
  return json{{"revision", fleet.revision}, {"vms", list}};
}

json AdminReads::Bundle() const {
  const Fleet& fleet = m_parts.head->fleet();
  json approvals = json::array();
  BundleParser parser;
  const auto bundle = parser.Parse(fleet.bundle);
  if (bundle) {
    for (const Approval& approval : bundle->approvals) {
      approvals.push_back(approval.approver);
    }
  }
  return json{{"revision", fleet.revision},
              {"version", bundle ? bundle->version : 0},
              {"bundle", fleet.bundle},
              {"approvals", approvals},
              {"rollout", Rollout()}};
}

json AdminReads::Rollout() const {
  const RolloutStatus status = m_parts.rollout->Status(m_now);
  json daemons = json::array();
  for (const RolloutDaemon& daemon : status.daemons) {
    const std::string_view report = !daemon.report            ? "none"
                                    : daemon.report->prepared ? "prepared"
                                                              : "rejected";
    daemons.push_back(json{{"id", daemon.id},
                           {"revision", daemon.revision},
                           {"acknowledged", daemon.acknowledged},
                           {"report", report},
                           {"reason", daemon.report ? daemon.report->reason : ""}});
  }
  return json{{"stage", ToString(status.stage)},
              {"version", status.version},
              {"digest", status.digest.hex},
              {"revision", status.revision},
              {"head_revision", m_parts.head->head().revision},
              {"waiting_for", status.waiting_for},
              {"daemons", daemons}};
}

json AdminReads::Maintenance() const {
  const Fleet& fleet = m_parts.head->fleet();
  json list = json::array();
  for (const auto& [name, pool] : fleet.pools) {
    const auto wave = m_parts.maintenance->Status(name);
    if (!wave || wave->id.empty()) {
      continue;
    }
    json in_progress = json::array();
    std::map<MaintenanceState, int> counts;
    for (const auto& [vm, entry] : wave->vms) {
      ++counts[entry.state];
      if (HoldsPermit(entry.state)) {
        in_progress.push_back(vm);
      }
    }
    const std::string_view state = !wave->Active()  ? "done"
                                   : wave->stopping ? "stopping"
                                                    : "running";
    list.push_back(json{{"pool", name},
                        {"wave", wave->id},
                        {"state", state},
                        {"total", wave->vms.size()},
                        {"done", counts[MaintenanceState::kDone]},
                        {"failed", counts[MaintenanceState::kFailed]},
                        {"in_progress", in_progress},
                        {"waiting", counts[MaintenanceState::kWaiting]},
                        {"reason", ""}});
  }
  return json{{"revision", fleet.revision}, {"waves", list}};
}

}  // namespace cranberryplank
