#include "cranberryplank/entry/daemon_peers.h"

#include <catch2/catch.hpp>

namespace cranberryplank {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(50)};

void RecordPing(DaemonPeers* peers, TimePoint now, const std::string& address, double cores) {
  OwnerCall call;
  call.sender = address;
  call.cores = cores;
  peers->RecordCall(now, call);
}

}  // namespace

// Guards against a schedule that goes to a weak VM, which reads the state for seconds.
TEST_CASE("the daemon on the strongest VM takes over") {
  DaemonPeers peers;
  RecordPing(&peers, kStart, "a", 0.5);
  RecordPing(&peers, kStart, "b", 2);
  RecordPing(&peers, kStart, "c", 1);
  CHECK(peers.ChooseSuccessor(kStart, 0) == "b");
  CHECK(peers.ChooseSuccessor(kStart, 4) == std::nullopt);
}

// Guards against a hand-over that asks only one daemon, which is being stopped too.
TEST_CASE("a daemon that refused to take over is passed over for a while") {
  DaemonPeers peers;
  RecordPing(&peers, kStart, "a", 2);
  RecordPing(&peers, kStart, "b", 1);
  peers.AskAgainAt("a", kStart + Duration(500));
  CHECK(peers.ChooseSuccessor(kStart, 0) == "b");
  CHECK(peers.ChooseSuccessor(kStart + Duration(500), 0) == "a");
}

// Guards against a hand-over to a daemon that has ended, and claims that wait for its strong VM.
TEST_CASE("a daemon that has not called recently does not count") {
  DaemonPeers peers;
  RecordPing(&peers, kStart, "a", 2);
  const TimePoint later = kStart + Duration(2'501);
  RecordPing(&peers, later, "b", 1);
  CHECK(peers.StrongestCores(kStart + Duration(2'500), 0.5) == 2);
  CHECK(peers.StrongestCores(later, 0.5) == 1);
  peers.ForgetSilent(later);
  CHECK(peers.ChooseSuccessor(later, 0) == "b");
}

// Guards against a daemon of the previous version that takes over without reading the log.
TEST_CASE("the progress log is used only if all daemons that may take over read it") {
  DaemonPeers peers;
  RecordPing(&peers, kStart, "a", 1);
  CHECK(peers.AllReadProgressLog());
  OwnerCall call;
  call.sender = "b";
  call.state_format = kSingleProgressFormat;
  peers.RecordCall(kStart, call);
  CHECK_FALSE(peers.AllReadProgressLog());
  RecordPing(&peers, kStart + Duration(10'001), "a", 1);
  CHECK(peers.AllReadProgressLog());
}

// Guards against an owner that spends its time on the pings of hundreds of daemons.
TEST_CASE("daemons are asked to ping less often the more there are") {
  DaemonPeers peers;
  for (int i = 0; i < 400; ++i) {
    RecordPing(&peers, kStart, std::to_string(i), 1);
  }
  CHECK(peers.PingIntervalMs() == 2'000);
}

// Guards against memory that grows with each made-up sender.
TEST_CASE("a daemon remembers a bounded number of senders, and only addresses") {
  constexpr int kSenders = 5'000;
  constexpr std::int64_t kMaxPeers = 4'096;
  constexpr std::int64_t kPingsPerSecond = 200;
  DaemonPeers peers;
  RecordPing(&peers, kStart, std::string(1'000, 'a'), 1);
  CHECK(peers.PingIntervalMs() == 0);
  for (int i = 0; i < kSenders; ++i) {
    RecordPing(&peers, kStart, std::to_string(i), 1);
  }
  CHECK(peers.PingIntervalMs() == kMaxPeers * 1'000 / kPingsPerSecond);
  RecordPing(&peers, kStart + Duration(2'000), "0", 2);
  CHECK(peers.ChooseSuccessor(kStart, 0) == "0");
}

}  // namespace cranberryplank
