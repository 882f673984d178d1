#ifndef CRANBERRYPLANK_CONTROL_STORE_DOCUMENT_H_
#define CRANBERRYPLANK_CONTROL_STORE_DOCUMENT_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/store.h"

namespace cranberryplank {

/// One JSON document in the store that several daemons change by compare-and-swap. Each write
/// carries a nonce. After a write with unknown outcome the document is read back; while it still
/// has the old version, a no-op is swapped onto that version, so that the earlier write can no
/// longer take effect once either of the two has succeeded. The store's versions must increase.
class StoreDocument {
 public:
  using ChangedSignal = sigc::signal<void, TimePoint /*now*/>;

  /// @param retry Time between attempts while the store does not answer.
  StoreDocument(Store* store, RandomSource* random, std::string key, Duration retry);

  /// Returns the content of a document's text as read from the store, if it is valid.
  static std::optional<std::string> ContentOf(std::string_view text);

  const std::string& key() const { return m_key; }

  /// Newest content read or written; empty if the key is absent or was never read.
  const std::string& content() const { return m_content; }

  /// Returns whether the content was read and no newer one is known to exist.
  bool Current() const { return m_current; }

  /// Returns whether no read or write is in progress and no outcome is unknown.
  bool Idle() const { return m_phase == Phase::kIdle; }

  /// Time at which the read or write that last confirmed the content was sent.
  std::optional<TimePoint> ConfirmedAt() const { return m_confirmed; }

  /// Returns whether the last resolved write is known to have taken effect.
  bool LastSwapRecorded() const { return m_last_recorded; }

  /// Reads the document. Does nothing unless idle.
  void Refresh(TimePoint now);

  /// Replaces the content, a JSON object, if the document is unchanged. Must be idle and current.
  /// `content()` shows the new text only once it is known to be recorded.
  void Swap(TimePoint now, std::string_view content);

  /// Keeps a watch pending, so that changes by others are seen soon. Idempotent.
  void KeepWatching(TimePoint now, Duration wait);

  /// Retries calls that the store did not answer.
  void Tick(TimePoint now);

  /// Emitted after a read or a resolved write, even if the content did not change.
  ChangedSignal& signal_resolved() { return m_resolved; }

 private:
  enum class Phase {
    kIdle,
    kReading,
    kWriting,
    kResolving,  ///< Reading back after an unknown outcome.
    kFencing,    ///< Swapping a no-op onto the old version.
    kBackoff,    ///< The store did not answer; idle again after the retry time.
  };

  void SendRead(TimePoint now);
  void SendWrite(TimePoint now, std::string_view content, Phase phase);
  void OnRead(TimePoint now, TimePoint sent, const StoreReadReply& reply);
  void OnWrite(TimePoint now, const StoreWriteReply& reply);
  void OnWatch(TimePoint now, const StoreReadReply& reply);
  bool Accept(std::optional<TimePoint> confirmed, const StoreReadReply& reply);

  Store* m_store;
  RandomSource* m_random;
  std::string m_key;
  Duration m_retry;
  Phase m_phase = Phase::kIdle;
  std::string m_content;
  std::string m_nonce;  ///< Nonce of the document's newest known write.
  std::uint64_t m_index = 0;
  bool m_current = false;
  std::optional<TimePoint> m_confirmed;
  std::string m_pending_content;
  std::string m_pending_nonce;  ///< Nonce of the write whose outcome is unknown.
  std::string m_sent_nonce;     ///< Nonce of the write in progress, the pending one or a no-op.
  TimePoint m_sent;
  std::optional<TimePoint> m_retry_at;
  bool m_last_recorded = false;
  bool m_watching = false;
  std::optional<TimePoint> m_watch_at;
  std::uint64_t m_watch_index = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
  ChangedSignal m_resolved;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_STORE_DOCUMENT_H_
