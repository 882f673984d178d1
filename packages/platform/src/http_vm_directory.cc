#include "cranberryplank/platform/http_vm_directory.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

/// `Node.Node == "-"`, percent-encoded.
constexpr std::string_view kNoNodeFilter = "Node.Node%20%3D%3D%20%22-%22";

/// Consul adds a jitter of up to 1/16 of the wait to a blocking query.
constexpr int kWaitJitterDivisor = 16;

/// Returns the reason why the reply cannot be used, or an empty string if it can.
std::string FailureReason(const HttpReply& reply) {
  if (reply.outcome != HttpOutcome::kAnswered) {
    return reply.reason;
  }
  return reply.status == 200 ? "" : fmt::format("status {}", reply.status);
}

/// Returns the reply's index. Consul requires clients to treat index 0 as 1.
std::optional<std::uint64_t> ReadIndex(const HttpReply& reply) {
  const std::string_view text = reply.Header("X-Consul-Index");
  std::uint64_t index = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return std::max<std::uint64_t>(index, 1);
}

bool IsDown(const json& entry) {
  const json checks = entry.value("Checks", json::array());
  return std::any_of(checks.begin(), checks.end(), [](const json& check) {
    return check.value("CheckID", "") == "serfHealth" && check.value("Status", "") == "critical";
  });
}

bool IsLeaving(const json& service) {
  const auto tags = service.find("Tags");  // Consul encodes an empty list as null.
  return tags != service.end() && tags->is_array() &&
         std::find(tags->begin(), tags->end(), "leaving") != tags->end();
}

/// Parses a complete list. @throws std::exception if any part of it is not valid
std::vector<VmListing> ReadList(std::string_view service, const std::string& body) {
  const json list = json::parse(body);
  if (!list.is_array()) {
    throw std::invalid_argument("the list is not an array");
  }
  std::map<std::string, bool> vms;
  for (const json& entry : list) {
    const json& instance = entry.at("Service");
    if (instance.at("Service") != service) {
      throw std::invalid_argument("an entry belongs to another service");
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

void HttpVmDirectory::Get(std::string_view service, std::string_view query, Duration timeout,
                          std::function<void(TimePoint now, const HttpReply& reply)> done) {
  HttpRequest request;
  request.host = m_host;
  request.port = m_port;
  request.target = fmt::format("/v1/health/service/{}{}", EscapePath(service), query);
  request.timeout = timeout;
  m_client->Send(std::move(request), std::move(done));
}

void HttpVmDirectory::List(std::string_view service, ListCallback done) {
  Get(service, "", m_timeout,
      [service = std::string(service), done = std::move(done)](TimePoint now,
                                                               const HttpReply& reply) {
        std::string reason = FailureReason(reply);
        std::optional<VmList> list;
        if (reason.empty()) {
          try {
            list = VmList{ReadList(service, reply.body), ReadIndex(reply).value_or(0)};
          } catch (const std::exception& error) {
            reason = fmt::format("the VM list is not valid: {}", error.what());
          }
        }
        done(now, list, reason);
      });
}

void HttpVmDirectory::WatchIndex(std::string_view service, std::uint64_t index, Duration wait,
                                 IndexCallback done) {
  std::string query = fmt::format("?filter={}", kNoNodeFilter);
  if (index > 0) {
    query += fmt::format("&index={}&wait={}ms", index, wait.count());
  }
  Get(service, query, m_timeout + wait + wait / kWaitJitterDivisor,
      [done = std::move(done)](TimePoint now, const HttpReply& reply) {
        std::string reason = FailureReason(reply);
        std::optional<std::uint64_t> current;
        if (reason.empty()) {
          current = ReadIndex(reply);
          reason = current ? "" : "the reply has no index";
        }
        done(now, current, reason);
      });
}

}  // namespace cranberryplank
