#include "cranberryplank/support/memory_workers.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace cranberryplank {

namespace {

constexpr Duration kShortCallTimeout{1'000};

TaskResult Failed(Verdict verdict, std::string reason) {
  TaskResult result;
  result.verdict = verdict;
  result.reason = std::move(reason);
  return result;
}

std::string_view ToString(WorkerRefusal refusal) {
  switch (refusal) {
    case WorkerRefusal::kNone:
      return "none";
    case WorkerRefusal::kDraining:
      return "the worker is draining";
    case WorkerRefusal::kBusy:
      return "the worker has no free slot";
    case WorkerRefusal::kExpired:
      return "the start-by deadline has passed or the worker has rebooted";
  }
  return "unknown";
}

bool Refuses(const WorkerFleet::Member* member) {
  return member == nullptr || member->faults.unreachable || !member->worker->Reachable();
}

}  // namespace

struct MemoryWorkers::StartCall {
  Scheduler* network;
  Scheduler* process;
  WorkerFleet::Member*
      member;  ///< Used only in actions of the worker, which are discarded with it.
  TaskStart task;
  TaskCallback done;

  /// Delivers `result` to the caller after `delay` unless the call has already ended.
  static void Deliver(const std::shared_ptr<StartCall>& call, TaskResult result, Duration delay) {
    call->process->Schedule(call->network->Now() + delay,
                            [call, result = std::move(result)](TimePoint now) {
                              if (call->done) {
                                std::exchange(call->done, nullptr)(now, result);
                              }
                            });
  }

  /// Handles the request on the worker.
  static void Handle(const std::shared_ptr<StartCall>& call) {
    SimulatedWorker& worker = *call->member->worker;
    if (Refuses(call->member)) {
      Deliver(call, Failed(Verdict::kMayHaveRun, "the connection was closed"), Duration(0));
      return;
    }
    const WorkerRefusal refusal =
        worker.Start(call->task, [call](TimePoint, const std::optional<TaskAnswer>& answer) {
          if (!answer) {
            Deliver(call, Failed(Verdict::kMayHaveRun, "the connection was closed"), Duration(0));
            return;
          }
          TaskResult result;
          result.verdict = Verdict::kCompleted;
          result.status = answer->status;
          result.content_type = answer->content_type;
          result.body = answer->body;
          Answer(call, std::move(result));
        });
    if (refusal != WorkerRefusal::kNone) {
      TaskResult result = Failed(Verdict::kNotRun, std::string(ToString(refusal)));
      result.refusal = refusal;
      Answer(call, std::move(result));
    }
  }

  /// Sends the worker's answer after applying faults.
  static void Answer(const std::shared_ptr<StartCall>& call, TaskResult result) {
    WorkerFaults& faults = call->member->faults;
    if (faults.silent) {
      return;
    }
    result.worker_clock = call->member->worker->WorkerClock();
    if (faults.lose_answers > 0) {
      --faults.lose_answers;
      result = Failed(Verdict::kMayHaveRun, "the connection was closed");
    } else if (faults.truncate_answers > 0) {
      --faults.truncate_answers;
      result = Failed(Verdict::kMayHaveRun, "the answer is incomplete");
    } else if (faults.swap_answers > 0) {
      Swap(call);
      return;
    }
    Deliver(call, std::move(result), faults.answer_delay);
  }

