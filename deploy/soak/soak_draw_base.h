/** @file soak_draw_base.h Draws random numbers from a seed. */
#ifndef SAPPHIRE_DEPLOY_SOAK_SOAK_DRAW_BASE_H_
#define SAPPHIRE_DEPLOY_SOAK_SOAK_DRAW_BASE_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "soak_type.h"

namespace sapphire::deploy::soak {

/** Draws random numbers. The standard distributions are not used because their
 * results differ between libraries. */
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}
  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint64_t>(bound));
  }
  milliseconds Between(milliseconds least, milliseconds most) {
    return least +
           milliseconds(Below(static_cast<int>((most - least).count()) + 1));
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace sapphire::deploy::soak

#endif  // SAPPHIRE_DEPLOY_SOAK_SOAK_DRAW_BASE_H_
