/** @file fleet.cc Runs a small deployment of real processes for tests. */
#include <fmt/format.h>
#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "tests/fleet_base.h"

namespace sapphire::tests {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int kDriverThreads = 4;
constexpr milliseconds kReplyLimit{60'000};
constexpr milliseconds kPoll{20};

std::string MakeDirectory(const std::string& name) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / (name + "-XXXXXX")).string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't create a temporary directory");
  }
  return pattern;
}

core::Task<Reply> FetchReply(std::string address, http::Request request,
                             milliseconds limit = kReplyLimit) {
  const auto began = std::chrono::steady_clock::now();
  Reply reply;
  try {
    http::Client client(address);
    const auto stream = co_await client.Open(std::move(request), limit);
    reply.status = stream->head().status;
    reply.headers = stream->head().headers;
    while (true) {
      const http::BodyPart part = co_await stream->Read(limit);
      const auto* bytes = std::get_if<std::string>(&part);
      if (bytes == nullptr) break;
      reply.body += *bytes;
    }
  } catch (const std::exception& e) {
    reply.failure = e.what();
  }
  reply.took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - began);
  co_return reply;
}

std::string ProblemField(const std::string& body, std::string_view field) {
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(body, ec);
  if (ec || !value.is_object()) return "";
  const boost::json::value* found = value.get_object().if_contains(field);
  if (found == nullptr || !found->is_string()) return "";
  return std::string(found->get_string());
}

}  // namespace

std::string Reply::outcome() const { return ProblemField(body, "outcome"); }

std::string Reply::problem() const {
  const std::string type = ProblemField(body, "type");
  return type.substr(type.rfind(':') + 1);
}

Fleet::Fleet(std::string bin_dir, const std::string& name)
    : bin_dir_(std::move(bin_dir)),
      directory_(MakeDirectory(name)),
      work_(asio::make_work_guard(io_)) {
  for (int i = 0; i < kDriverThreads; ++i) {
    threads_.emplace_back([this] { io_.run(); });
  }
  platform_["kv"] = StartStandIn("kv", {"kv"});
  platform_["vms"] = StartStandIn("vms", {"vms"});
  platform_["weights"] = StartStandIn(
      "weights", {"weights", "--loads-per-second", "3", "--at-once", "4",
                  "--bytes-per-second", "1000000000"});
}

Fleet::~Fleet() {
  work_.reset();
  io_.stop();
  for (std::thread& thread : threads_) thread.join();
  entries_.clear();
  endpoints_.clear();
  platform_.clear();
  const bool keep = ::getenv("SAPPHIRE_KEEP_LOGS") != nullptr;
  if (!keep) std::filesystem::remove_all(directory_);
}

std::unique_ptr<Process> Fleet::StartStandIn(const std::string& name,
                                             std::vector<std::string> args) {
  args.insert(args.begin(), bin_dir_ + "/sapphire-standin");
  for (const std::string& arg :
       {std::string("--listen"), std::string("127.0.0.1:0"),
        std::string("--port-file"), directory_ + "/" + name + ".ports"}) {
    args.push_back(arg);
  }
  return std::make_unique<Process>(name, args, directory_);
}

std::string Fleet::WriteSettings(const std::string& name,
                                 const std::string& text) {
  std::string path = directory_ + "/" + name + ".toml";
  std::ofstream(path) << text << "port_file = \"" << directory_ << "/" << name
                      << ".ports\"\n";
  return path;
}

void Fleet::AddEngine(const std::string& vm, const std::string& zone,
                      const std::vector<std::string>& engine_args) {
  auto it = std::make_unique<EndpointVm>();
  it->vm = vm;
  it->zone = zone;
  it->kind = "model";
  std::vector<std::string> args = {"engine", "--weights",
                                   StandInAddress("weights")};
  args.insert(args.end(), engine_args.begin(), engine_args.end());
  it->engine = StartStandIn(vm + "-engine", args);
  endpoints_.push_back(std::move(it));
  StartEndpoint(*endpoints_.back());
}

