#include "cranberryplank/platform/http_vm_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

bool IsDown(const json& entry) {
  const json checks = entry.value("Checks", json::array());
  return std::any_of(checks.begin(), checks.end(), [](const json& check) {
    return check.value("CheckID", "") == "serfHealth" && check.value("Status", "") == "critical";
  });
}

bool IsLeaving(const json& service) {
  const auto tags = service.find("Tags");  // Consul gives an empty list as null.
  return tags != service.end() && tags->is_array() &&
         std::find(tags->begin(), tags->end(), "leaving") != tags->end();
}

/// Reads a whole list. @throws std::exception if any part of it is not valid
std::vector<VmListing> ReadList(std::string_view service, const std::string& body) {
  const json list = json::parse(body);
  if (!list.is_array()) {
    throw std::invalid_argument("the list is not an array");
  }
  std::map<std::string, bool> vms;
  for (const json& entry : list) {
    const json& instance = entry.at("Service");
    if (instance.at("Service") != service) {
      throw std::invalid_argument("the list is of another service");
    }
    const auto id = entry.at("Node").at("Node").get<std::string>();
    if (!IsDown(entry)) {
      bool& leaving = vms[id];
      leaving = leaving || IsLeaving(instance);
    }
  }
  std::vector<VmListing> listings;
  listings.reserve(vms.size());
  for (const auto& [id, leaving] : vms) {
    listings.push_back({id, leaving});
  }
  return listings;
}

}  // namespace

HttpVmDirectory::HttpVmDirectory(HttpClient* client, std::string host, std::uint16_t port,
                                 Duration timeout)
    : m_client(client), m_host(std::move(host)), m_port(port), m_timeout(timeout) {}

void HttpVmDirectory::List(std::string_view service, ListCallback done) {
  HttpRequest request;
  request.host = m_host;
  request.port = m_port;
  request.target = fmt::format("/v1/health/service/{}", EscapePath(service));
  request.timeout = m_timeout;
  m_client->Send(std::move(request), [service = std::string(service), done = std::move(done)](
                                         TimePoint now, const HttpReply& reply) {
    if (reply.outcome != HttpOutcome::kAnswered) {
      done(now, std::nullopt, reply.reason);
      return;
    }
    if (reply.status != 200) {
      done(now, std::nullopt, fmt::format("status {}", reply.status));
      return;
    }
    std::optional<std::vector<VmListing>> listings;
    std::string reason;
    try {
      listings = ReadList(service, reply.body);
    } catch (const std::exception& error) {
      reason = fmt::format("the VM list is not valid: {}", error.what());
    }
    done(now, listings, reason);
  });
}

}  // namespace cranberryplank
