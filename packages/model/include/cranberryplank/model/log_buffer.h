#ifndef CRANBERRYPLANK_MODEL_LOG_BUFFER_H_
#define CRANBERRYPLANK_MODEL_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Bounded, non-blocking output buffer for log lines. Lines that do not fit, because the reader has
/// stalled or the rate exceeds the budget, are dropped and counted. The count is logged once there
/// is space again.
class LogBuffer {
 public:
  static LogBuffer& Instance();

  /// @param descriptor file descriptor to write to; it is not closed
  explicit LogBuffer(int descriptor);
  ~LogBuffer();
  LogBuffer(const LogBuffer&) = delete;
  LogBuffer& operator=(const LogBuffer&) = delete;

  /// Returns whether a line that counts against the budget is accepted now. If it is not, the line
  /// counts as dropped, so a caller can skip formatting it.
  bool AcceptsLine();
  /// Queues a complete line. Without periodic flushing, it is written at once.
  void Add(std::string_view line);
  /// Queues a line even if the budget is used up.
  void AddBeyondBudget(std::string_view line);
  /// Writes as much as possible without blocking.
  void Flush();
  /// Sets whether the caller calls Flush() regularly, so that lines are written in larger blocks.
  void SetPeriodic(bool periodic) { m_periodic = periodic; }
  /// Allows `lines` more lines until the next call.
  void SetBudget(std::size_t lines) { m_budget = lines; }

  std::uint64_t dropped() const { return m_dropped; }
  std::size_t pending() const { return m_pending.size(); }

 private:
  void Queue(std::string_view line);

  int m_descriptor;
  std::string m_pending;
  bool m_periodic = false;
  std::size_t m_budget;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_LOG_BUFFER_H_
