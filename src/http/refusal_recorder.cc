/** @file refusal_recorder.cc Counts and logs what a server's limits refuse. */
#include <chrono>

#include "http/refusal_recorder_base.h"

namespace sapphire::http {

namespace {

constexpr std::chrono::milliseconds kLogInterval{1000};

}  // namespace

std::string_view NameOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kHead:
      return "head";
    case RefusalReason::kBody:
      return "body";
    case RefusalReason::kMemory:
      return "memory";
    case RefusalReason::kSlow:
      return "slow";
    case RefusalReason::kConnections:
      return "connections";
  }
  return "";
}

void RefusalRecorder::Record(const Refusal& refusal) {
  const auto i = static_cast<std::size_t>(refusal.reason);
  std::int64_t so_far = 0;
  {
    const std::lock_guard lock(mutex_);
    so_far = ++counts_[i];
    const core::SteadyTime now = std::chrono::steady_clock::now();
    if (so_far > 1 && now - logged_[i] < kLogInterval) return;
    logged_[i] = now;
  }
  log_.Event(core::LogLevel::kInfo, core::LogCategory::kRequest,
             "client_refused",
             {{"limit", NameOf(refusal.reason)},
              {"peer", refusal.peer},
              {"request", refusal.request_id},
              {"received_bytes", refusal.received},
              {"so_far", so_far}});
}

RefusalCounts RefusalRecorder::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace sapphire::http
