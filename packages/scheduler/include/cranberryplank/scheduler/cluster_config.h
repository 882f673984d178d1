#ifndef CRANBERRYPLANK_SCHEDULER_CLUSTER_CONFIG_H_
#define CRANBERRYPLANK_SCHEDULER_CLUSTER_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/jobs/job.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Cost and lifetime of an answer of the advice service for the steps of one queue.
struct AdvicePolicy {
  Duration base_time{0};
  Duration time_per_worker{0};
  Duration ticket_lifetime{0};

  bool operator==(const AdvicePolicy&) const = default;
};

/// Configuration of a queue: its routing and how its jobs are run.
struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;  ///< Pool whose workers run the tasks.
  int priority = 0;  ///< 0 is the most urgent and may preempt others.
  int max_attempts = 1;
  double stretch = 1.0;   ///< Factor on the job's longest chain of work in its objective.
  Duration objective{0};  ///< Added to the stretched chain.
  bool open_to_all = false;
  std::optional<AdvicePolicy> advice;

  /// Returns host and path prefix, which identify the queue of a call; empty if they are not known.
  std::string path() const { return host + path_prefix; }
  /// Returns what identifies the queue: its path, or its name if the path is not known. Operators
  /// may give the queue at a path another name, and its former name to another queue.
  std::string id() const { return host.empty() && path_prefix.empty() ? name : path(); }
};

struct PoolConfig {
  std::string name;
  bool workers_check_capacity = false;  ///< Workers refuse a start that does not fit.
  bool standby = false;                 ///< The pool's VMs are switched off and cost nothing.
};

/// A customer, its keys and its limits.
struct CustomerConfig {
  std::string name;
  std::vector<std::string> keys;
  double weight = 0;  ///< Share under full load, and guaranteed jobs per second.
  Resources cap;      ///< Limit of its running tasks' resources; 0 in a field means no limit.
};

/// Limits on callers' requests.
struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 262'144;
  Duration header_timeout{3'000};
  Duration idle_timeout{15'000};
};

/// One version of the operators' configuration.
struct ClusterConfig {
  std::uint64_t version = 0;
  std::uint64_t store_revision = 0;
  std::vector<QueueConfig> queues;
  std::map<std::string, PoolConfig, std::less<>> pools;
  std::vector<CustomerConfig> customers;
  CallerLimits limits;

  /// Returns the queue that has the name now, or nullptr.
  const QueueConfig* FindQueue(std::string_view name) const;
  /// Returns the queue with the longest path prefix of `path` on `host`, or nullptr.
  const QueueConfig* Route(std::string_view host, std::string_view path) const;
  const CustomerConfig* FindCustomer(std::string_view name) const;
  /// Returns the customer that holds `key`, or nullptr.
  const CustomerConfig* CustomerOfKey(std::string_view key) const;
  bool IsStandby(std::string_view pool) const;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_CLUSTER_CONFIG_H_
