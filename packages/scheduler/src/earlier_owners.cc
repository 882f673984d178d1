#include "cranberryplank/scheduler/earlier_owners.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

EarlierOwner UnknownOwner(std::uint64_t epoch) {
  EarlierOwner owner;
  owner.epoch = epoch;
  return owner;
}

EarlierOwners::EarlierOwners(std::span<const EarlierOwner> owners, TimePoint act_until) {
  for (const EarlierOwner& owner : owners) {
    m_entries.push_back({owner, act_until});
  }
}

void EarlierOwners::RecordStopped(TimePoint now, std::string_view incarnation) {
  for (Entry& entry : m_entries) {
    if (entry.owner.incarnation == incarnation) {
      entry.act_until = std::min(entry.act_until, now);
    }
  }
}

void EarlierOwners::RecordVmStopped(TimePoint now, std::string_view vm) {
  for (Entry& entry : m_entries) {
    if (entry.owner.vm == vm) {
      entry.act_until = std::min(entry.act_until, now);
    }
  }
}

void EarlierOwners::RecordBound(TimePoint time, std::uint64_t epoch) {
  for (Entry& entry : m_entries) {
    if (entry.owner.epoch < epoch) {
      entry.act_until = std::min(entry.act_until, time);
    }
  }
}

void EarlierOwners::RecordBoundBefore(TimePoint time, std::string_view incarnation) {
  std::uint64_t epoch = 0;
  for (const Entry& entry : m_entries) {
    if (entry.owner.incarnation == incarnation) {
      epoch = std::max(epoch, entry.owner.epoch);
    }
  }
  RecordBound(time, epoch);
}

std::vector<EarlierOwner> EarlierOwners::Askable(TimePoint now) const {
  std::vector<EarlierOwner> owners;
  for (const Entry& entry : m_entries) {
    if (now < entry.act_until && !entry.owner.address.empty()) {
      owners.push_back(entry.owner);
    }
  }
  return owners;
}

TimePoint EarlierOwners::act_until() const {
  TimePoint latest{};
  for (const Entry& entry : m_entries) {
    latest = std::max(latest, entry.act_until);
  }
  return latest;
}

std::vector<EarlierOwner> OwnersBeforeClaim(EarlierOwner owner,
                                            std::span<const EarlierOwner> before,
                                            Duration known_for, Duration authority) {
  std::vector<EarlierOwner> owners;
  if (known_for < authority) {
    owners.assign(before.begin(), before.end());
  }
  owners.push_back(std::move(owner));
  if (owners.size() > kMaxEarlierOwners) {
    // The oldest ones are replaced by one that cannot be asked.
    const auto excess = static_cast<std::ptrdiff_t>(owners.size() - kMaxEarlierOwners);
    owners.erase(owners.begin(), owners.begin() + excess);
    owners.front() = UnknownOwner(owners.front().epoch);
  }
  return owners;
}

}  // namespace cranberryplank
