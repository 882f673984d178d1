#ifndef CRANBERRYPLANK_DAEMON_ADMIN_READS_H_
#define CRANBERRYPLANK_DAEMON_ADMIN_READS_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "cranberryplank/daemon/admin_parts.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Returns the version of the active bundle, or 0 if there is none.
std::uint64_t BundleVersionOf(const Fleet& fleet);

/// Builds the response bodies of the admin API's read requests.
class AdminReads {
 public:
  /// @param parts must outlive this object
  AdminReads(const AdminParts& parts, TimePoint now) : m_parts(parts), m_now(now) {}

  nlohmann::json Status() const;
  nlohmann::json Teams() const;
  nlohmann::json Pools() const;

  /// Returns the VMs of `pool`, or all VMs if `pool` is empty.
  nlohmann::json Vms(std::string_view pool) const;

  nlohmann::json Bundle() const;
  nlohmann::json Rollout() const;
  nlohmann::json Maintenance() const;

 private:
  struct Load {
    int running = 0;
    int waiting = 0;
  };

  nlohmann::json Daemons() const;
  Load LoadOf(std::string_view pool, std::string_view team) const;

  const AdminParts& m_parts;
  TimePoint m_now;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_ADMIN_READS_H_
