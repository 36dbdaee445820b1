/** @file prefix_cache.cc Cached prompt prefixes of one model. */
#include <algorithm>

#include "core/random_func.h"
#include "standin/prefix_cache_base.h"

namespace sapphire::standin {

namespace {

constexpr std::size_t kBlockChars = 256;

/** @return For each whole block, the hash of the prompt up to its end. */
std::vector<std::uint64_t> BlockHashes(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i + kBlockChars <= prompt.size(); i += kBlockChars) {
    hash = core::HashOf(prompt.substr(i, kBlockChars), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

}  // namespace

PrefixCache::PrefixCache(std::int64_t bytes_per_char)
    : bytes_per_block_(bytes_per_char * std::int64_t{kBlockChars}) {}

std::size_t PrefixCache::Match(std::string_view prompt) {
  std::size_t n = 0;
  for (std::uint64_t block : BlockHashes(prompt)) {
    if (!Touch(block)) break;
    n += kBlockChars;
  }
  return n;
}

void PrefixCache::Insert(std::string_view prompt) {
  // Blocks of size 0 would never be evicted.
  if (bytes_per_block_ == 0) return;
  for (std::uint64_t block : BlockHashes(prompt)) {
    if (Touch(block)) continue;
    blocks_.push_front(block);
    positions_[block] = blocks_.begin();
  }
}

void PrefixCache::EvictTo(std::int64_t bytes) {
  while (!blocks_.empty() && this->bytes() > bytes) {
    positions_.erase(blocks_.back());
    blocks_.pop_back();
  }
}

std::int64_t PrefixCache::bytes() const {
  return static_cast<std::int64_t>(blocks_.size()) * bytes_per_block_;
}

bool PrefixCache::Touch(std::uint64_t block) {
  const auto it = positions_.find(block);
  if (it == positions_.end()) return false;
  blocks_.splice(blocks_.begin(), blocks_, it->second);
  return true;
}

}  // namespace sapphire::standin
