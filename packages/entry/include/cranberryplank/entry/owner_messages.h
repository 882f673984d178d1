#ifndef CRANBERRYPLANK_ENTRY_OWNER_MESSAGES_H_
#define CRANBERRYPLANK_ENTRY_OWNER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/jobs/job.h"

namespace cranberryplank {

/// What a daemon asks of the owner of the schedule.
enum class OwnerCallKind { kPing, kSubmit, kGetState, kCancel, kCountWaiting, kTakeOver };

/// A call from a daemon to the owner.
struct OwnerCall {
  OwnerCallKind kind = OwnerCallKind::kPing;
  std::string incarnation;  ///< Of the owner that hands over and acts no more.
  std::string job;
  std::string queue;
  std::string sender;  ///< Address for calls to the sender.
  std::uint64_t config_version = 0;
  double cores = 0;             ///< Processor of the sender's VM.
  std::optional<JobSpec> spec;  ///< For a submission.
};

/// How the owner disposed of a call.
enum class OwnerStatus {
  kOk,
  kNoSuchJob,
  kNotOwner,  ///< Nothing was done; another daemon owns the schedule or will.
  kNotReady,  ///< Nothing was done; the owner is still loading the state.
  kRefused,   ///< The job is not stored and never will be.
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
  bool store_reached = true;   ///< In the answer to a ping: the owner's calls are answered.
  double strongest_cores = 0;  ///< Processor of the strongest VM among the daemons that call.
  std::string incarnation;     ///< Of the daemon that answers.
  std::string reason;
};

/// Encodes messages between daemons, as MessagePack.
std::string EncodeOwnerCall(const OwnerCall& call);
std::optional<OwnerCall> DecodeOwnerCall(std::string_view bytes);
std::string EncodeOwnerReply(const OwnerReply& reply);
std::optional<OwnerReply> DecodeOwnerReply(std::string_view bytes);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_OWNER_MESSAGES_H_
