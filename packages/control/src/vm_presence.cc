#include "vm_presence.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cranberryplank {

namespace {

constexpr std::string_view kService = "cranberryplankd";
constexpr Duration kReadInterval{1'000};
constexpr int kReadsUntilMissing = 2;

/// A VM that was never listed, or is missing together with over a third of the list, counts as
/// missing only after this time. A lagging or truncated list must not remove live daemons, and the
/// loss of most VMs must not block removals for good.
constexpr Duration kUncertainAbsenceTime{30'000};

}  // namespace

VmPresence::VmPresence(std::string own_vm, VmDirectory& directory,
                       const FreshnessTracker& freshness)
    : m_own_vm(std::move(own_vm)),
      m_list(&directory, std::string(kService), kReadInterval),
      m_freshness(freshness) {
  m_list.signal_read().connect(sigc::mem_fun(*this, &VmPresence::OnList));
}

void VmPresence::Tick(TimePoint now, const Head& head) {
  std::erase_if(m_daemons, [&](const auto& entry) {
    const auto listed = [&](const DaemonRecord& daemon) {
      return daemon.incarnation == entry.first;
    };
    return head.FindIncarnation(entry.first) == nullptr &&
           std::none_of(head.previous_daemons.begin(), head.previous_daemons.end(), listed);
  });
  for (const DaemonRecord& daemon : head.daemons) {
    m_daemons.try_emplace(daemon.incarnation, Daemon{daemon.id, m_trusted_vms.contains(daemon.id)});
  }
  // A daemon counts as missing only after two reads. An unchanged list is otherwise read again only
  // after minutes, so a refresh is requested.
  const bool undecided = std::any_of(m_daemons.begin(), m_daemons.end(), [](const auto& entry) {
    return entry.second.missed_reads > 0;
  });
  if (undecided) {
    m_list.Refresh(now);
  }
  m_list.Tick(now);
}

std::set<std::string> VmPresence::MissingDaemons() const {
  std::set<std::string> missing;
  for (const auto& [incarnation, daemon] : m_daemons) {
    if (daemon.missing && !AliveSinceMissing(incarnation, daemon)) {
      missing.insert(incarnation);
    }
  }
  return missing;
}

bool VmPresence::AliveSinceMissing(const std::string& incarnation, const Daemon& daemon) const {
  const std::optional<TimePoint> last_alive = m_freshness.LastAliveAt(incarnation);
  return last_alive && *last_alive > daemon.missing_since;
}

void VmPresence::OnList(TimePoint now, TimePoint sent, bool changed) {
  // An unchanged list requested less than one read interval after the last one is not counted as
  // another read.
  if (!changed && m_last_sent && sent < *m_last_sent + kReadInterval) {
    return;
  }
  m_last_sent = sent;
  std::set<std::string> vms;
  for (const VmListing& listing : m_list.listings()) {
    vms.insert(listing.id);
  }
  // An empty list, or one older than this daemon's VM, gives no information about the other VMs.
  if (!vms.contains(m_own_vm)) {
    return;
  }
  const bool trusted = IsTrusted(vms);
  if (trusted) {
    m_rejected_since.reset();
  } else if (!m_rejected_since) {
    m_rejected_since = now;
  }
  if (trusted || now >= *m_rejected_since + kUncertainAbsenceTime) {
    m_trusted_vms = vms;
  }
  for (auto& [incarnation, daemon] : m_daemons) {
    if (vms.contains(daemon.vm)) {
      daemon.listed = true;
      daemon.missed_reads = 0;
      continue;
    }
    if (daemon.missed_reads > 0 && AliveSinceMissing(incarnation, daemon)) {
      // The daemon has answered since the first of these reads, so they were wrong and no longer
      // count.
      daemon.missed_reads = 0;
      daemon.missing = false;
    }
    if (daemon.missed_reads++ == 0) {
      daemon.missing_since = sent;
    }
    const bool certain = trusted && daemon.listed;
    if (daemon.missed_reads >= kReadsUntilMissing &&
        (certain || now >= daemon.missing_since + kUncertainAbsenceTime)) {
      daemon.missing = true;
    }
  }
}

bool VmPresence::IsTrusted(const std::set<std::string>& vms) const {
  const auto lost = std::count_if(m_trusted_vms.begin(), m_trusted_vms.end(),
                                  [&](const std::string& vm) { return !vms.contains(vm); });
  return 3 * lost <= static_cast<std::ptrdiff_t>(m_trusted_vms.size());
}

}  // namespace cranberryplank
