/** @file admin.cc The operators' HTTP interface, `/admin/v1/...`. */
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "contract/intent_func.h"
#include "core/error_type.h"
#include "core/task_func.h"
#include "entry/admin_base.h"
#include "entry/admin_view_func.h"

namespace sapphire::entry {

using core::ErrorCode;
using core::LogCategory;
using core::LogLevel;

namespace {

constexpr std::string_view kPrefix = "/admin/v1/";
constexpr std::string_view kJson = "application/json";
constexpr std::string_view kToml = "application/toml";

/** @return The segments of the path after the prefix. */
std::vector<std::string> PathSegments(std::string_view target) {
  std::string_view rest = http::PathOf(target).substr(kPrefix.size());
  std::vector<std::string> segments;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('/'), rest.size());
    segments.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return segments;
}

bool IsToml(const http::Request& request) {
  const auto type = http::FindHeader(request.headers, "Content-Type");
  return type && type->find("toml") != std::string_view::npos;
}

contract::Intent IntentFrom(const http::Request& request) {
  if (!IsToml(request)) return contract::ParseIntentJson(request.body.text());
  const std::string file =
      http::QueryValue(request.target, "file").value_or("intent.toml");
  return contract::ParseIntentToml(request.body.text(), file);
}

[[noreturn]] void UnknownPath(const http::Request& request) {
  throw core::Error(
      ErrorCode::kUnknownPath,
      fmt::format("{} {}", request.method, http::PathOf(request.target)));
}

bool IsGet(const http::Request& request, const std::vector<std::string>& path,
           std::string_view name) {
  return request.method == "GET" && path.size() == 1 && path[0] == name;
}

bool IsBehind(const VmVersion& vm, std::int64_t version) {
  return !vm.linked || vm.version < version;
}

gen::Message DrainMessage() {
  gen::Message message;
  message.__set_drain(gen::Drain());
  return message;
}

/** @return A pull with the highest possible version, so that the peer sends no
 * configuration. */
gen::Message EmptyPullMessage() {
  gen::ConfigPull pull;
  pull.have_version = std::numeric_limits<std::int64_t>::max();
  gen::Message message;
  message.__set_config_pull(pull);
  return message;
}

core::Task<> OpenAndDrop(link::LinkNode& links, std::string address,
                         gen::Message first) {
  co_await links.Open(address, std::move(first));
}

}  // namespace

Admin::Admin(AdminOptions options, contract::ConfigHolder& config,
             ConfigStore& store, Directory& directory, link::LinkNode& links,
             const core::Clock& clock, const core::Logger& log)
    : options_(std::move(options)),
      config_(config),
      store_(store),
      directory_(directory),
      links_(links),
      clock_(clock),
      log_(log) {}

bool Admin::IsAdminPath(std::string_view target) {
  return target.starts_with(kPrefix);
}

core::Task<> Admin::Handle(const http::Request& request,
                           http::ResponseWriter& writer) {
  if (!IsAdminPath(request.target)) UnknownPath(request);
  const std::vector<std::string> path = PathSegments(request.target);
  const std::shared_ptr<const contract::Config> config = config_.Current();
  std::string body;
  std::string_view type = kJson;
  if (!path.empty() && path[0] == "plans") {
    body = co_await HandlePlans(request, path);
  } else if (IsGet(request, path, "config")) {
    const bool toml = http::QueryValue(request.target, "format") == "toml";
    if (toml && config) type = kToml;
    body = toml && config ? contract::ToToml(config->intent)
                          : ConfigJson(config.get());
  } else if (IsGet(request, path, "status")) {
    body = StatusJson(config_.version(), Versions(), directory_.Endpoints());
  } else if (IsGet(request, path, "endpoints")) {
    body = EndpointsJson(directory_.Endpoints(), clock_.Now());
  } else if (IsGet(request, path, "models")) {
    body = ModelsJson(config.get(), directory_.Endpoints());
  } else if (request.method == "POST" && path.size() == 3 &&
             path[0] == "endpoints" && path[2] == "drain") {
    body = co_await DrainEndpoint(core::EndpointId(path[1]));
  } else {
    UnknownPath(request);
  }
  co_await writer.Send(http::MakeResponse(200, type, std::move(body)));
}

core::Task<std::string> Admin::HandlePlans(const http::Request& request,
                                           std::vector<std::string> path) {
  const bool post = request.method == "POST";
  if (post && path.size() == 1) {
    co_return co_await MakePlan(request);
  }
  if (request.method == "GET" && path.size() == 2) {
    co_return co_await ShowPlan(core::PlanId(path[1]));
  }
  if (post && path.size() == 3 && path[2] == "confirm") {
    co_return co_await ConfirmPlan(core::PlanId(path[1]));
  }
  UnknownPath(request);
}

core::Task<std::string> Admin::MakePlan(const http::Request& request) {
  const contract::Plan plan =
      co_await store_.SavePlan(IntentFrom(request), ObservedReplicas());
  co_return PlanJson(plan);
}

core::Task<std::string> Admin::ShowPlan(core::PlanId id) {
  co_return SavedPlanJson(co_await store_.ReadPlan(id, ObservedReplicas()));
}

