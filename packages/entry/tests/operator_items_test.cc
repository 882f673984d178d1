#include "cranberryplank/entry/operator_items.h"

#include <catch2/catch.hpp>

#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

/// Decodes the value of a configuration as its version.
class VersionFormat : public WaveFormat {
 public:
  bool IsConfigKey(std::string_view key) const override { return key == "op/config"; }
  std::optional<ClusterConfig> DecodeConfig(const KvItem& item) const override {
    ClusterConfig config;
    config.version = std::stoull(item.value);
    return config;
  }
};

struct OperatorItemsFixture {
  TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  VersionFormat format;
  OperatorItems items{&store, &format};

  OperatorItemsFixture() {
    store.Put("op/config", "2");
    items.Start(now);
    store.Deliver(now);
    REQUIRE(items.config_version() == 2);
  }
};

}  // namespace

// Guards against keys that the newest configuration no longer has, while the watch brings nothing:
// the daemon learned of the new version from another one, and did not read it.
TEST_CASE("a configuration that stays behind that of another daemon is read again") {
  OperatorItemsFixture fixture;
  fixture.store.Put("op/config", "3");
  fixture.items.RecordNewestVersion(fixture.now, 3);
  CHECK(fixture.items.ConfigAgeAt(fixture.now, Duration(5'000)).newer_exists);
  fixture.now += Duration(600);
  fixture.items.RecordNewestVersion(fixture.now, 3);
  fixture.store.Deliver(fixture.now);
  CHECK(fixture.items.config_version() == 3);
  CHECK_FALSE(fixture.items.ConfigAgeAt(fixture.now, Duration(5'000)).newer_exists);
}

// Guards against an old configuration that comes back with a late reply of the store.
TEST_CASE("an older configuration never replaces a newer one") {
  OperatorItemsFixture fixture;
  fixture.store.Put("op/config", "1");
  fixture.items.RecordNewestVersion(fixture.now, 3);
  fixture.now += Duration(600);
  fixture.items.RecordNewestVersion(fixture.now, 3);
  fixture.store.Deliver(fixture.now);
  CHECK(fixture.items.config_version() == 2);
}

}  // namespace cranberryplank
