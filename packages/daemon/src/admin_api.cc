#include "cranberryplank/daemon/admin_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/bundle/bundle_checker.h"
#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/daemon/admin_edits.h"
#include "cranberryplank/daemon/admin_reads.h"
#include "cranberryplank/daemon/caller_api.h"
#include "cranberryplank/model/digest.h"
#include "cranberryplank/model/log.h"
#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/admin/";
constexpr std::string_view kBundlePath = "/v1/admin/bundle";
constexpr std::string_view kNonceHeader = "change-nonce";
constexpr std::size_t kNonceLength = 32;
constexpr std::size_t kDigestLength = 64;
constexpr std::int64_t kMaxWaitMs = 10'000;

/// Time after which a key withdrawal is reported as not yet recorded.
constexpr Duration kWithdrawalReplyTimeout{1'500};

/// Time after which a change with an unknown outcome is answered. Less than the command-line
/// client's timeout of 15 s and more than the 6 s that a store call without an answer takes.
constexpr Duration kChangeReplyTimeout{10'000};

ApiResponse Json(int status, const json& body) {
  ApiResponse response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

ApiResponse Error(int status, std::string_view reason) {
  return Json(status, json{{"reason", reason}, {"processed", status == 502 || status == 504}});
}

json RevisionBody(std::uint64_t revision, const EffectStatus& status) {
  return {{"revision", revision}, {"in_effect", status.in_effect}, {"pending", status.pending}};
}

bool IsHex(std::string_view text, std::size_t length) {
  return text.size() == length &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

/// Parses the body as a JSON object. Otherwise replies with 400 and returns nothing.
std::optional<json> ParseBody(const std::shared_ptr<ApiExchange>& exchange) {
  json body = json::parse(exchange->request().body, nullptr, false);
  if (!body.is_object()) {
    exchange->Reply(Error(400, "the body is not a JSON object"));
    return std::nullopt;
  }
  return body;
}

template <typename T>
bool GetField(const json& body, const char* key, T* value) {
  try {
    body.at(key).get_to(*value);
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

std::optional<Vm> ParseVm(const json& body, std::string* last_reason) {
  Vm vm;
  int port = 0;
  const bool complete = GetField(body, "id", &vm.id) && GetField(body, "host", &vm.host) &&
                        GetField(body, "port", &port) && GetField(body, "zone", &vm.zone) &&
                        GetField(body, "rack", &vm.rack) && GetField(body, "pool", &vm.pool) &&
                        GetField(body, "slots", &vm.slots) && GetField(body, "cores", &vm.cores) &&
                        GetField(body, "memory_gb", &vm.memory_gb) &&
                        GetField(body, "accelerators", &vm.accelerators);
  if (!complete || !IsValidName(vm.id) || !IsValidName(vm.zone) || !IsValidName(vm.rack) ||
      !IsValidName(vm.pool) || port < 1 || port > UINT16_MAX || vm.host.empty()) {
    *last_reason = "a field of the VM is missing or not valid";
    return std::nullopt;
  }
  vm.port = static_cast<std::uint16_t>(port);
  return vm;
}

/// Returns the identity of a change, derived from its nonce and content.
ChangeIdentity IdentityOf(const ApiRequest& request) {
  constexpr std::string_view kKeyPath = "/v1/admin/keys/";
  const std::string nonce = LowerCase(request.Header(kNonceHeader));
  if (request.method == "DELETE" && request.path.starts_with(kKeyPath)) {
    return WithdrawalIdentity(nonce, LowerCase(request.path.substr(kKeyPath.size())));
  }
  const std::string content = fmt::format("{} {}\n{}", request.method, request.path, request.body);
  return ChangeIdentity{nonce, Sha256(content).hex};
}

}  // namespace

bool AdminApi::Handle(TimePoint now, const Exchange& exchange) {
  const ApiRequest& request = exchange->request();
  if (!request.path.starts_with(kPrefix)) {
    return false;
  }
  if (!Authorized(request)) {
    LogLine(LogLevel::kWarning, "admin_refused").Field("path", request.path);
    exchange->Reply(Error(401, "operator token missing or wrong"));
    return true;
  }
  const std::string path = request.path.substr(kPrefix.size());
  if (request.method == "GET") {
    Read(now, exchange, path);
  } else if (!IsHex(request.Header(kNonceHeader), kNonceLength)) {
    exchange->Reply(Error(400, "Change-Nonce must be 32 hexadecimal digits"));
  } else if (NonceOfAnotherChange(IdentityOf(request))) {
    exchange->Reply(Error(422, kNonceOfAnotherChange));
  } else {
    m_unanswered_changes.push_back(UnansweredChange{exchange, now + kChangeReplyTimeout});
    Change(now, exchange, path);
  }
  return true;
}

bool AdminApi::Authorized(const ApiRequest& request) const {
  const Digest digest{KeyDigestOf(request)};
  const auto& tokens = m_parts.settings->operator_token_sha256;
  return std::any_of(tokens.begin(), tokens.end(), [&](const std::string& token) {
    return EqualConstantTime(digest, Digest{token});
  });
}

void AdminApi::Read(TimePoint now, const Exchange& exchange, std::string_view path) {
  constexpr std::string_view kRevisions = "revisions/";
  if (path.starts_with(kRevisions)) {
    ReadRevision(now, exchange, path.substr(kRevisions.size()));
    return;
  }
  const AdminReads reads(m_parts, now);
  const auto pool = exchange->request().query.find("pool");
  const bool filtered = pool != exchange->request().query.end();
  if (path == "status") {
    exchange->Reply(Json(200, reads.Status()));
  } else if (path == "teams") {
    exchange->Reply(Json(200, reads.Teams()));
  } else if (path == "pools") {
    exchange->Reply(Json(200, reads.Pools()));
  } else if (path == "vms") {
    exchange->Reply(Json(200, reads.Vms(filtered ? pool->second : "")));
  } else if (path == "bundle") {
    exchange->Reply(Json(200, reads.Bundle()));
  } else if (path == "rollout") {
    exchange->Reply(Json(200, reads.Rollout()));
  } else if (path == "maintenance") {
    exchange->Reply(Json(200, reads.Maintenance()));
  } else {
    exchange->Reply(Error(404, "no such path"));
  }
}

void AdminApi::ReadRevision(TimePoint now, const Exchange& exchange, std::string_view number) {
  const auto revision = ParseNumber<std::uint64_t>(number);
  if (!revision || *revision > m_parts.head->head().revision) {
    exchange->Reply(Error(404, "no such revision"));
    return;
  }
  const auto parameter = exchange->request().query.find("wait_ms");
  std::uint64_t wait = 0;
  if (parameter != exchange->request().query.end()) {
    const auto parsed = ParseNumber<std::uint64_t>(parameter->second);
    if (!parsed || *parsed > kMaxWaitMs) {
      exchange->Reply(Error(400, "wait_ms must be from 0 to 10000"));
      return;
    }
    wait = *parsed;
  }
  m_delayed_replies.push_back(DelayedReply{exchange, *revision, now + Duration(wait), "", {}});
  Tick(now);
}

void AdminApi::Change(TimePoint now, const Exchange& exchange, std::string_view path) {
  const std::size_t slash = path.find('/');
  const std::string kind(path.substr(0, slash));
  const std::string rest(slash == std::string_view::npos ? "" : path.substr(slash + 1));
  const std::size_t verb = rest.find('/');
  const std::string name = rest.substr(0, verb);
  const std::string action = verb == std::string::npos ? "" : rest.substr(verb);
  const std::string route = fmt::format("{} {}{}{}", exchange->request().method, kind,
                                        name.empty() ? "" : "/NAME", action);
  if (route == "POST bundle") {
    SubmitBundle(now, exchange);
  } else if (route == "POST keys") {
    GrantKey(now, exchange);
  } else if (route == "DELETE keys/NAME") {
    WithdrawKey(now, exchange, name);
  } else if (route == "PUT teams/NAME") {
    SetTeam(now, exchange, name);
  } else if (route == "POST vms") {
    AddVm(now, exchange);
  } else if (route == "DELETE vms/NAME") {
    RemoveVm(now, exchange, name);
  } else if (route == "POST vms/NAME/drain") {
    DrainVm(now, exchange, name);
  } else if (route == "POST vms/NAME/move") {
    MoveVm(now, exchange, name);
  } else if (route == "DELETE vms/NAME/move") {
    CancelMove(now, exchange, name);
  } else if (route == "POST maintenance/NAME") {
    StartWave(now, exchange, name);
  } else if (route == "DELETE maintenance/NAME") {
    StopWave(now, exchange, name);
  } else {
    exchange->Reply(Error(404, "no such path"));
  }
}

bool AdminApi::NonceOfAnotherChange(const ChangeIdentity& identity) const {
  const Fleet& fleet = m_parts.head->fleet();
  const auto recorded = FindRecorded(fleet, identity);
  if (recorded && recorded->outcome != ChangeOutcome::kRecorded) {
    return true;
  }
  return std::any_of(fleet.pools.begin(), fleet.pools.end(), [&](const auto& item) {
    const auto wave = m_parts.maintenance->Status(item.first);
    const WaveChange* change = wave ? wave->FindChange(identity.nonce) : nullptr;
    return change != nullptr && change->identity != identity;
  });
}

void AdminApi::Submit(TimePoint now, const Exchange& exchange, std::string_view description,
                      HeadControl::FleetEdit edit) {
  SubmitRecorded(now, m_parts.head, description, IdentityOf(exchange->request()), std::move(edit),
                 ChangeReply(exchange, description));
}

HeadControl::ChangeCallback AdminApi::ChangeReply(const Exchange& exchange,
                                                  std::string_view description) const {
  LogLine(LogLevel::kInfo, "change_submitted")
      .Field("change", description)
      .Field("nonce", exchange->request().Header(kNonceHeader));
  return [this, exchange, change = std::string(description)](TimePoint now,
                                                             const ChangeResult& result) {
    LogLine(LogLevel::kInfo, "change_answered")
        .Field("change", change)
        .Field("recorded", result.outcome == ChangeOutcome::kRecorded)
        .Field("revision", result.revision)
        .Field("reason", result.reason);
    ReplyChange(now, exchange, result);
  };
}

void AdminApi::ReplyRecorded(TimePoint now, const Exchange& exchange,
                             std::uint64_t revision) const {
  const ApiRequest& request = exchange->request();
  const EffectStatus status = request.path == kBundlePath
                                  ? m_parts.rollout->StatusOf(Sha256(request.body), now)
                                  : m_parts.head->StatusOf(revision, now);
  exchange->Reply(Json(202, RevisionBody(revision, status)));
}

void AdminApi::ReplyChange(TimePoint now, const Exchange& exchange,
                           const ChangeResult& result) const {
  switch (result.outcome) {
    case ChangeOutcome::kRecorded:
      ReplyRecorded(now, exchange, result.revision);
      break;
    case ChangeOutcome::kRejected:
      exchange->Reply(Error(422, result.reason));
      break;
    case ChangeOutcome::kConflict:
      exchange->Reply(Json(
          409,
          json{{"reason", result.reason}, {"processed", false}, {"revision", result.revision}}));
      break;
    case ChangeOutcome::kUnavailable:
      exchange->Reply(Error(503, result.reason));
      break;
    case ChangeOutcome::kUnknown:
      exchange->Reply(Error(502, result.reason));
      break;
  }
}

void AdminApi::SubmitBundle(TimePoint now, const Exchange& exchange) {
  BundleParser parser;
  const auto bundle = parser.Parse(exchange->request().body);
  if (!bundle) {
    exchange->Reply(Error(422, parser.last_reason()));
    return;
  }
  m_parts.rollout->Prepare(now, *bundle, [=, this](TimePoint at, const PreparedBundle& prepared) {
    if (prepared.unavailable.empty()) {
      Submit(at, exchange, prepared.description, prepared.edit);
    } else {
      exchange->Reply(Error(503, prepared.unavailable));
    }
  });
}

void AdminApi::GrantKey(TimePoint now, const Exchange& exchange) {
  const auto body = ParseBody(exchange);
  if (!body) {
    return;
  }
  KeyGrant grant;
  if (!GetField(*body, "digest", &grant.digest.hex) || !GetField(*body, "team", &grant.team) ||
      !IsHex(grant.digest.hex, kDigestLength)) {
    exchange->Reply(Error(400, "expected digest (64 hexadecimal digits) and team"));
    return;
  }
  grant.digest.hex = LowerCase(grant.digest.hex);
  Submit(now, exchange, fmt::format("grant a key to team {}", grant.team), GrantKeyEdit(grant));
}

void AdminApi::WithdrawKey(TimePoint now, const Exchange& exchange, const std::string& name) {
  const std::string digest = LowerCase(name);
  if (!IsHex(digest, kDigestLength)) {
    exchange->Reply(Error(400, "the digest must be 64 hexadecimal digits"));
    return;
  }
  const ChangeIdentity identity = IdentityOf(exchange->request());
  if (const auto recorded = FindRecorded(m_parts.head->fleet(), identity)) {
    ReplyChange(now, exchange, *recorded);
    return;
  }
  const bool known = m_parts.head->fleet().keys.contains(digest) ||
                     m_parts.head->DenialOf(Digest{digest}).has_value();
  if (!known) {
    exchange->Reply(Error(404, "no such key"));
    return;
  }
  LogLine(LogLevel::kInfo, "key_withdrawn").Field("digest", digest);
  m_parts.head->DenyKey(now, Digest{digest}, identity.nonce);
  m_delayed_replies.push_back(
      DelayedReply{exchange, 0, now + kWithdrawalReplyTimeout, digest, identity});
  Tick(now);
}

void AdminApi::SetTeam(TimePoint now, const Exchange& exchange, const std::string& name) {
  const auto body = ParseBody(exchange);
  if (!body) {
    return;
  }
  Team team;
  team.name = name;
  if (!IsValidName(name) || !GetField(*body, "share_weight", &team.contract.share_weight) ||
      !GetField(*body, "upper_limit", &team.contract.upper_limit)) {
    exchange->Reply(Error(400, "expected a valid name, share_weight and upper_limit"));
    return;
  }
  if (!std::isfinite(team.contract.share_weight) || team.contract.share_weight <= 0 ||
      team.contract.upper_limit < 1) {
    exchange->Reply(Error(422, "share_weight must be above 0 and upper_limit at least 1"));
    return;
  }
  Submit(now, exchange, fmt::format("set team {}", name), SetTeamEdit(team));
}

void AdminApi::AddVm(TimePoint now, const Exchange& exchange) {
  const auto body = ParseBody(exchange);
  if (!body) {
    return;
  }
  std::string reason;
  const auto vm = ParseVm(*body, &reason);
  if (!vm) {
    exchange->Reply(Error(400, reason));
    return;
  }
  Submit(now, exchange, fmt::format("add VM {}", vm->id), AddVmEdit(*vm));
}

void AdminApi::RemoveVm(TimePoint now, const Exchange& exchange, const std::string& id) {
  Submit(now, exchange, fmt::format("remove VM {}", id),
         RemoveVmEdit(id, [this, id] { return m_parts.vm_list->IsMissing(id); }));
}

void AdminApi::DrainVm(TimePoint now, const Exchange& exchange, const std::string& id) {
  m_parts.mover->Start(now, id, "", ChangeReply(exchange, fmt::format("drain VM {}", id)),
                       IdentityOf(exchange->request()));
}

void AdminApi::MoveVm(TimePoint now, const Exchange& exchange, const std::string& id) {
  const auto body = ParseBody(exchange);
  if (!body) {
    return;
  }
  std::string pool;
  if (!GetField(*body, "pool", &pool) || pool.empty()) {
    exchange->Reply(Error(400, "expected pool"));
    return;
  }
  m_parts.mover->Start(now, id, pool,
                       ChangeReply(exchange, fmt::format("move VM {} to pool {}", id, pool)),
                       IdentityOf(exchange->request()));
}

void AdminApi::CancelMove(TimePoint now, const Exchange& exchange, const std::string& id) {
  m_parts.mover->Cancel(now, id, ChangeReply(exchange, fmt::format("cancel the move of VM {}", id)),
                        IdentityOf(exchange->request()));
}

void AdminApi::StartWave(TimePoint now, const Exchange& exchange, const std::string& pool) {
  std::vector<std::string> vms;
  if (!exchange->request().body.empty()) {
    const auto body = ParseBody(exchange);
    if (!body) {
      return;
    }
    if (body->contains("vms") && !GetField(*body, "vms", &vms)) {
      exchange->Reply(Error(400, "vms must be a list of VM ids"));
      return;
    }
  }
  m_parts.maintenance->Start(now, pool, vms, WaveReply(exchange), IdentityOf(exchange->request()));
}

void AdminApi::StopWave(TimePoint now, const Exchange& exchange, const std::string& pool) {
  m_parts.maintenance->Stop(now, pool, WaveReply(exchange), IdentityOf(exchange->request()));
}

MaintenanceCoordinator::ResultCallback AdminApi::WaveReply(const Exchange& exchange) const {
  return [this, exchange](TimePoint /*now*/, const WaveResult& result) {
    if (!result.accepted) {
      exchange->Reply(Error(result.unavailable ? 503 : 422, result.reason));
      return;
    }
    exchange->Reply(Json(202, json{{"revision", m_parts.head->head().revision},
                                   {"in_effect", true},
                                   {"pending", json::array()},
                                   {"wave", result.wave}}));
  };
}

void AdminApi::Tick(TimePoint now) {
  std::vector<DelayedReply> waiting;
  waiting.swap(m_delayed_replies);
  for (DelayedReply& delayed : waiting) {
    if (!TryReply(now, delayed)) {
      m_delayed_replies.push_back(std::move(delayed));
    }
  }
  ReplyToTimedOutChanges(now);
}

void AdminApi::ReplyToTimedOutChanges(TimePoint now) {
  std::erase_if(m_unanswered_changes, [&](const UnansweredChange& open) {
    const auto exchange = open.exchange.lock();
    if (exchange && now < open.deadline) {
      return false;
    }
    if (exchange) {
      LogLine(LogLevel::kWarning, "change_unsettled").Field("path", exchange->request().path);
      exchange->Reply(Error(504, "not settled yet; repeat with the same nonce"));
    }
    return true;
  });
}

bool AdminApi::TryReply(TimePoint now, const DelayedReply& delayed) {
  if (delayed.denied_key.empty()) {
    const EffectStatus status = m_parts.head->StatusOf(delayed.revision, now);
    if (!status.in_effect && now < delayed.deadline) {
      return false;
    }
    delayed.exchange->Reply(Json(200, RevisionBody(delayed.revision, status)));
    return true;
  }
  if (const auto recorded = FindRecorded(m_parts.head->fleet(), delayed.identity)) {
    ReplyChange(now, delayed.exchange, *recorded);
    return true;
  }
  const auto denial = m_parts.head->DenialOf(Digest{delayed.denied_key});
  if (!denial || denial->revision) {
    ReplyRecorded(now, delayed.exchange,
                  denial ? *denial->revision : m_parts.head->head().revision);
    return true;
  }
  if (now < delayed.deadline) {
    return false;
  }
  delayed.exchange->Reply(Json(202, json{{"revision", 0},
                                         {"in_effect", false},
                                         {"pending", json::array()},
                                         {"refused_on", denial->refused_on},
                                         {"daemons", denial->registered},
                                         {"recorded", false}}));
  return true;
}

}  // namespace cranberryplank
