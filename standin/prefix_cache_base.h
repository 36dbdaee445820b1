/** @file prefix_cache_base.h Cached prompt prefixes of one model. */
#ifndef SAPPHIRE_STANDIN_PREFIX_CACHE_BASE_H_
#define SAPPHIRE_STANDIN_PREFIX_CACHE_BASE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphire::standin {

/**
 * LRU cache of whole prompt blocks, each identified by the hash of the prompt
 * up to its end. Not thread-safe.
 */
class PrefixCache {
 public:
  explicit PrefixCache(std::int64_t bytes_per_char);

  /** Marks the matching blocks as recently used.
   * @return How many leading characters are cached. */
  std::size_t Match(std::string_view prompt);

  /** Caches every whole block of a prompt. */
  void Insert(std::string_view prompt);

  /** Evicts blocks until at most `bytes` are in use. */
  void EvictTo(std::int64_t bytes);

  [[nodiscard]] std::int64_t bytes() const;

 private:
  using Blocks = std::list<std::uint64_t>;

  bool Touch(std::uint64_t block);

  const std::int64_t bytes_per_block_;
  /** Most recently used first. */
  Blocks blocks_;
  std::unordered_map<std::uint64_t, Blocks::iterator> positions_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_PREFIX_CACHE_BASE_H_