  /// Holds the answer until there is a second one, then fails both with each other's task id.
  static void Swap(const std::shared_ptr<StartCall>& call) {
    WorkerFleet::Member& member = *call->member;
    const auto reject = [call](const std::string& other_id) {
      Deliver(call, Failed(Verdict::kMayHaveRun, fmt::format("the answer names task {}", other_id)),
              call->member->faults.answer_delay);
    };
    if (!member.swap_waiting) {
      member.swap_waiting = reject;
      member.swap_waiting_id = call->task.task_id;
      return;
    }
    --member.faults.swap_answers;
    std::exchange(member.swap_waiting, nullptr)(call->task.task_id);
    reject(member.swap_waiting_id);
  }
};

MemoryWorkers::MemoryWorkers(EventQueue* queue)
    : MemoryWorkers(queue, queue, std::make_shared<WorkerFleet>()) {}

MemoryWorkers::MemoryWorkers(Scheduler* network, Scheduler* process,
                             std::shared_ptr<WorkerFleet> fleet)
    : m_network(network), m_process(process), m_fleet(std::move(fleet)) {}

void MemoryWorkers::Start(const WorkerAddress& worker, const TaskStart& task, Duration timeout,
                          TaskCallback done) {
  auto call = std::make_shared<StartCall>(
      StartCall{m_network, m_process, m_fleet->Find(worker), task, std::move(done)});
  if (m_cut.contains(worker)) {
    StartCall::Deliver(call, Failed(Verdict::kMayHaveRun, "no answer in time"), timeout);
    return;
  }
  if (Refuses(call->member)) {
    StartCall::Deliver(call, Failed(Verdict::kNotRun, "the connection was refused"), Duration(1));
    return;
  }
  StartCall::Deliver(call, Failed(Verdict::kMayHaveRun, "no answer in time"), timeout);
  if (call->member->faults.silent) {
    return;
  }
  SimulatedProcess& worker_process = call->member->worker->process();
  worker_process.Schedule(m_network->Now() + call->member->faults.request_delay,
                          [call](TimePoint) { StartCall::Handle(call); });
}

void MemoryWorkers::ShortCall(const WorkerAddress& address,
                              std::function<std::string(SimulatedWorker&)> handle,
                              DoneCallback done) {
  auto shared = std::make_shared<DoneCallback>(std::move(done));
  const auto finish = [shared](TimePoint now, const std::string& reason) {
    if (*shared) {
      std::exchange(*shared, nullptr)(now, reason.empty(), reason);
    }
  };
  const auto finish_at = [process = m_process, finish](TimePoint when, const std::string& reason) {
    process->Schedule(when, [finish, reason](TimePoint now) { finish(now, reason); });
  };
  WorkerFleet::Member* member = m_fleet->Find(address);
  const bool cut = m_cut.contains(address);
  if (!cut && Refuses(member)) {
    finish_at(m_network->Now() + Duration(1), "the connection was refused");
    return;
  }
  finish_at(m_network->Now() + kShortCallTimeout, "no answer in time");
  if (cut || member->faults.silent) {
    return;
  }
  member->worker->process().Schedule(m_network->Now() + member->faults.request_delay,
                                     [member, handle = std::move(handle), finish_at](TimePoint at) {
                                       if (Refuses(member)) {
                                         finish_at(at, "the connection was closed");
                                         return;
                                       }
                                       const std::string reason = handle(*member->worker);
                                       if (!member->faults.silent) {
                                         finish_at(at + member->faults.answer_delay, reason);
                                       }
                                     });
}

void MemoryWorkers::GetStatus(const WorkerAddress& worker, StatusCallback done) {
  const auto status = std::make_shared<WorkerStatus>();
  ShortCall(
      worker,
      [status](SimulatedWorker& w) {
        *status = w.Status();
        return "";
      },
      [status, done = std::move(done)](TimePoint now, bool ok, std::string_view reason) {
        done(now, ok ? std::optional(*status) : std::nullopt, reason);
      });
}

void MemoryWorkers::GetTask(const WorkerAddress& worker, std::string_view task_id,
                            ReportCallback done) {
  const auto report = std::make_shared<TaskReport>();
  ShortCall(
      worker,
      [report, id = std::string(task_id)](SimulatedWorker& w) {
        *report = TaskReport{w.GetTask(id), w.WorkerClock(), w.Status().boot_id};
        return "";
      },
      [report, done = std::move(done)](TimePoint now, bool ok, std::string_view reason) {
        done(now, ok ? std::optional(*report) : std::nullopt, reason);
      });
}

void MemoryWorkers::Checkpoint(const WorkerAddress& worker, std::string_view task_id,
                               DoneCallback done) {
  ShortCall(
      worker,
      [id = std::string(task_id)](SimulatedWorker& w) {
        return w.Checkpoint(id) ? "" : "the task is not running";
      },
      std::move(done));
}

void MemoryWorkers::SetDraining(const WorkerAddress& worker, bool drain, DoneCallback done) {
  ShortCall(
      worker,
      [drain](SimulatedWorker& w) {
        w.SetDraining(drain);
        return "";
      },
      std::move(done));
}

void MemoryWorkers::Reboot(const WorkerAddress& worker, std::string_view boot_id,
                           DoneCallback done) {
  ShortCall(
      worker,
      [id = std::string(boot_id)](SimulatedWorker& w) {
        return w.Reboot(id) ? "" : "tasks are running or the boot has ended";
      },
      std::move(done));
}

}  // namespace cranberryplank
