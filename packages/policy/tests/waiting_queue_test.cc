#include "cranberryplank/policy/waiting_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"

namespace cranberryplank {
namespace {

std::vector<std::string> Queues() { return {"tone", "permits"}; }

TimePoint At(int ms) { return TimePoint(Duration(ms)); }

WaitingRequest Request(const std::string& id, int deadline, bool urgent = false) {
  WaitingRequest request;
  request.task_id = id;
  request.queue = "tone";
  request.team = "smiths";
  request.key_digest = "key";
  request.urgent = urgent;
  request.deadline = At(deadline);
  return request;
}

// Guards against urgent work waiting behind ordinary work, and against later deadlines first.
TEST_CASE("urgent requests come first, then the earliest deadline of any queue") {
  WaitingQueue queue;
  WaitingRequest other = Request("other", 15);
  other.queue = "permits";
  REQUIRE(queue.Push(At(0), Request("late", 30), 9) == PushResult::kQueued);
  REQUIRE(queue.Push(At(0), Request("early", 10), 9) == PushResult::kQueued);
  REQUIRE(queue.Push(At(0), Request("urgent", 40, true), 9) == PushResult::kQueued);
  REQUIRE(queue.Push(At(0), other, 9) == PushResult::kQueued);
  for (const std::string expected : {"urgent", "early", "other", "late"}) {
    CHECK(queue.TakeNext(At(1), Queues(), "smiths")->task_id == expected);
  }
  CHECK_FALSE(queue.TakeNext(At(1), Queues(), "smiths").has_value());
}

// Guards against an unbounded queue and against two requests with the same task id.
TEST_CASE("a full queue, a known task id and a passed deadline are refused") {
  WaitingQueue queue;
  CHECK(queue.Push(At(5), Request("a", 5), 1) == PushResult::kExpired);
  CHECK(queue.Push(At(5), Request("a", 6), 1) == PushResult::kQueued);
  CHECK(queue.Push(At(5), Request("a", 6), 2) == PushResult::kDuplicate);
  CHECK(queue.Push(At(5), Request("b", 6), 1) == PushResult::kFull);
}

// Guards against starting work whose deadline has passed, and against dropping it without an
// answer.
TEST_CASE("an expired request is never next but is still reported as expired") {
  WaitingQueue queue;
  queue.Push(At(0), Request("urgent", 10, true), 9);
  queue.Push(At(0), Request("ordinary", 20), 9);
  CHECK(queue.TakeNext(At(10), Queues(), "smiths")->task_id == "ordinary");
  CHECK(queue.Peek(At(10), Queues(), "smiths") == nullptr);
  REQUIRE(queue.TakeExpired(At(10)).size() == 1);
  CHECK(queue.size() == 0);
}

// Guards against a request that is lost, removed twice or miscounted in any order of pushes,
// starts, cancellations, expiry and withdrawn keys.
TEST_CASE("every request leaves the queue exactly once") {
  SeededRandom random(GENERATE(1, 2, 3, 4, 5));
  WaitingQueue queue;
  std::map<std::string, int> left;  // Number of removals of each accepted request.
  const auto leave = [&](const WaitingRequest& request) { ++left.at(request.task_id); };
  int next_id = 0;
  for (int now = 0; now < 3000; ++now) {
    switch (random.Below(8)) {
      case 0:
        for (const auto& request : queue.TakeExpired(At(now))) {
          CHECK(request.deadline <= At(now));
          leave(request);
        }
        break;
      case 1:
        if (const auto next = queue.TakeNext(At(now), Queues(), "team-1")) {
          CHECK(next->deadline > At(now));
          leave(*next);
        }
        break;
      case 2:
        if (const auto taken = queue.Take(std::to_string(random.Below(next_id + 1)))) {
          leave(*taken);
        }
        break;
      case 3:
        if (random.Below(20) == 0) {
          for (const auto& request : queue.TakeByKey("key-2")) {
            CHECK(request.key_digest == "key-2");
            leave(request);
          }
        }
        break;
      default: {
        WaitingRequest request =
            Request(std::to_string(next_id), now + 1 + static_cast<int>(random.Below(400)));
        request.queue = random.Below(2) == 0 ? "tone" : "permits";
        request.team = "team-" + std::to_string(random.Below(3));
        request.key_digest = "key-" + std::to_string(random.Below(4));
        request.urgent = random.Below(4) == 0;
        request.enqueued = At(now);
        if (queue.Push(At(now), request, 100) == PushResult::kQueued) {
          left[std::to_string(next_id)] = 0;
        }
        ++next_id;
      }
    }
    const auto open = std::count_if(left.begin(), left.end(),
                                    [](const auto& entry) { return entry.second == 0; });
    REQUIRE(static_cast<std::size_t>(open) == queue.size());
    REQUIRE(queue.Waiting("tone") + queue.Waiting("permits") == open);
  }
  for (const auto& request : queue.TakeAll()) {
    leave(request);
  }
  CHECK(std::all_of(left.begin(), left.end(), [](const auto& entry) { return entry.second == 1; }));
}

}  // namespace
}  // namespace cranberryplank
