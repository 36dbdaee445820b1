/** @file sapphire_quota_bench_main.cc Measures the time to identify a request's
 * organisation and charge its quota, by the number of entries. */
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/log_base.h"
#include "fleet/engine_loads_base.h"
#include "organisation/directory_base.h"
#include "quota/quota_client_base.h"

namespace sapphire::bench {

namespace {

constexpr int kEntries[] = {1, 10, 100, 1000};
constexpr int kOrganisations = 1000;
constexpr int kRequests = 20'000;

std::string KeyOf(int i) { return fmt::format("key-{}-of-an-organisation", i); }

organisation::Directory MakeDirectory() {
  std::vector<organisation::Organisation> all;
  for (int i = 0; i < kOrganisations; ++i) {
    organisation::Organisation it;
    it.id = core::OrganisationId(fmt::format("organisation-{}", i));
    it.keys.emplace_back(KeyOf(i));
    it.quota.per_second = 1e9;
    it.quota.burst = 1e9;
    all.push_back(std::move(it));
  }
  return organisation::Directory(std::move(all));
}

void Measure(int entries) {
  const core::SystemClock clock;
  const core::Logger log({"bench", core::VmId("vm"), core::ZoneId("z")},
                         core::LogLevel::kError, clock);
  const fleet::EngineLoads loads(clock);
  fleet::PeerTable peer_table("entries/self@1", loads, clock, log);
  std::map<std::string, gen::EntryPresence> peers;
  for (int i = 1; i < entries; ++i) {
    gen::EntryPresence& it = peers[fmt::format("entries/vm-{}@1", i)];
    it.vm = fmt::format("vm-{}", i);
    it.address = "10.0.0.1:1";
  }
  peer_table.SetEntries(peers);
  if (entries > 1) peer_table.RecordDatagram("entries/vm-1@1");
  std::int64_t sent = 0;
  quota::QuotaClientOptions options;
  options.entry = "entries/self@1";
  options.vm = "vm-0";
  quota::QuotaClient client(
      options, peer_table,
      [&sent](const std::string&, const gen::EntryDatagram&) { ++sent; }, clock,
      log);
  const organisation::Directory directory = MakeDirectory();
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    const organisation::Organisation* it =
        directory.Find(organisation::ApiKey(KeyOf(i % kOrganisations)));
    client.Take(quota::QuotaId(it->id.value()),
                {1, {it->quota.per_second, it->quota.burst}}, 1,
                [](const quota::QuotaDecision&) {});
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - began;
  std::printf("%5d entries: %.2f us a request, %.2f asks a request\n", entries,
              took.count() / kRequests, static_cast<double>(sent) / kRequests);
}

}  // namespace

}  // namespace sapphire::bench

int main() {
  for (const int n : sapphire::bench::kEntries) sapphire::bench::Measure(n);
  return 0;
}
