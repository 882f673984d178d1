#include "cranberryplank/support/fake_vm_list.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/health/service/";

json EncodeVm(const std::string& service, const VmListing& vm) {
  return json{{"Node", {{"Node", vm.id}, {"Address", "127.0.0.1"}}},
              {"Service",
               {{"ID", service},
                {"Service", service},
                {"Tags", vm.leaving ? json::array({"leaving"}) : json()}}},
              {"Checks", json::array({{{"CheckID", "serfHealth"}, {"Status", "passing"}}})}};
}

}  // namespace

ServerReply FakeVmList::Refusal(const HttpExchange&) const { return {503, "refused\n", {}}; }

bool FakeVmList::ApplyFault(const Fault& fault) {
  if (fault.name == "stale") {
    m_table.SetStale(true);
    return true;
  }
  if (fault.name == "nearly_empty") {
    m_table.SetNearlyEmpty(true);
    return true;
  }
  return false;
}

void FakeVmList::ClearFaults() {
  m_table.SetStale(false);
  m_table.SetNearlyEmpty(false);
}

void FakeVmList::Handle(const Exchange& exchange) {
  if (exchange->method() != "GET" || !exchange->path().starts_with(kPrefix)) {
    Answer(exchange, {404, "unknown path\n", {}});
    return;
  }
  const std::string service = exchange->path().substr(kPrefix.size());
  const std::string index = exchange->Query("index");
  if (index.empty() || index != std::to_string(m_table.index())) {
    Answer(exchange, ToReply(exchange, service));
    return;
  }
  const auto answer = [this, exchange, service] { Answer(exchange, ToReply(exchange, service)); };
  const std::uint64_t id = m_table.Watch(answer);
  int milliseconds = 0;
  const std::string wait = exchange->Query("wait");  // cranberryplank always sends milliseconds.
  std::from_chars(wait.data(), wait.data() + wait.size(), milliseconds);
  scheduler().Schedule(scheduler().Now() + Duration(milliseconds), [this, id, answer](TimePoint) {
    if (m_table.Unwatch(id)) {
      answer();
    }
  });
}

ServerReply FakeVmList::ToReply(const Exchange& exchange, const std::string& service) const {
  json list = json::array();
  if (!exchange->HasQuery("filter")) {
    for (const VmListing& vm : m_table.List(service)) {
      list.push_back(EncodeVm(service, vm));
    }
  }
  return {
      200,
      list.dump(),
      {{"Content-Type", "application/json"}, {"X-Consul-Index", std::to_string(m_table.index())}}};
}

bool FakeVmList::HandleControl(const Exchange& exchange) {
  if (exchange->path() != "/vms" || exchange->method() != "POST") {
    return false;
  }
  const std::string reason = Edit(exchange->body());
  exchange->Reply({reason.empty() ? 200 : 400, (reason.empty() ? "ok" : reason) + "\n", {}});
  return true;
}

std::string FakeVmList::Edit(const std::string& body) {
  try {
    const json value = json::parse(body);
    const auto service = value.at("service").get<std::string>();
    const auto id = value.at("id").get<std::string>();
    const auto action = value.at("action").get<std::string>();
    if (action == "add" || action == "restore") {
      m_table.Add(service, id);
      return "";
    }
    if (action == "leaving" || action == "staying") {
      return m_table.SetLeaving(service, id, action == "leaving") ? "" : "the VM is not listed";
    }
    if (action == "remove") {
      return m_table.Remove(service, id) ? "" : "the VM is not listed";
    }
    return "unknown action";
  } catch (const json::exception& error) {
    return error.what();
  }
}

}  // namespace cranberryplank
