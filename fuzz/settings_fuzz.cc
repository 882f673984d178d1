#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cranberryplank/daemon/settings.h"

// Feeds arbitrary text to the daemon's settings reader.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  cranberryplank::SettingsReader reader;
  reader.ReadText(std::string_view(reinterpret_cast<const char*>(data), size), "fuzz.toml");
  return 0;
}
