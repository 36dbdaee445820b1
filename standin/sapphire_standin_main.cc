/** @file sapphire_standin_main.cc Program that runs one stand-in of a platform
 * service. */
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <memory>

#include "core/address_func.h"
#include "standin/engine_stand_in_base.h"
#include "standin/kv_stand_in_base.h"
#include "standin/plain_stand_in_base.h"
#include "standin/stand_in_server_base.h"
#include "standin/vms_stand_in_base.h"
#include "standin/weights_stand_in_base.h"

namespace sapphire::standin {
namespace {

/** Command-line arguments. */
struct Arguments {
  std::string listen = "127.0.0.1:0";
  std::string port_file;
  KvOptions kv;
  WeightsOptions weights;
  EngineOptions engine;
  std::int64_t token_ms = 5;
  double prefill_us_per_char = 20;
  std::int64_t unload_ms = 20;
  std::string service = "plain";
};

CLI::App* AddCommand(CLI::App& app, Arguments& args, const std::string& name,
                     const std::string& help) {
  CLI::App* command = app.add_subcommand(name, help);
  command->add_option("--listen", args.listen, "ip:port; port 0 is a free one");
  command->add_option("--port-file", args.port_file,
                      "File that gets ip:port once it listens");
  return command;
}

void AddWeightsOptions(CLI::App* command, WeightsOptions& options) {
  command->add_option("--loads-per-second", options.loads_per_second);
  command->add_option("--at-once", options.at_once);
  command->add_option("--bytes-per-second", options.bytes_per_second);
}

void AddEngineOptions(CLI::App* command, Arguments& args) {
  EngineOptions& engine = args.engine;
  engine.memory_bytes = std::int64_t{80} * 1000 * 1000 * 1000;
  command->add_option("--memory-bytes", engine.memory_bytes);
  command->add_flag("--honours-fencing,!--ignores-fencing",
                    engine.honours_fencing);
  command->add_flag("--refuses-overcommit", engine.refuses_overcommit);
  command->add_option("--weights", engine.weights_address,
                      "ip:port of the weight store");
  command->add_option("--remote-bytes-per-second",
                      engine.remote_bytes_per_second,
                      "Of remote loads without a weight store");
  command->add_option("--memory-tier", engine.memory_tier)->delimiter(',');
  command->add_option("--disk-tier", engine.disk_tier)->delimiter(',');
  command->add_option("--disk-bytes-per-second", engine.disk_bytes_per_second);
  command->add_option("--memory-bytes-per-second",
                      engine.memory_bytes_per_second);
  command->add_option("--token-ms", args.token_ms);
  command->add_option("--prefill-us-per-char", args.prefill_us_per_char);
  command->add_option("--unload-ms", args.unload_ms);
  command->add_option("--batch-slowdown", engine.batch_slowdown);
  command->add_option("--kv-bytes-per-char", engine.kv_bytes_per_char);
}

void AddCommands(CLI::App& app, Arguments& args) {
  app.require_subcommand(1);
  CLI::App* kv = AddCommand(app, args, "kv", "Key-value service");
  kv->add_option("--history", args.kv.history_limit,
                 "How many changes a watch can look back on");
  kv->add_option("--reads-per-second", args.kv.reads_per_second,
                 "More wait their turn; 0 is no limit");
  kv->add_option("--writes-per-second", args.kv.writes_per_second);
  AddCommand(app, args, "vms", "List of VMs");
  AddWeightsOptions(AddCommand(app, args, "weights", "Weight store"),
                    args.weights);
  AddEngineOptions(AddCommand(app, args, "engine", "Model engine"), args);
  CLI::App* plain = AddCommand(app, args, "plain", "Plain service");
  plain->add_option("--service", args.service, "Its name");
}

EngineOptions EngineOptionsOf(const Arguments& args) {
  EngineOptions options = args.engine;
  options.token_time = core::Millis(args.token_ms);
  options.unload_time = core::Millis(args.unload_ms);
  options.prefill_time_per_char = std::chrono::microseconds(
      static_cast<std::int64_t>(args.prefill_us_per_char));
  return options;
}

std::unique_ptr<StandIn> MakeStandIn(const std::string& command,
                                     const Arguments& args,
                                     const StandInContext& context) {
  if (command == "kv") return std::make_unique<KvStandIn>(context, args.kv);
  if (command == "vms") return std::make_unique<VmsStandIn>(context);
  if (command == "weights") {
    return std::make_unique<WeightsStandIn>(context, args.weights);
  }
  if (command == "engine") {
    return std::make_unique<EngineStandIn>(context, EngineOptionsOf(args));
  }
  return std::make_unique<PlainStandIn>(context, args.service);
}

/** Waits for SIGINT or SIGTERM. */
void WaitForSignal() {
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([](const auto&, int) {});
  io.run();
}

void Run(const std::string& command, const Arguments& args) {
  const StandInServer host(command, args.listen,
                           [&](const StandInContext& context) {
                             return MakeStandIn(command, args, context);
                           });
  const std::string address = host.address();
  if (!args.port_file.empty()) {
    core::WriteFileAtomically(args.port_file, address + "\n");
  }
  fmt::print(stderr, "process=sapphire-standin-{} event=listening address={}\n",
             command, address);
  WaitForSignal();
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-ins of the platform's services, for tests and demos");
  Arguments args;
  AddCommands(app, args);
  CLI11_PARSE(app, argc, argv);
  try {
    Run(app.get_subcommands().front()->get_name(), args);
  } catch (const std::exception& e) {
    fmt::print(stderr, "sapphire-standin: {}\n", e.what());
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace sapphire::standin

int main(int argc, char** argv) { return sapphire::standin::Main(argc, argv); }
