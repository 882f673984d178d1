#include "freshness_tracker.h"

#include <catch2/catch.hpp>

#include "cranberryplank/control/head_replica.h"

namespace cranberryplank {
namespace {

constexpr TimePoint kStart{Duration(10'000)};

Head HeadOf(std::uint64_t revision) {
  Head head;
  head.revision = revision;
  for (const char* name : {"a", "b", "c"}) {
    head.daemons.push_back(DaemonRecord{name, name, "", "", 0, "", 0});
  }
  return head;
}

Heartbeat Echo(std::uint64_t sequence, std::uint64_t newest) {
  Heartbeat heartbeat;
  heartbeat.echo_sequence = sequence;
  heartbeat.echo_incarnation = std::string("a");
  heartbeat.newest_revision = newest;
  return heartbeat;
}

// Guards against counting a confirmation from the time it is processed, which may be long after it
// was sent if the daemon was paused.
TEST_CASE("a peer confirms from the send time of the heartbeat it echoes") {
  FreshnessTracker tracker("a");
  const Head head = HeadOf(3);
  std::string reason;
  tracker.Applied(head);
  tracker.HeartbeatSent(kStart, "b", 1);
  CHECK_FALSE(tracker.FreshUntil(kStart, head, &reason).has_value());
  tracker.HeartbeatReceived("b", Echo(1, 3));
  CHECK(tracker.FreshUntil(kStart + Duration(1'999), head, &reason) == kStart + kFreshness);
  CHECK_FALSE(tracker.FreshUntil(kStart + kFreshness, head, &reason).has_value());
  CHECK(reason.find("more than half of 3 daemons") != std::string::npos);
}

// Guards against store reads that start again only when the peers' confirmation has expired.
TEST_CASE("peers confirm only while store reads can start again in time") {
  FreshnessTracker tracker("a");
  const Head head = HeadOf(3);
  tracker.Applied(head);
  tracker.HeartbeatSent(kStart, "b", 1);
  CHECK_FALSE(tracker.PeersConfirm(kStart, head));
  tracker.HeartbeatReceived("b", Echo(1, 3));
  CHECK(tracker.PeersConfirm(kStart + Duration(1'000), head));
  CHECK_FALSE(tracker.PeersConfirm(kStart + Duration(1'500), head));
  CHECK_FALSE(tracker.PeersConfirm(kStart, Head()));
}

// Guards against a majority that includes a daemon which already knows a newer revision.
TEST_CASE("a peer that knows a newer revision confirms only once that revision is held") {
  FreshnessTracker tracker("a");
  std::string reason;
  tracker.Applied(HeadOf(3));
  tracker.HeartbeatSent(kStart, "b", 1);
  tracker.HeartbeatReceived("b", Echo(1, 4));
  CHECK_FALSE(tracker.FreshUntil(kStart, HeadOf(3), &reason).has_value());
  tracker.Applied(HeadOf(4));
  CHECK(tracker.FreshUntil(kStart, HeadOf(4), &reason).has_value());
}

TEST_CASE("a store read counts from its send time and only for the newest head") {
  FreshnessTracker tracker("a");
  std::string reason;
  tracker.Applied(HeadOf(3));
  tracker.StoreRead(kStart, 2);
  CHECK_FALSE(tracker.FreshUntil(kStart, HeadOf(3), &reason).has_value());
  tracker.StoreRead(kStart, 4);
  CHECK_FALSE(tracker.FreshUntil(kStart, HeadOf(3), &reason).has_value());
  tracker.StoreRead(kStart, 3);
  CHECK(tracker.FreshUntil(kStart, HeadOf(3), &reason) == kStart + kFreshness);
}

TEST_CASE("a daemon that is not registered is never fresh") {
  FreshnessTracker tracker("z");
  std::string reason;
  tracker.Applied(HeadOf(3));
  tracker.StoreRead(kStart, 3);
  CHECK_FALSE(tracker.FreshUntil(kStart, HeadOf(3), &reason).has_value());
  CHECK(reason == "this daemon is not registered in revision 3");
}

}  // namespace
}  // namespace cranberryplank
