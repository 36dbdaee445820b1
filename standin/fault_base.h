/** @file fault_base.h Fault switches of a stand-in. */
#ifndef SAPPHIRE_STANDIN_FAULT_BASE_H_
#define SAPPHIRE_STANDIN_FAULT_BASE_H_

#include <chrono>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace sapphire::standin {

enum class FaultKind {
  kFlag,    ///< On or off.
  kCount,   ///< Number of times that the fault still occurs.
  kNumber,  ///< A factor or a time in milliseconds.
  kText,    ///< A key or a substring; empty if off.
};

/** One row of a stand-in's table of switches. */
struct FaultDef {
  std::string_view name;
  FaultKind kind = FaultKind::kFlag;
  double initial = 0;
};

/** Values of the fault switches. Thread-safe. */
class Faults {
 public:
  /** @param table The stand-in's own switches, added to the common ones. */
  explicit Faults(std::span<const FaultDef> table);

  /**
   * Sets the switches named in a JSON object.
   * @throws core::Error kMalformedRequest for an unknown switch or a wrong
   *   type; then nothing is set.
   */
  void SetJson(std::string_view text);

  /** @return All switches and their values, as a JSON object. */
  [[nodiscard]] std::string AsJson() const;

  /** @pre The table has a switch of this name and kind. */
  [[nodiscard]] bool Flag(std::string_view name) const;
  [[nodiscard]] double Number(std::string_view name) const;
  [[nodiscard]] std::chrono::milliseconds Duration(std::string_view name) const;
  [[nodiscard]] std::string Text(std::string_view name) const;

  /** Decrements a count or clears a flag. @return True if it was set. */
  bool ConsumeOne(std::string_view name);

 private:
  struct Switch {
    FaultKind kind = FaultKind::kFlag;
    double number = 0;
    std::string text;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Switch, std::less<>> switches_;
};

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_FAULT_BASE_H_
