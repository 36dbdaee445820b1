/** @file sapphire_config_bench_main.cc Measures encoded size, and encoding,
 * decoding and parsing time, of configurations by size. */
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <set>
#include <string>

#include "contract/config_func.h"
#include "contract/intent_func.h"

namespace sapphire::bench {
namespace {

using Seconds = std::chrono::duration<double>;
using Clock = std::chrono::steady_clock;

constexpr int kRounds = 5;
constexpr double kMillis = 1000;

struct Size {
  int models;
  int adapters;
};

/** From the size of the present deployments to beyond the capacity target. */
constexpr std::array kSizes = {
    Size{50, 40},     Size{65, 75},        Size{250, 2'000},
    Size{750, 7'000}, Size{1'500, 14'000}, Size{2'000, 20'000},
};

contract::Intent IntentOf(const Size& size) {
  contract::Intent intent;
  intent.deployment = "bench";
  const core::ServiceId service("drafts");
  intent.services[service] = {
      service, contract::ServiceKind::kModel, 100, {}, 16};
  for (int i = 0; i < size.models; ++i) {
    const core::ModelId name(fmt::format("model-{:05}", i));
    contract::Model& model = intent.models[name];
    model.name = name;
    model.service = service;
    model.weight_bytes = std::int64_t{8} << 30;
    model.kv_budget_bytes = std::int64_t{1} << 30;
  }
  auto it = intent.models.begin();
  for (int i = 0; i < size.adapters; ++i) {
    const core::AdapterId name(fmt::format("adapter-{:05}", i));
    it->second.adapters.push_back({name, "1", 100'000'000});
    if (++it == intent.models.end()) it = intent.models.begin();
  }
  return intent;
}

/** @return The shortest of kRounds runs, which was disturbed least by other
 * load.
 */
template <typename Work>
double BestMillis(Work work) {
  double best = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto start = Clock::now();
    work();
    const double took = Seconds(Clock::now() - start).count() * kMillis;
    if (i == 0 || took < best) best = took;
  }
  return best;
}

std::size_t BytesOf(const contract::EncodedConfig& config) {
  std::size_t bytes = 0;
  for (const contract::Part& part : config.parts) bytes += part.data.size();
  return bytes;
}

/** @return The bytes of the new parts after one model is changed. */
std::size_t ChangeBytes(contract::Intent intent,
                        const contract::EncodedConfig& before) {
  std::set<std::string> known;
  for (const contract::Part& part : before.parts) known.insert(part.hash);
  intent.models.begin()->second.max_replicas = 2;
  std::size_t bytes = 0;
  for (const contract::Part& part :
       contract::EncodeConfig({2, core::PlanId("p"), intent}).parts) {
    if (!known.contains(part.hash)) bytes += part.data.size();
  }
  return bytes;
}

void Measure(const Size& size) {
  const core::PlanId plan("p");
  const contract::Config config{1, plan, IntentOf(size)};
  const contract::EncodedConfig encoded = contract::EncodeConfig(config);
  const std::string toml = contract::ToToml(config.intent);
  const double encode = BestMillis([&] { contract::EncodeConfig(config); });
  const double decode =
      BestMillis([&] { contract::DecodeConfig(1, plan, encoded.parts); });
  const double parse =
      BestMillis([&] { contract::ParseIntentToml(toml, "bench"); });
  fmt::print(
      "{:>6} {:>8} {:>6} {:>10} {:>12} {:>10} {:>10.2f} {:>10.2f} "
      "{:>10.2f}\n",
      size.models, size.adapters, encoded.parts.size(), BytesOf(encoded),
      ChangeBytes(config.intent, encoded), toml.size(), encode, decode, parse);
}

}  // namespace
}  // namespace sapphire::bench

int main() {
  fmt::print("{:>6} {:>8} {:>6} {:>10} {:>12} {:>10} {:>10} {:>10} {:>10}\n",
             "models", "adapters", "parts", "bytes", "change_bytes",
             "toml_bytes", "encode_ms", "decode_ms", "parse_ms");
  for (const auto& size : sapphire::bench::kSizes) {
    sapphire::bench::Measure(size);
  }
  return 0;
}
