#ifndef CRANBERRYPLANK_DAEMON_DAEMON_H_
#define CRANBERRYPLANK_DAEMON_DAEMON_H_

#include <memory>
#include <string>

#include "cranberryplank/daemon/settings.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// The `cranberryplankd` daemon. Owns all its components, which run on one event loop.
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Listens and serves until a planned shutdown has finished.
  /// @return false, with `last_reason()` set, if the daemon could not start or was removed from the
  ///   head
  bool Run();

  const std::string& last_reason() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_DAEMON_H_
