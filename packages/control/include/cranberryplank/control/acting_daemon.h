#ifndef CRANBERRYPLANK_CONTROL_ACTING_DAEMON_H_
#define CRANBERRYPLANK_CONTROL_ACTING_DAEMON_H_

#include <cstdint>
#include <string_view>

#include "cranberryplank/model/head.h"

namespace cranberryplank {

/// Returns a hash that is the same in every process and release.
std::uint32_t StableHash(std::string_view text);

/// Returns the registered daemon that is responsible for work on `subject`, or nullptr if none is
/// registered. Daemons with the same head select the same one; with different heads two may act, so
/// every step must be safe under a race.
const DaemonRecord* ActingDaemon(const Head& head, std::string_view subject);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_ACTING_DAEMON_H_
