#ifndef CRANBERRYPLANK_MODEL_LOG_BUFFER_H_
#define CRANBERRYPLANK_MODEL_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cranberryplank {

/// Log lines on their way to standard output. The buffer is bounded and never blocks: lines that
/// do not fit, because the reader does not read or the rate is above the bound, are dropped and
/// counted, and the count is logged once there is room again.
class LogBuffer {
 public:
  static LogBuffer& Instance();

  /// @param descriptor where to write; it is not closed
  explicit LogBuffer(int descriptor);
  ~LogBuffer();
  LogBuffer(const LogBuffer&) = delete;
  LogBuffer& operator=(const LogBuffer&) = delete;

  /// Queues a whole line. Unless a periodic flush was promised, it is written at once.
  void Add(std::string_view line);
  /// Writes what the reader takes without waiting.
  void Flush();
  /// Promises that Flush() is called regularly, so that lines are written in larger pieces.
  void SetPeriodic(bool periodic) { m_periodic = periodic; }
  /// Allows `lines` more lines until the next call.
  void SetBudget(std::size_t lines) { m_budget = lines; }

  std::uint64_t dropped() const { return m_dropped; }
  std::size_t pending() const { return m_pending.size(); }

 private:
  int m_descriptor;
  std::string m_pending;
  bool m_periodic = false;
  std::size_t m_budget;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_reported = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_LOG_BUFFER_H_
