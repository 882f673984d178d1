#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/head.h"

// Feeds arbitrary store values to the decoders of the head and its parts.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  std::string reason;
  if (const auto head = cranberryplank::DecodeHead(text, &reason)) {
    cranberryplank::EncodeHead(*head);
  }
  cranberryplank::Fleet fleet;
  for (const std::string_view part : {"teams", "keys", "pools", "queues", "vms/00"}) {
    cranberryplank::DecodePart(part, text, &fleet, &reason);
  }
  return 0;
}
