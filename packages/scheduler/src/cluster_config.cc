#include "cranberryplank/scheduler/cluster_config.h"

#include <algorithm>

namespace cranberryplank {

const QueueConfig* ClusterConfig::FindQueue(std::string_view name) const {
  const auto it = std::find_if(queues.begin(), queues.end(),
                               [&](const QueueConfig& queue) { return queue.name == name; });
  return it == queues.end() ? nullptr : &*it;
}

const QueueConfig* ClusterConfig::Route(std::string_view host, std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues) {
    if (queue.host == host && path.starts_with(queue.path_prefix) &&
        (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const CustomerConfig* ClusterConfig::FindCustomer(std::string_view name) const {
  const auto it =
      std::find_if(customers.begin(), customers.end(),
                   [&](const CustomerConfig& customer) { return customer.name == name; });
  return it == customers.end() ? nullptr : &*it;
}

const CustomerConfig* ClusterConfig::CustomerOfKey(std::string_view key) const {
  for (const CustomerConfig& customer : customers) {
    if (std::find(customer.keys.begin(), customer.keys.end(), key) != customer.keys.end()) {
      return &customer;
    }
  }
  return nullptr;
}

bool ClusterConfig::IsStandby(std::string_view pool) const {
  const auto it = pools.find(pool);
  return it != pools.end() && it->second.standby;
}

}  // namespace cranberryplank
