#include <catch2/catch.hpp>

#include "owner_fixture.h"

namespace cranberryplank {

namespace {

/// An owner of the schedule with a queue, and calls about a job that it does not know.
class UnknownJobFixture : public OwnerFixture {
 public:
  UnknownJobFixture() : OwnerFixture(ConfigWith({Queue()})) {}

  Answer Call(OwnerCallKind kind) { return OwnerFixture::Call(CallAt(Queue(), kind, "job")); }

 private:
  static QueueConfig Queue() { return QueueAt("queue", "host", "/jobs/"); }
};

}  // namespace

// Guards against a caller that believes its job is cancelled while it runs (review/5): an owner
// that was replaced while it was frozen answered "no such job" from memory, though its successor
// had accepted the job.
TEST_CASE("an owner that was replaced does not deny a job that its successor may have") {
  const OwnerCallKind kind = GENERATE(OwnerCallKind::kCancel, OwnerCallKind::kGetState);
  UnknownJobFixture fixture;
  fixture.TakeOver();
  const auto answer = fixture.Call(kind);
  fixture.Run(kAnswerBound);
  REQUIRE(answer->has_value());
  CHECK((*answer)->status != OwnerStatus::kNoSuchJob);
}

// Guards against calls about unknown jobs that are never answered, or not truthfully.
TEST_CASE("an owner that the store confirms denies a job that does not exist") {
  const OwnerCallKind kind = GENERATE(OwnerCallKind::kCancel, OwnerCallKind::kGetState);
  UnknownJobFixture fixture;
  const auto answer = fixture.Call(kind);
  fixture.Run(Duration(100));
  REQUIRE(answer->has_value());
  CHECK((*answer)->status == OwnerStatus::kNoSuchJob);
}

// Guards against a call that is held until its caller's deadline although it can't be answered.
TEST_CASE("a call about an unknown job is rejected soon while the store does not answer") {
  UnknownJobFixture fixture;
  const auto answer = fixture.Call(OwnerCallKind::kGetState);
  fixture.Run(kAnswerBound, false);
  REQUIRE(answer->has_value());
  CHECK((*answer)->status == OwnerStatus::kNotReady);
}

}  // namespace cranberryplank
