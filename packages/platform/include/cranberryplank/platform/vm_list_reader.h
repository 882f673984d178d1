#ifndef CRANBERRYPLANK_PLATFORM_VM_LIST_READER_H_
#define CRANBERRYPLANK_PLATFORM_VM_LIST_READER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/vm_directory.h"

namespace cranberryplank {

/// Caches the VM list of one service. The list is read when its index changes, once more after each
/// change, and every 5 minutes in any case. While the index cannot be watched, the list is read at
/// the given interval.
class VmListReader {
 public:
  /// `sent` is the time at which the call that confirmed the list was sent; `changed` is whether
  /// the list differs from the previous one.
  using ReadSignal = sigc::signal<void, TimePoint /*now*/, TimePoint /*sent*/, bool /*changed*/>;

  /// @param directory must outlive the reader
  /// @param interval minimum time between two reads
  VmListReader(VmDirectory* directory, std::string service, Duration interval);

  /// Starts the read or the watch that is due.
  void Tick(TimePoint now);

  /// Requests an immediate confirmation of the list, at most once per interval.
  void Refresh(TimePoint now);

  const std::vector<VmListing>& listings() const { return m_list.listings; }

  /// Send time of the last call that confirmed the cached list; empty before the first list.
  std::optional<TimePoint> confirmed() const { return m_confirmed; }

  /// Emitted for each call that confirmed or changed the list.
  ReadSignal& signal_read() { return m_read; }

 private:
  bool ReadDue(TimePoint now) const;
  void Read(TimePoint now);
  void Watch(TimePoint now);
  void OnList(TimePoint now, TimePoint sent, const VmList& list);
  void Confirm(TimePoint now, TimePoint sent, bool changed);

  VmDirectory* m_directory;
  std::string m_service;
  Duration m_interval;
  VmList m_list;
  std::optional<TimePoint> m_confirmed;
  std::optional<TimePoint> m_last_read;
  std::optional<TimePoint> m_last_watch;
  std::optional<TimePoint> m_last_refresh;
  std::optional<TimePoint> m_poll_until;  ///< Set after a failed watch.
  bool m_needs_read = true;               ///< The list must be read, not only its index.
  bool m_reading = false;
  bool m_watching = false;
  bool m_refreshing = false;
  ReadSignal m_read;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Checked by late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_VM_LIST_READER_H_
