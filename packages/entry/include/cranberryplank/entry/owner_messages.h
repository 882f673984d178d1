#ifndef CRANBERRYPLANK_ENTRY_OWNER_MESSAGES_H_
#define CRANBERRYPLANK_ENTRY_OWNER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/jobs/job.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/scheduler/cluster_config.h"

namespace cranberryplank {

/// Kind of a call to the owner of the schedule or to another daemon.
enum class OwnerCallKind { kPing, kSubmit, kGetState, kCancel, kCountWaiting, kTakeOver };

/// Formats of the state in the store. A daemon that sends no format reads the first one.
constexpr int kSingleProgressFormat = 1;  ///< An entry for the progress of each job.
constexpr int kProgressLogFormat = 2;     ///< Also a log of progress that all jobs share.

/// A call from one daemon to another.
struct OwnerCall {
  OwnerCallKind kind = OwnerCallKind::kPing;
  std::string incarnation;  ///< Of the owner that hands over and has stopped acting.
  std::string job;
  std::string queue;  ///< Its name; daemons of earlier versions know queues by name only.
  /// Host and path prefix of the call, which identify the queue. Empty in calls of daemons of
  /// earlier versions.
  std::string queue_path;
  std::string sender;  ///< Address at which the sender accepts calls.
  std::uint64_t config_version = 0;
  double cores = 0;                       ///< Processing power of the sender's VM.
  int state_format = kProgressLogFormat;  ///< Newest format of the state that the sender reads.
  std::optional<JobSpec> spec;            ///< For a submission.
  /// For a submission: the job's queue as the sender knows it. The owner may have begun after the
  /// queue was removed, or may not have received the configuration that added it. Daemons of
  /// earlier versions send none.
  std::optional<QueueConfig> queue_config;
  /// Of an owner that hands over: how much longer the owners before it may act. Nothing if it does
  /// not say.
  std::optional<Duration> earlier_owners_act_for;
};

/// Result of a call to the owner.
enum class OwnerStatus {
  kOk,
  kNoSuchJob,
  kNotOwner,  ///< Nothing was done. The daemon called does not own the schedule.
  kNotReady,  ///< Nothing was done. The daemon called is not ready, or no owner is known.
  kRefused,   ///< Nothing was done: the job was not stored and will not be, or not cancelled.
  kUnknown,   ///< The job may have been stored.
};

std::string_view ToString(OwnerStatus status);

struct OwnerReply {
  OwnerStatus status = OwnerStatus::kUnknown;
  JobState state = JobState::kQueued;
  int waiting = 0;
  std::int64_t retry_after_ms = 0;
  std::uint64_t config_version = 0;
  std::uint64_t epoch = 0;
  bool store_reached = true;   ///< The store answers the calls of the replying daemon.
  double strongest_cores = 0;  ///< Of the strongest VM among the replying daemon and its callers.
  std::string incarnation;     ///< Of the daemon that replies.
  std::int64_t ping_interval_ms = 0;  ///< Time between two pings that the owner asks for.
  std::string reason;
};

/// Encode and decode messages between daemons, as MessagePack.
std::string EncodeOwnerCall(const OwnerCall& call);
std::optional<OwnerCall> DecodeOwnerCall(std::string_view bytes);
std::string EncodeOwnerReply(const OwnerReply& reply);
std::optional<OwnerReply> DecodeOwnerReply(std::string_view bytes);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_OWNER_MESSAGES_H_
