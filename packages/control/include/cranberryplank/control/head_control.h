#ifndef CRANBERRYPLANK_CONTROL_HEAD_CONTROL_H_
#define CRANBERRYPLANK_CONTROL_HEAD_CONTROL_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/head.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Outcome of a submitted change of the head.
enum class ChangeOutcome {
  kRecorded,     ///< In the store at `revision`; not necessarily in effect yet.
  kRejected,     ///< The edit refused to apply to the newest configuration.
  kConflict,     ///< Another change was recorded first, in `revision`.
  kUnavailable,  ///< The store cannot be reached; the change had and will have no effect.
  kUnknown,      ///< This daemon was removed before the outcome was known and cannot determine it.
};

struct ChangeResult {
  ChangeOutcome outcome = ChangeOutcome::kUnavailable;
  std::uint64_t revision = 0;
  std::string reason;  ///< Set unless recorded.
};

/// Whether a recorded revision is in effect on every daemon.
struct EffectStatus {
  bool in_effect = false;
  std::vector<std::string> pending;  ///< Ids of the daemons that have not acknowledged it.
};

/// Reads, freshness and changes of the shared configuration.
class HeadControl {
 public:
  /// Returns the changed fleet, or nothing with `last_reason` set to refuse.
  using FleetEdit =
      std::function<std::optional<Fleet>(const Fleet& current, std::string* last_reason)>;
  using ChangeCallback = std::function<void(TimePoint now, const ChangeResult& result)>;
  using ChangedSignal = sigc::signal<void, TimePoint /*now*/>;

  virtual ~HeadControl() = default;

  /// Newest head that this daemon has applied; revision 0 before the first.
  virtual const Head& head() const = 0;

  /// Configuration named by `head()`.
  virtual const Fleet& fleet() const = 0;

  /// This process's incarnation.
  virtual std::string_view incarnation() const = 0;

  /// Returns until when this daemon may dispatch, or nothing, with `last_reason` set, if it may
  /// not dispatch at `now`.
  virtual std::optional<TimePoint> FreshUntil(TimePoint now, std::string* last_reason) const = 0;

  /// Submits a change. `edit` is called with the newest configuration and may be called again
  /// after a lost race. `done` runs exactly once, from the event loop.
  virtual void Submit(TimePoint now, std::string_view description, FleetEdit edit,
                      ChangeCallback done) = 0;

  /// Returns whether `revision` is in effect.
  virtual EffectStatus StatusOf(std::uint64_t revision, TimePoint now) const = 0;

  /// Returns whether a daemon's incarnation is registered, or its removal is not yet in effect.
  virtual bool MayStillDispatch(std::string_view incarnation, TimePoint now) const = 0;

  /// Emitted after a newer head was applied.
  ChangedSignal& signal_changed() { return m_changed; }

 protected:
  ChangedSignal m_changed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_HEAD_CONTROL_H_
