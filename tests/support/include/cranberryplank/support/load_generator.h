#ifndef CRANBERRYPLANK_SUPPORT_LOAD_GENERATOR_H_
#define CRANBERRYPLANK_SUPPORT_LOAD_GENERATOR_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/support/load_report.h"

namespace cranberryplank {

/// Queue to send requests to, with an access key of a team that may use it.
struct LoadTarget {
  std::string queue;
  std::string key;
};

/// Settings of a load run.
struct LoadSettings {
  std::vector<WorkerAddress> daemons;  ///< Used round-robin.
  std::vector<LoadTarget> targets;     ///< Used round-robin.
  std::vector<WorkerAddress> workers;  ///< Fake workers whose task logs are read at the end.
  std::size_t requests = 1'000;
  std::size_t concurrency = 10;
  int run_ms = 1;  ///< Run time requested for each task.
  Duration timeout{30'000};
  bool idempotent = false;
  bool urgent = false;
};

/// Sends requests to daemons, checks the answers and compares them with the workers' task logs.
/// Each request asks for a unique reply, which identifies the request in the log.
class LoadGenerator {
 public:
  /// @param run_id prefix of the replies; must differ between runs
  LoadGenerator(event_base* base, LoadSettings settings, std::string run_id);

  void Start();

  /// Returns whether all requests have ended and all logs have been read.
  bool done() const { return m_done; }

  const LoadReport& report() const { return m_report; }

 private:
  enum class Result {
    kPending,
    kServed,
    kNotRun,
    kNotSent,
    kMayHaveRun,
    kFailed,
    kWrong,
    kNoAnswer,
    kUnclear
  };

  std::string ReplyText(std::size_t number) const;
  void SendNext();
  void OnReply(std::size_t number, TimePoint sent, TimePoint now, const HttpReply& reply);
  static Result Classify(const HttpReply& reply, std::string_view expected);
  void ReadLogs();
  void OnLog(const HttpReply& reply);
  void Finish();
  void CountResults();
  void CountStarts();
  void CountLatencies();

  LoadSettings m_settings;
  std::string m_run_id;
  HttpClient m_client;
  TimePoint m_started;
  std::size_t m_sent = 0;
  std::size_t m_answered = 0;
  std::size_t m_logs_read = 0;
  std::vector<Result> m_results;
  std::vector<double> m_latencies_ms;
  std::map<std::string, int, std::less<>> m_starts;  ///< Number of starts by reply text.
  LoadReport m_report;
  bool m_done = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_LOAD_GENERATOR_H_
