#ifndef CRANBERRYPLANK_DAEMON_METRICS_H_
#define CRANBERRYPLANK_DAEMON_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"
#include "cranberryplank/model/verdict.h"

namespace cranberryplank {

/// Counters, gauges and latency histograms of one daemon, in the Prometheus text format.
class Metrics {
 public:
  /// Microseconds, because the entry hop takes well under a millisecond.
  using Latency = std::chrono::microseconds;

  Metrics();
  ~Metrics();

  /// Adds `amount` to the counter `name`; `labels` is empty or has the form
  /// `verdict="not_run"`.
  void Count(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);

  /// Counts a reply to a caller by its verdict and HTTP status.
  void CountReply(Verdict verdict, int status);

  /// Sets the value of a counter that another component maintains.
  void SetTotal(std::string_view name, std::uint64_t value);

  /// @param labels as for Count
  void SetGauge(std::string_view name, double value, std::string_view labels = {});

  /// Records the time between accepting a request and replying to it.
  void RecordLatency(Latency latency);

  /// Records the time that a request was queued before it was dispatched.
  void RecordQueueWait(Latency wait);

  /// Returns the value of a counter, or 0 if it does not exist.
  std::uint64_t Value(std::string_view name, std::string_view labels = {}) const;

  std::string Render() const;

 private:
  struct Data;
  std::unique_ptr<Data> m_data;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_METRICS_H_
