#include "effect_tracker.h"

#include <catch2/catch.hpp>

namespace cranberryplank {
namespace {

constexpr TimePoint kStart{Duration(10'000)};
constexpr Duration kWait = kFreshness + kEffectMargin;

std::vector<DaemonRecord> Daemons(std::initializer_list<const char*> names) {
  std::vector<DaemonRecord> daemons;
  for (const char* name : names) {
    daemons.push_back(DaemonRecord{name, name, "", "", 0, "", 0});
  }
  return daemons;
}

Head HeadOf(std::uint64_t revision, std::vector<DaemonRecord> daemons) {
  Head head;
  head.revision = revision;
  head.daemons = std::move(daemons);
  return head;
}

TEST_CASE("a revision is in effect at once when every daemon acknowledged it") {
  EffectTracker tracker("a", MembershipRules());
  tracker.Applied(kStart, HeadOf(5, Daemons({"a", "b", "c"})));
  tracker.Acknowledged(kStart, "b", 5);
  CHECK_FALSE(tracker.StatusOf(5).in_effect);
  CHECK(tracker.StatusOf(5).pending == std::vector<std::string>{"c"});
  tracker.Acknowledged(kStart, "c", 6);
  CHECK(tracker.StatusOf(5).in_effect);
}

// Guards against counting `kFreshness` from the swap, because peers may confirm the older head to
// silent daemons until half of the daemons hold the revision.
TEST_CASE("the wait starts once at most half of the daemons are outstanding") {
  EffectTracker tracker("a", MembershipRules());
  tracker.Applied(kStart, HeadOf(5, Daemons({"a", "b", "c", "d", "e"})));
  tracker.Acknowledged(kStart, "b", 5);
  tracker.Tick(kStart + kWait);
  CHECK_FALSE(tracker.StatusOf(5).in_effect);
  tracker.Acknowledged(kStart + kWait, "c", 5);
  tracker.Tick(kStart + 2 * kWait - Duration(1));
  CHECK_FALSE(tracker.StatusOf(5).in_effect);
  tracker.Tick(kStart + 2 * kWait);
  CHECK(tracker.StatusOf(5).in_effect);
}

TEST_CASE("a missing daemon is not waited for") {
  EffectTracker tracker("a", MembershipRules());
  tracker.Applied(kStart, HeadOf(5, Daemons({"a", "b"})));
  tracker.SetMissing(kStart, {"b"});
  CHECK(tracker.StatusOf(5).in_effect);
}

// Guards against evaluating a change under the new set alone, because daemons that have not
// received the registration change still count majorities by the old one.
TEST_CASE("a registration change also needs the daemons of the old set") {
  EffectTracker tracker("a", MembershipRules());
  Head head = HeadOf(5, Daemons({"a", "b"}));
  head.previous_daemons = Daemons({"a", "b", "c"});
  head.registration_revision = 5;
  tracker.Applied(kStart, head);
  CHECK(tracker.RemovalPending("c"));
  tracker.Acknowledged(kStart, "b", 5);
  CHECK_FALSE(tracker.StatusOf(5).in_effect);
  tracker.Acknowledged(kStart, "c", 5);
  CHECK(tracker.StatusOf(5).in_effect);
  CHECK_FALSE(tracker.RemovalPending("c"));
}

}  // namespace
}  // namespace cranberryplank
