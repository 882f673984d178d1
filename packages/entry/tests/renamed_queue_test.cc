#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "cranberryplank/entry/queue_codec.h"
#include "cranberryplank/jobs/job_codec.h"
#include "owner_fixture.h"

namespace cranberryplank {

namespace {

constexpr const char* kHost = "pule25.example";
constexpr const char* kPrefix = "/puxa400/";
constexpr const char* kJob = "5c0e7a21d94b36f8";

QueueConfig Former() { return QueueAt("r-settle", kHost, kPrefix); }
QueueConfig Renamed() { return QueueAt("r-settle-2", kHost, kPrefix); }
/// Another queue, to which the operators have given the former name.
QueueConfig Elsewhere() { return QueueAt("r-settle", kHost, "/other/"); }

/// An owner with an accepted job, whose queue has got another name since.
class RenamedQueueFixture : public OwnerFixture {
 public:
  /// @param ends the job is cancelled before
  explicit RenamedQueueFixture(bool ends) : OwnerFixture(ConfigWith({Former()})) {
    REQUIRE(Ask(Former(), OwnerCallKind::kSubmit, kJob).status == OwnerStatus::kOk);
    if (ends) {
      REQUIRE(Ask(Former(), OwnerCallKind::kCancel, kJob).status == OwnerStatus::kOk);
    }
    Configure(ConfigWith({Renamed(), Elsewhere()}));
    Run(Duration(100));
  }
};

}  // namespace

// Guards against accepted jobs that are denied, and cancellings that are acknowledged and stop
// nothing (review/13): a version gave the route at a prefix another name.
TEST_CASE("a job is known and cancelled at its path after its queue got another name") {
  const bool replaced = GENERATE(false, true);
  CAPTURE(replaced);
  RenamedQueueFixture fixture(false);
  if (replaced) {
    fixture.ReplaceOwner();
  }
  const OwnerReply state = fixture.Ask(Renamed(), OwnerCallKind::kGetState, kJob);
  CHECK(state.status == OwnerStatus::kOk);
  CHECK(state.state == JobState::kQueued);
  CHECK(fixture.Ask(Renamed(), OwnerCallKind::kCountWaiting, kJob).waiting == 1);
  CHECK(fixture.Ask(Renamed(), OwnerCallKind::kCancel, kJob).status == OwnerStatus::kOk);
  CHECK(fixture.owner().scheduler()->StateOf(kJob) == JobState::kCancelled);
  fixture.ReplaceOwner();
  CHECK(fixture.Ask(Renamed(), OwnerCallKind::kGetState, kJob).state == JobState::kCancelled);
}

// Guards against the same for a job that has ended, of which a shorter record is kept.
TEST_CASE("the state of an ended job is known at its path after its queue got another name") {
  RenamedQueueFixture fixture(true);
  const bool replaced = GENERATE(false, true);
  if (replaced) {
    fixture.ReplaceOwner();
  }
  const OwnerReply state = fixture.Ask(Renamed(), OwnerCallKind::kGetState, kJob);
  CHECK(state.status == OwnerStatus::kOk);
  CHECK(state.state == JobState::kCancelled);
}

// Guards against a second job of a submission that is repeated after its queue got another name.
TEST_CASE("a submission that is repeated at a renamed queue remains one job") {
  RenamedQueueFixture fixture(false);
  CHECK(fixture.Ask(Renamed(), OwnerCallKind::kSubmit, kJob).status == OwnerStatus::kOk);
  CHECK(fixture.owner().scheduler()->job_table().active().size() == 1);
}

// Guards against jobs that can be read or cancelled through another queue, to which the operators
// gave the former name.
TEST_CASE("a job is neither known nor cancelled at another path with its queue's former name") {
  const bool ends = GENERATE(false, true);
  const bool replaced = GENERATE(false, true);
  RenamedQueueFixture fixture(ends);
  if (replaced) {
    fixture.ReplaceOwner();
  }
  CHECK(fixture.Ask(Elsewhere(), OwnerCallKind::kGetState, kJob).status == OwnerStatus::kNoSuchJob);
  CHECK(fixture.Ask(Elsewhere(), OwnerCallKind::kCancel, kJob).status == OwnerStatus::kNoSuchJob);
  CHECK(fixture.Ask(Elsewhere(), OwnerCallKind::kCountWaiting, kJob).waiting == 0);
  CHECK(fixture.owner().scheduler()->StateOf(kJob) ==
        (ends ? JobState::kCancelled : JobState::kQueued));
}

// Guards against work that goes on by former settings: they are those of the queue at the path.
TEST_CASE("the jobs of a renamed queue are run by its new settings") {
  RenamedQueueFixture fixture(false);
  QueueConfig changed = Renamed();
  changed.pool = "other";
  changed.max_attempts = 7;
  fixture.Configure(ConfigWith({changed, Elsewhere()}));
  fixture.Run(Duration(200));
  const auto check = [&] {
    const QueueConfig& used = fixture.owner().scheduler()->queues().Used(Former().id());
    CHECK(used.pool == "other");
    CHECK(used.max_attempts == 7);
  };
  check();
  fixture.Configure(ConfigWith({Elsewhere()}));
  fixture.ReplaceOwner();
  check();
}

namespace {

/// Records of an earlier version: they name the queue, and have no path.
struct EarlierVersionFixture : OwnerFixture {
  EarlierVersionFixture() : OwnerFixture(ConfigWith({Former()})) {
    JobSpec spec = *CallAt(Former(), OwnerCallKind::kSubmit, kJob).spec;
    spec.queue_path.clear();
    QueueRecord record;
    record.queue = QueueAt("r-settle", "", "");
    record.pools = {"pool", "former pool"};
    store().Put(JobKey(kJob), EncodeJob(spec));
    store().Put(QueueKey("r-settle"), EncodeQueue(record));
  }
};

}  // namespace

// Guards against jobs that are lost with the first daemon that knows paths.
TEST_CASE("the records of an earlier version belong to the path that has the queue's name") {
  EarlierVersionFixture fixture;
  fixture.ReplaceOwner();
  CHECK(fixture.owner().scheduler()->queues().HasRecord(Former().id()));
  CHECK(fixture.owner().scheduler()->queues().MayRunIn(Former().id(), "former pool"));
  OwnerCall by_name = CallAt(Former(), OwnerCallKind::kGetState, kJob);
  CHECK(fixture.Ask(by_name).status == OwnerStatus::kOk);
  by_name.queue_path.clear();  // As a daemon of an earlier version sends it.
  CHECK(fixture.Ask(by_name).status == OwnerStatus::kOk);
  CHECK(fixture.Ask(Former(), OwnerCallKind::kCancel, kJob).status == OwnerStatus::kOk);
}

// Guards against an entry in the store that nothing removes.
TEST_CASE("a queue's record of an earlier version is replaced by one under its path") {
  EarlierVersionFixture fixture;
  fixture.ReplaceOwner();
  QueueConfig changed = Former();
  changed.max_attempts = 7;
  fixture.Configure(ConfigWith({changed}));
  fixture.Run(Duration(200));
  CHECK(fixture.store().Value(QueueKey("r-settle")).empty());
  const auto record = DecodeQueue(fixture.store().Value(QueueKey(changed.id())));
  REQUIRE(record);
  CHECK(record->queue.max_attempts == 7);
  CHECK(record->pools.contains("former pool"));
}

// Guards against "no such job" for a job of which the path is not known.
TEST_CASE("a job of an earlier version is not denied after its queue got another name") {
  const OwnerCallKind kind = GENERATE(OwnerCallKind::kGetState, OwnerCallKind::kCancel);
  EarlierVersionFixture fixture;
  fixture.Configure(ConfigWith({Renamed()}));
  fixture.ReplaceOwner();
  CHECK(fixture.Ask(Renamed(), kind, kJob).status == OwnerStatus::kNotReady);
}

}  // namespace cranberryplank
