#include "stop_timing.h"

#include <catch2/catch.hpp>

namespace cranberryplank {

namespace {

constexpr Duration kGrace{6'000};

}  // namespace

// Guards against connections that are refused while the platform still sends requests here.
TEST_CASE("a daemon ends only once the platform has detected that it is not ready") {
  CHECK_FALSE(MayEnd({Duration(2'399), kGrace, false, true}));
  CHECK(MayEnd({Duration(2'400), kGrace, false, true}));
}

// Guards against a schedule without an owner, and against a process that is killed in the middle of
// a response because it waits for a successor to the end of its grace period.
TEST_CASE("an owner without a successor ends shortly before its grace period does") {
  CHECK_FALSE(MayEnd({Duration(5'099), kGrace, true, true}));
  CHECK(MayEnd({Duration(5'100), kGrace, true, true}));
}

// Guards against a whole request that gets no answer because the process ends before its last
// response is written, and against an end that one slow caller delays beyond the grace period.
TEST_CASE("the last responses delay the end by a bounded time") {
  CHECK(AnswerTime(kGrace) == Duration(4'800));
  CHECK_FALSE(MayEnd({Duration(5'399), kGrace, true, false}));
  CHECK(MayEnd({Duration(5'400), kGrace, true, false}));
  CHECK_FALSE(MustEnd({Duration(5'399), kGrace, true, false}));
  CHECK(MustEnd({Duration(5'400), kGrace, true, false}));
}

// Guards against a hand-over to a weak VM while a strong one may still come, and against one that
// never takes place because only weak VMs run on.
TEST_CASE("an owner waits for a strong successor until the end of its stop") {
  CHECK(LeastSuccessorCores(Duration(3'099), kGrace, 2) == 1);
  CHECK(LeastSuccessorCores(Duration(3'100), kGrace, 2) == 0);
}

}  // namespace cranberryplank
