#ifndef REVIEW_STANDIN_2_SOAK_STAGE_H_
#define REVIEW_STANDIN_2_SOAK_STAGE_H_

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/platform/http_client.h"
#include "cranberryplank/support/event_loop.h"
#include "emulated_store.h"
#include "stage_workers.h"

namespace cranberryplank {

/// Thrown when a case cannot run, so that it shows nothing.
class StageFailure : public std::exception {
 public:
  explicit StageFailure(std::string reason) : m_reason(std::move(reason)) {}
  const char* what() const noexcept override { return m_reason.c_str(); }

 private:
  std::string m_reason;
};

/// One daemon, started with the command of the deploy file.
struct StageDaemon {
  std::string node;
  std::string settings;
  std::string log;
  Endpoint callers;
  Endpoint metrics;
  pid_t pid = -1;
  TimePoint ended{};
};

/// What a client received.
struct StageAnswer {
  bool answered = false;
  int status = 0;
  nlohmann::json body;
};

/// One machine in the list of the platform's cloud.
struct StageMachine {
  std::string pool;
  std::string state = "up";
  std::string worker;
  std::uint64_t token = 0;
  bool kept = false;  ///< Its upkeep has begun.
  TimePoint back{};
};

/// An order that the cloud leaves unanswered and carries out late.
struct StageLateOrder {
  std::string machine;
  std::uint64_t token = 0;
  TimePoint due{};
};

/// The platform around the daemons: store, workers, cloud, advice service, operator and clients.
class Stage {
 public:
  /// @param folder where the record and the daemons' files are written
  Stage(const std::string& root, const std::string& folder, bool with_cloud, bool with_advice);
  ~Stage();
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  StageWorkers& workers() { return m_workers; }
  void Log(const std::string& text);

  /// Starts the daemons and waits until one of them acts as the owner.
  void StartDaemons(int count);
  /// Writes the configuration as the operator.
  void Configure(const nlohmann::json& config);
  void PutOperatorItem(const std::string& key, const nlohmann::json& value);
  void RemoveRegistration(const std::string& worker);

  void RunFor(Duration duration);
  /// @return whether the condition became true in time
  bool RunUntil(const std::function<bool()>& condition, Duration limit);
  /// The same, but the case cannot run without it.
  void Expect(const std::function<bool()>& condition, Duration limit, const std::string& what);

  /// Returns the daemon that says by its metrics that it owns the schedule, or -1.
  int Owner();
  void Signal(int daemon, int signal);
  bool Running(int daemon) const { return m_daemons.at(daemon).pid > 0; }

  void Send(int daemon, HttpMethod method, const std::string& target, const std::string& body,
            std::function<void(const StageAnswer&)> done);
  StageAnswer Call(int daemon, HttpMethod method, const std::string& target,
                   const std::string& body = {});
  /// Hands a job in until a daemon accepts it. The case cannot run if none does.
  void Submit(int daemon, const std::string& target, const nlohmann::json& job);
  /// Any daemon but the one with this number.
  int OtherThan(int daemon) const { return (daemon + 1) % static_cast<int>(m_daemons.size()); }

  // Cloud.
  std::map<std::string, StageMachine>& machines() { return m_machines; }
  /// The next upkeep order gets no answer and is carried out after this time.
  void DelayNextUpkeep(Duration delay) { m_delay_next = delay; }
  const std::vector<StageLateOrder>& late_orders() const { return m_late; }
  int upkeeps() const { return m_upkeeps; }
  /// Most machines that were down for their upkeep when another one began.
  int most_down_at_begin() const { return m_most_down_at_begin; }

 private:
  using Exchange = std::shared_ptr<ApiExchange>;

  void Spawn(StageDaemon* daemon);
  void Tick();
  void TickCloud(TimePoint now);
  void HandleCloud(const Exchange& exchange);
  void HandleAdvice(const Exchange& exchange);
  int CarryOutUpkeep(const std::string& machine, std::uint64_t token, std::string* reason);

  std::string m_root;
  std::string m_folder;
  std::ofstream m_record;
  TimePoint m_begun = Clock::now();
  SeededRandom m_random{1};
  EventLoop m_loop;
  EmulatedStore m_store;
  StageWorkers m_workers;
  HttpClient m_http;
  Endpoint m_operator_store;
  std::unique_ptr<ApiServer> m_cloud;
  Endpoint m_cloud_address;
  std::unique_ptr<ApiServer> m_advice;
  Endpoint m_advice_address;
  std::vector<StageDaemon> m_daemons;
  std::map<std::string, StageMachine> m_machines;
  std::optional<Duration> m_delay_next;
  std::vector<StageLateOrder> m_late;
  std::vector<Exchange> m_unanswered;
  int m_most_down_at_begin = 0;
  int m_upkeeps = 0;
  int m_lives = 0;
};

}  // namespace cranberryplank

#endif  // REVIEW_STANDIN_2_SOAK_STAGE_H_
