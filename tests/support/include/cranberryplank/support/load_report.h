#ifndef CRANBERRYPLANK_SUPPORT_LOAD_REPORT_H_
#define CRANBERRYPLANK_SUPPORT_LOAD_REPORT_H_

#include <cstddef>
#include <string>
#include <vector>

namespace cranberryplank {

/// Results of a load run. Each request is counted in exactly one of the first eight fields.
struct LoadReport {
  std::size_t served = 0;        ///< Status 200 with the reply that the request asked for.
  std::size_t not_run = 0;       ///< Refused with the verdict "not run".
  std::size_t not_sent = 0;      ///< No connection to the daemon, so no byte was written.
  std::size_t may_have_run = 0;  ///< Answered with the verdict "may have run".
  std::size_t failed = 0;        ///< The task itself returned a status other than 200.
  std::size_t wrong = 0;         ///< Status 200 with another body.
  std::size_t no_answer = 0;     ///< No complete answer from the daemon before the timeout.
  std::size_t unclear = 0;       ///< Error answer without a verdict.

  std::size_t unread_logs = 0;          ///< Workers whose log could not be read.
  std::size_t lost = 0;                 ///< Served but in no log, or without an answer.
  std::size_t duplicated = 0;           ///< Started more than once, except idempotent requests.
  std::size_t not_run_but_started = 0;  ///< Refused as "not run" but in a log.
  std::vector<std::size_t> served_by_target;

  double seconds = 0;
  double p50_ms = 0;  ///< Latencies of the served requests.
  double p90_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;

  /// Returns whether all logs were read and no request was lost, run twice, reported as not run
  /// although it was started, answered with a wrong reply or refused without a verdict.
  bool Passed() const;

  std::string ToJson() const;
  std::string ToText() const;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_LOAD_REPORT_H_
