#ifndef CRANBERRYPLANK_SCHEDULER_TESTS_RECORDING_LINK_H_
#define CRANBERRYPLANK_SCHEDULER_TESTS_RECORDING_LINK_H_

#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

/// Records the orders to workers and to the advice service.
class RecordingLink : public WorkerLink {
 public:
  void RenewLease(const WorkerInfo& worker, const LeaseRenewalOrder& order) override {
    renewals.emplace_back(worker.id, order);
  }
  void Start(const WorkerInfo& worker, const StartOrder& order) override {
    starts.emplace_back(worker.id, order);
  }
  void Stop(const WorkerInfo&, const StopOrder&) override {}
  void Throttle(const WorkerInfo&, const ThrottleOrder&) override {}
  void Advise(const AdviceOrder& order) override { calls.push_back(order); }

  std::vector<std::pair<std::string, LeaseRenewalOrder>> renewals;
  std::vector<std::pair<std::string, StartOrder>> starts;
  std::vector<AdviceOrder> calls;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_TESTS_RECORDING_LINK_H_