void Fleet::AddPlain(const std::string& vm, const std::string& zone,
                     const std::string& service) {
  auto it = std::make_unique<EndpointVm>();
  it->vm = vm;
  it->zone = zone;
  it->kind = "plain";
  it->service = service;
  it->engine = StartStandIn(vm + "-engine", {"plain", "--service", service});
  endpoints_.push_back(std::move(it));
  StartEndpoint(*endpoints_.back());
}

void Fleet::AddEntry(const std::string& vm, const std::string& zone) {
  auto it = std::make_unique<EntryVm>();
  it->vm = vm;
  it->zone = zone;
  entries_.push_back(std::move(it));
  StartEntry(*entries_.back());
}

void Fleet::StartEndpoint(EndpointVm& vm) {
  const std::string path = WriteSettings(
      vm.vm,
      fmt::format("vm = \"{}\"\nzone = \"{}\"\n"
                  "listen = \"127.0.0.1:0\"\nkind = \"{}\"\n"
                  "service = \"{}\"\nengine = \"{}\"\nkv = \"{}\"\n{}\n",
                  vm.vm, vm.zone, vm.kind, vm.service, vm.engine->Address(""),
                  StandInAddress("kv"), endpoint_settings));
  vm.process = std::make_unique<Process>(
      vm.vm,
      std::vector<std::string>{bin_dir_ + "/sapphire-endpoint", "--config",
                               path},
      directory_);
}

void Fleet::StartEntry(EntryVm& vm) {
  const std::string path = WriteSettings(
      vm.vm, fmt::format("vm = \"{}\"\nzone = \"{}\"\n"
                         "listen = \"127.0.0.1:0\"\n"
                         "link_listen = \"127.0.0.1:0\"\nkv = \"{}\"\n"
                         "vm_list = \"{}\"\n{}\n",
                         vm.vm, vm.zone, StandInAddress("kv"),
                         StandInAddress("vms"), entry_settings));
  vm.process = std::make_unique<Process>(
      vm.vm,
      std::vector<std::string>{bin_dir_ + "/sapphire-entry", "--config", path},
      directory_);
}

void Fleet::RestartEndpoint(const std::string& vm) {
  EndpointVm& it = endpoint(vm);
  it.process.reset();
  StartEndpoint(it);
}

void Fleet::RestartEntry(const std::string& vm) {
  EntryVm& it = entry(vm);
  it.process.reset();
  StartEntry(it);
}

EndpointVm& Fleet::endpoint(const std::string& vm) {
  for (const auto& it : endpoints_) {
    if (it->vm == vm) return *it;
  }
  throw std::runtime_error("no endpoint named " + vm);
}

EntryVm& Fleet::entry(const std::string& vm) {
  for (const auto& it : entries_) {
    if (it->vm == vm) return *it;
  }
  throw std::runtime_error("no entry named " + vm);
}

std::string Fleet::EntryAddress(const std::string& vm) {
  return entry(vm).process->Address("http");
}

std::string Fleet::StandInAddress(const std::string& stand_in) {
  const auto it = platform_.find(stand_in);
  if (it != platform_.end()) return it->second->Address("");
  return endpoint(stand_in).engine->Address("");
}

Relay& Fleet::AddRelay(const std::string& vm) {
  EndpointVm& it = endpoint(vm);
  it.relay = std::make_unique<Relay>(io_, it.process->Address("link"));
  return *it.relay;
}

void Fleet::PublishVms() {
  boost::json::array vms;
  const auto add = [&](const auto& vm, const char* role,
                       const std::string& address) {
    vms.push_back(
        boost::json::object{{"vm", vm.vm},
                            {"zone", vm.zone},
                            {"role", role},
                            {"state", vm.leaving ? "leaving" : "live"},
                            {"link_address", address}});
  };
  for (const auto& it : endpoints_) {
    if (!it->process) continue;
    add(*it, "endpoint",
        it->relay ? it->relay->address() : it->process->Address("link"));
  }
  for (const auto& it : entries_) {
    if (it->process) add(*it, "entry", it->process->Address("link"));
  }
  const Reply reply =
      Send(StandInAddress("vms"),
           {"POST",
            "/vms",
            {},
            boost::json::serialize(boost::json::object{{"vms", vms}})});
  if (!reply.ok()) {
    throw std::runtime_error("can't set the VM list: " + reply.body);
  }
}