core::Task<std::string> Admin::ConfirmPlan(core::PlanId id) {
  const std::int64_t version = co_await store_.Confirm(id);
  const std::vector<VmVersion> not_yet = co_await WaitUntilInForce(version);
  log_.Event(not_yet.empty() ? LogLevel::kInfo : LogLevel::kWarning,
             LogCategory::kAdmin, "config_in_force",
             {{"plan", id}, {"version", version}, {"not_yet", not_yet.size()}});
  co_return ConfirmJson(id, version, not_yet);
}

// Guards against reporting that an entry of a large fleet lacks the version
// only because there is no link to it. A link carries the versions of both
// sides from its first frame on. The call that opens the link requests no data
// and is dropped immediately.
void Admin::LinkToOtherEntries(const core::Executor& executor) {
  std::set<core::VmId> linked = {options_.self};
  for (const link::PeerInfo& peer : links_.Peers()) linked.insert(peer.vm);
  for (const KnownEntry& entry : directory_.Entries()) {
    if (linked.contains(entry.vm)) continue;
    core::Spawn(
        executor, log_, "link_to_entry",
        [&links = links_, address = entry.address, pull = EmptyPullMessage()] {
          return OpenAndDrop(links, address, pull);
        });
  }
}

core::Task<std::vector<VmVersion>> Admin::WaitUntilInForce(
    std::int64_t version) {
  LinkToOtherEntries(co_await boost::asio::this_coro::executor);
  const core::SteadyTime deadline = clock_.Now() + options_.in_force_timeout;
  while (true) {
    std::vector<VmVersion> behind = Versions();
    std::erase_if(behind,
                  [&](const VmVersion& vm) { return !IsBehind(vm, version); });
    if (behind.empty() || clock_.Now() >= deadline) co_return behind;
    co_await core::SleepFor(options_.in_force_poll);
  }
}

// Guards against reporting a configuration as in force everywhere while a VM
// that is frozen or partitioned still uses the previous one. Such a VM has no
// link and is not among the live entries, but the platform still lists it, so
// the list is the base and the links add the versions.
std::vector<VmVersion> Admin::Versions() const {
  std::map<core::VmId, VmVersion> by_vm;
  for (const external::VmRecord& it : directory_.ListedVms()) {
    by_vm[it.vm] = {it.vm,
                    it.zone,
                    it.role == external::VmRole::kEntry,
                    it.state == external::VmState::kLeaving,
                    false,
                    0};
  }
  for (const KnownEndpoint& endpoint : directory_.Endpoints()) {
    const core::VmId vm(endpoint.id.value());
    by_vm[vm] = {vm,    core::ZoneId(endpoint.report.zone),
                 false, endpoint.leaving || endpoint.report.leaving,
                 false, 0};
  }
  for (const link::PeerInfo& peer : links_.Peers()) {
    VmVersion& vm = by_vm[peer.vm];
    vm.vm = peer.vm;
    vm.zone = peer.zone;
    vm.is_entry = peer.role == gen::Role::ENTRY;
    vm.linked = true;
    vm.version = std::max(vm.version, peer.config_version);
  }
  by_vm[options_.self] = {options_.self, options_.zone, true,
                          false,         true,          config_.version()};
  std::vector<VmVersion> versions;
  versions.reserve(by_vm.size());
  for (auto& [id, vm] : by_vm) versions.push_back(std::move(vm));
  return versions;
}

core::Task<std::string> Admin::DrainEndpoint(core::EndpointId id) {
  const std::optional<KnownEndpoint> endpoint = directory_.Find(id);
  if (!endpoint) {
    throw core::Error(ErrorCode::kNoEndpoint,
                      fmt::format("no endpoint on VM {} is known; see "
                                  "GET /admin/v1/endpoints",
                                  id.value()));
  }
  const std::shared_ptr<link::Call> call =
      co_await links_.Open(endpoint->address, DrainMessage());
  const gen::Message answer = co_await call->Receive(options_.drain_timeout);
  if (!answer.__isset.drain_state) {
    throw core::Error(ErrorCode::kInternal,
                      "drain: answered by " + link::KindOf(answer));
  }
  log_.Event(LogLevel::kInfo, LogCategory::kAdmin, "drain_ordered",
             {{"endpoint", id}, {"running", answer.drain_state.running}});
  co_return DrainJson(id, answer.drain_state.running);
}

std::vector<contract::ObservedReplica> Admin::ObservedReplicas() const {
  std::vector<contract::ObservedReplica> observed;
  for (const KnownEndpoint& endpoint : directory_.Endpoints()) {
    for (const gen::ReplicaReport& replica : endpoint.report.replicas) {
      if (replica.state == gen::ReplicaState::UNLOADING) continue;
      contract::ObservedReplica& item = observed.emplace_back();
      item.endpoint = endpoint.id;
      item.model = core::ModelId(replica.model);
      item.running = replica.running;
      for (const std::string& adapter : replica.adapters) {
        item.adapters.emplace_back(adapter);
      }
    }
  }
  return observed;
}

}  // namespace sapphire::entry
