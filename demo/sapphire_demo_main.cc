/** @file sapphire_demo_main.cc Demo: runs a small deployment on this machine
 * and checks its main functions. */
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include "tests/fleet_base.h"
#include "tests/verify_func.h"

namespace sapphire::demo {

using tests::ChatRequest;
using tests::Fleet;
using tests::IsOwnCompleteAnswer;
using tests::Process;
using tests::Reply;

namespace {

using std::chrono::milliseconds;

constexpr int kBurst = 12;
constexpr milliseconds kExitLimit{20'000};

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

/** Prints each check's result and counts the failed ones. */
class Checks {
 public:
  void Check(bool ok, const std::string& what) {
    fmt::print("{} {}\n", ok ? "[ok]  " : "[FAIL]", what);
    if (!ok) ++failed_;
  }
  [[nodiscard]] int failed() const { return failed_; }

 private:
  int failed_ = 0;
};

/** Runs a program of the project in the foreground. @return Its exit code. */
int RunTool(Fleet& fleet, const std::string& name,
            const std::vector<std::string>& args, std::string* output) {
  std::vector<std::string> all = {fleet.bin_dir() + "/" + name};
  all.insert(all.end(), args.begin(), args.end());
  static int runs = 0;
  Process tool(fmt::format("tool-{}", ++runs), all, fleet.directory());
  const auto code = tool.WaitForExit(kExitLimit);
  *output = ReadFile(tool.log_path());
  std::filesystem::remove(tool.log_path());
  return code.value_or(-1);
}

void StartFleet(Fleet& fleet) {
  const std::vector<std::string> engine = {"--memory-bytes",
                                           "2000000000",
                                           "--token-ms",
                                           "5",
                                           "--disk-tier",
                                           "itinerary",
                                           "--disk-bytes-per-second",
                                           "1000000000"};
  fleet.AddEngine("engine-1", "zone-a", engine);
  fleet.AddEngine("engine-2", "zone-b", engine);
  fleet.AddEngine("engine-3", "zone-b", engine);
  fleet.AddPlain("desk-1", "zone-a", "cabin-status");
  fleet.AddEntry("entry-1", "zone-a");
  fleet.AddEntry("entry-2", "zone-b");
  fleet.PublishVms();
}

void PlanAndConfirm(Fleet& fleet, const std::string& intent_path,
                    Checks& checks) {
  const std::string entry = fleet.EntryAddress("entry-1");
  std::string shown;
  int code = RunTool(fleet, "sapphirectl",
                     {"--entry", entry, "plan", intent_path}, &shown);
  fmt::print("{}", shown);
  checks.Check(code == 0, "the plan is shown");
  const auto before =
      fleet.Send(entry, ChatRequest("itinerary", "too early", "early"));
  checks.Check(
      before.problem() == "not_configured" && before.outcome() == "not_run",
      "nothing changes before the plan is confirmed");
  // Fleet::Confirm creates a second plan of the same change, confirms it and
  // waits until it is in force on every VM.
  fleet.Confirm(ReadFile(intent_path));
  code = RunTool(fleet, "sapphirectl", {"--entry", entry, "status"}, &shown);
  fmt::print("{}", shown);
  checks.Check(code == 0, "the configuration is in force on every VM");
}

std::int64_t PeakReplicas(Fleet& fleet, const std::string& model) {
  std::int64_t loads = 0;
  for (const char* vm : {"engine-1", "engine-2", "engine-3"}) {
    const auto record = fleet.Record(vm);
    const auto* peak =
        record.at("replica_counts").as_object().if_contains(model);
    if (peak == nullptr) continue;
    const auto n = peak->at("peak").to_number<std::int64_t>();
    fmt::print("  {}: peak replicas of {}: {}\n", vm, model, n);
    loads += n;
  }
  return loads;
}

void RunBurst(Fleet& fleet, Checks& checks) {
  std::vector<std::future<Reply>> replies;
  replies.reserve(kBurst);
  for (int i = 0; i < kBurst; ++i) {
    const std::string entry = i % 2 == 0 ? "entry-1" : "entry-2";
    replies.push_back(
        fleet.SendAsync(fleet.EntryAddress(entry),
                        ChatRequest("itinerary", "shore day in Passau",
                                    fmt::format("burst-{}", i))));
  }
  int whole = 0;
  for (int i = 0; i < kBurst; ++i) {
    const Reply reply = replies[i].get();
    const std::string id = fmt::format("burst-{}", i);
    fmt::print("  {}: {} in {} ms {}\n", id, reply.status, reply.took.count(),
               reply.problem());
    whole += IsOwnCompleteAnswer(reply, id, 8) ? 1 : 0;
  }
  checks.Check(whole == kBurst,
               fmt::format("{} of {} callers in a burst for an unloaded model "
                           "got their own complete answer",
                           whole, kBurst));
  checks.Check(PeakReplicas(fleet, "itinerary") <= 2,
               "the burst loaded no more replicas than the limit");
}

void CheckStreaming(Fleet& fleet, Checks& checks) {
  const Reply reply = fleet.Send(
      fleet.EntryAddress("entry-2"),
      ChatRequest("itinerary:danube", "a summary", "stream-1", true));
  const bool sse = reply.body.starts_with("data: ") &&
                   reply.body.find("data: [DONE]") != std::string::npos;
  checks.Check(sse && IsOwnCompleteAnswer(reply, "stream-1", 8),
               "tokens of an adapter are streamed as server-sent events");
}

void CheckRetryRunsOnce(Fleet& fleet, Checks& checks) {
  const http::Request booking{
      "POST",
      "/services/cabin-status/bookings/42",
      {{"Content-Type", "application/json"}, {"Idempotency-Key", "steward-42"}},
      "{\"cabin\": 42}"};
  const Reply first = fleet.Send(fleet.EntryAddress("entry-1"), booking);
  const Reply again = fleet.Send(fleet.EntryAddress("entry-2"), booking);
  fmt::print("  first: {} {}\n  again: {} {}\n", first.status, first.body,
             again.status, again.body);
  checks.Check(first.ok() && again.ok() && first.body == again.body,
               "a retried booking gets the same answer");
  const auto runs = fleet.Record("desk-1").at("runs").as_array().size();
  checks.Check(runs == 1, fmt::format("the booking ran {} time(s)", runs));
}

void CheckDrain(Fleet& fleet, Checks& checks) {
  const std::string entry = fleet.EntryAddress("entry-1");
  constexpr int kStreams = 4;
  std::vector<std::future<Reply>> running;
  running.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    running.push_back(fleet.SendAsync(
        entry, ChatRequest("itinerary", "a long story",
                           fmt::format("drain-{}", i), true, 150)));
  }
  std::this_thread::sleep_for(milliseconds(200));
  std::string shown;
  const int code = RunTool(fleet, "sapphirectl",
                           {"--entry", entry, "drain", "engine-1"}, &shown);
  fmt::print("{}", shown);
  checks.Check(code == 0, "the drain is accepted");
  int whole = 0;
  for (int i = 0; i < kStreams; ++i) {
    const Reply reply = running[i].get();
    whole +=
        IsOwnCompleteAnswer(reply, fmt::format("drain-{}", i), 150) ? 1 : 0;
  }
  checks.Check(whole == kStreams, "the drain cuts no stream in progress");
  const auto left = fleet.endpoint("engine-1").process->WaitForExit(kExitLimit);
  checks.Check(left == 0, "the drained endpoint's process exits");
}

void ShowTimeLine(Fleet& fleet, Checks& checks) {
  std::vector<std::string> args = fleet.LogPaths();
  std::string text;
  const int code = RunTool(fleet, "sapphire-timeline", args, &text);
  fmt::print("{}", text);
  checks.Check(code == 0 && text.find("request_ended") != std::string::npos,
               "one time line shows the events of all processes");
}

int Main(const std::string& bin_dir, const std::string& intent_path) {
  Checks checks;
  Fleet fleet(bin_dir, "sapphire-demo");
  fleet.entry_settings = "lame_duck_ms = 300\n";
  StartFleet(fleet);
  PlanAndConfirm(fleet, intent_path, checks);
  RunBurst(fleet, checks);
  CheckStreaming(fleet, checks);
  CheckRetryRunsOnce(fleet, checks);
  CheckDrain(fleet, checks);
  for (const char* entry : {"entry-1", "entry-2"}) {
    fleet.entry(entry).process->Signal(SIGTERM);
    const auto code = fleet.entry(entry).process->WaitForExit(kExitLimit);
    checks.Check(code == 0, fmt::format("{} stops on SIGTERM", entry));
  }
  ShowTimeLine(fleet, checks);
  fmt::print("{} check(s) failed\n", checks.failed());
  return checks.failed() == 0 ? 0 : 1;
}

}  // namespace

}  // namespace sapphire::demo

int main(int argc, char** argv) {
  if (argc != 3) {
    fmt::print(stderr, "usage: sapphire-demo BIN_DIR INTENT_FILE\n");
    return 2;
  }
  try {
    return sapphire::demo::Main(argv[1], argv[2]);
  } catch (const std::exception& e) {
    fmt::print(stderr, "demo: {}\n", e.what());
    return 1;
  }
}
