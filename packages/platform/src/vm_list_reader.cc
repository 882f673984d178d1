#include "cranberryplank/platform/vm_list_reader.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

/// Wait of a watch. A query that hangs delays the detection of a change by at most this wait and
/// the timeout.
constexpr Duration kWatchWait{5'000};

/// Minimum time between two watches, for a platform that answers early without a change.
constexpr Duration kWatchInterval{500};

/// Time for which the list is polled after a failed watch, so that a platform whose blocking
/// queries hang does not delay every change.
constexpr Duration kPollAfterFailure{30'000};

/// Interval of unconditional reads. It bounds the delay if the index misses a change.
constexpr Duration kFullReadInterval{300'000};

bool IsDue(TimePoint now, const std::optional<TimePoint>& last, Duration interval) {
  return !last || now >= *last + interval;
}

}  // namespace

VmListReader::VmListReader(VmDirectory* directory, std::string service, Duration interval)
    : m_directory(directory), m_service(std::move(service)), m_interval(interval) {}

void VmListReader::Tick(TimePoint now) {
  if (m_reading || m_watching) {
    return;
  }
  if (ReadDue(now)) {
    if (IsDue(now, m_last_read, m_interval)) {
      Read(now);
    }
  } else if (IsDue(now, m_last_watch, kWatchInterval)) {
    Watch(now);
  }
}

bool VmListReader::ReadDue(TimePoint now) const {
  return m_needs_read || m_list.index == 0 || (m_poll_until && now < *m_poll_until) ||
         IsDue(now, m_last_read, kFullReadInterval);
}

void VmListReader::Refresh(TimePoint now) {
  if (m_reading || m_refreshing || !IsDue(now, m_last_refresh, m_interval)) {
    return;
  }
  if (ReadDue(now)) {
    if (IsDue(now, m_last_read, m_interval)) {
      m_last_refresh = now;
      Read(now);
    }
    return;
  }
  m_last_refresh = now;
  m_refreshing = true;
  m_directory->WatchIndex(
      m_service, 0, Duration(0),
      [this, now, alive = std::weak_ptr<bool>(m_alive)](
          TimePoint at, std::optional<std::uint64_t> index, std::string_view /*reason*/) {
        if (alive.expired()) {
          return;
        }
        m_refreshing = false;
        if (index && *index == m_list.index) {
          Confirm(at, now, false);
          return;
        }
        m_needs_read = true;
        if (!m_reading) {
          Read(at);
        }
      });
}

void VmListReader::Read(TimePoint now) {
  m_reading = true;
  m_last_read = now;
  m_directory->List(
      m_service, [this, now, alive = std::weak_ptr<bool>(m_alive)](
                     TimePoint at, const std::optional<VmList>& list, std::string_view /*reason*/) {
        if (alive.expired()) {
          return;
        }
        m_reading = false;
        if (!list) {
          m_needs_read = true;
          return;
        }
        OnList(at, now, *list);
      });
}

void VmListReader::OnList(TimePoint now, TimePoint sent, const VmList& list) {
  const bool changed = !m_confirmed || list.listings != m_list.listings;
  // The next watch starts from this index even if it is lower than the previous one, which happens
  // after the platform is restored from a snapshot.
  m_list = list;
  m_needs_read = changed;
  Confirm(now, sent, changed);
}

void VmListReader::Watch(TimePoint now) {
  m_watching = true;
  m_last_watch = now;
  m_directory->WatchIndex(
      m_service, m_list.index, kWatchWait,
      [this, now, watched = m_list.index, alive = std::weak_ptr<bool>(m_alive)](
          TimePoint at, std::optional<std::uint64_t> index, std::string_view /*reason*/) {
        if (alive.expired()) {
          return;
        }
        m_watching = false;
        if (index && *index == watched && watched == m_list.index) {
          Confirm(at, now, false);
          return;
        }
        m_needs_read = true;
        if (!index) {
          m_poll_until = at + kPollAfterFailure;
        }
      });
}

void VmListReader::Confirm(TimePoint now, TimePoint sent, bool changed) {
  m_confirmed = std::max(m_confirmed.value_or(sent), sent);
  m_read.emit(now, sent, changed);
}

}  // namespace cranberryplank