boost::json::object Fleet::Admin(const std::string& entry,
                                 http::Request request) {
  const Reply reply = Send(EntryAddress(entry), std::move(request));
  if (reply.status >= 300 || !reply.failure.empty()) {
    throw std::runtime_error("admin call failed: " + reply.body +
                             reply.failure);
  }
  return boost::json::parse(reply.body).as_object();
}

bool Fleet::IsInForceEverywhere(std::int64_t version) {
  for (const auto& it : entries_) {
    if (!it->process) continue;
    const Reply reply =
        Send(it->process->Address("http"), {"GET", "/admin/v1/status", {}, ""});
    if (!reply.ok()) return false;
    const auto status = boost::json::parse(reply.body).as_object();
    const auto& vms = status.at("vms").as_array();
    if (vms.size() != entries_.size() + endpoints_.size()) return false;
    for (const auto& vm : vms) {
      const auto& shown = vm.as_object().at("version");
      // Null if the entry has no link to the VM.
      if (shown.is_null() || shown.to_number<std::int64_t>() != version) {
        return false;
      }
    }
  }
  return true;
}

void Fleet::Confirm(const std::string& intent_toml) {
  const std::string& first = entries_.front()->vm;
  const auto plan = Admin(first, {"POST",
                                  "/admin/v1/plans",
                                  {{"Content-Type", "application/toml"}},
                                  intent_toml});
  const std::string id(plan.at("id").as_string());
  const auto confirmed =
      Admin(first, {"POST", "/admin/v1/plans/" + id + "/confirm", {}, ""});
  const auto version = confirmed.at("version").to_number<std::int64_t>();
  if (!Eventually([&] { return IsInForceEverywhere(version); })) {
    throw std::runtime_error("the configuration is not in force on every VM");
  }
}

void Fleet::SetFaults(const std::string& stand_in, const std::string& json) {
  const Reply reply =
      Send(StandInAddress(stand_in), {"POST", "/standin/faults", {}, json});
  if (!reply.ok()) throw std::runtime_error("can't set faults: " + reply.body);
}

boost::json::object Fleet::Record(const std::string& stand_in) {
  const Reply reply =
      Send(StandInAddress(stand_in), {"GET", "/standin/record", {}, ""});
  return boost::json::parse(reply.body).as_object();
}

std::future<Reply> Fleet::SendAsync(const std::string& address,
                                    http::Request request) {
  return asio::co_spawn(asio::make_strand(io_),
                        FetchReply(address, std::move(request)),
                        asio::use_future);
}

Reply Fleet::SendAndDisconnect(const std::string& address,
                               http::Request request, milliseconds patience) {
  return asio::co_spawn(asio::make_strand(io_),
                        FetchReply(address, std::move(request), patience),
                        asio::use_future)
      .get();
}

Reply Fleet::Send(const std::string& address, http::Request request) {
  return SendAsync(address, std::move(request)).get();
}

std::vector<std::string> Fleet::LogPaths() const {
  std::vector<std::string> paths;
  for (const auto& file : std::filesystem::directory_iterator(directory_)) {
    if (file.path().extension() == ".log") paths.push_back(file.path());
  }
  return paths;
}

bool Eventually(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPoll);
  }
  return condition();
}

http::Request ChatRequest(const std::string& model, const std::string& prompt,
                          const std::string& request_id, bool stream,
                          int max_tokens) {
  const boost::json::object body{
      {"model", model},
      {"stream", stream},
      {"max_tokens", max_tokens},
      {"messages", boost::json::array{boost::json::object{
                       {"role", "user"}, {"content", prompt}}}}};
  return {"POST",
          "/v1/chat/completions",
          {{"Content-Type", "application/json"}, {"X-Request-Id", request_id}},
          boost::json::serialize(body)};
}

}  // namespace sapphire::tests
