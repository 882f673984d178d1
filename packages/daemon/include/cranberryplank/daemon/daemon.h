#ifndef CRANBERRYPLANK_DAEMON_DAEMON_H_
#define CRANBERRYPLANK_DAEMON_DAEMON_H_

#include <memory>
#include <string>

#include "cranberryplank/daemon/settings.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// One `cranberryplankd` process: all its objects on one event loop.
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Listens and serves until a planned stop has ended.
  /// @return false, with `last_reason()` set, if it could not start or had to give up
  bool Run();

  const std::string& last_reason() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_DAEMON_H_
