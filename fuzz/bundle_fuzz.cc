#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "cranberryplank/bundle/bundle_application.h"
#include "cranberryplank/bundle/bundle_checker.h"
#include "cranberryplank/bundle/bundle_parser.h"

// Feeds arbitrary text to the bundle parser and parsed bundles to the checker. A bundle that the
// checker accepts must apply.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  cranberryplank::BundleParser parser;
  const auto bundle = parser.Parse({reinterpret_cast<const char*>(data), size});
  if (!bundle) {
    return 0;
  }
  cranberryplank::BundleChecker checker;
  const bool accepted = checker.Check(*bundle);
  cranberryplank::BundleApplication application;
  const auto fleet = application.Apply(*bundle, {});
  if (accepted && !fleet) {
    std::abort();
  }
  return 0;
}
