/** @file id_type.h Strong identifier types, one for each kind of object. */
#ifndef SAPPHIRE_CORE_ID_TYPE_H_
#define SAPPHIRE_CORE_ID_TYPE_H_

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace sapphire::core {

/** A string that does not convert to an identifier of another kind. */
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& value() const { return value_; }
  [[nodiscard]] bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) = default;
  friend std::strong_ordering operator<=>(const StrongId& a,
                                          const StrongId& b) {
    return a.value_ <=> b.value_;
  }

 private:
  std::string value_;
};

using VmId = StrongId<struct VmTag>;
using ZoneId = StrongId<struct ZoneTag>;
/** The name of the VM that the endpoint runs on. */
using EndpointId = StrongId<struct EndpointTag>;
using ServiceId = StrongId<struct ServiceTag>;
using ModelId = StrongId<struct ModelTag>;
using AdapterId = StrongId<struct AdapterTag>;
using OwnerId = StrongId<struct OwnerTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;
using PlanId = StrongId<struct PlanTag>;

}  // namespace sapphire::core

template <typename Tag>
struct std::hash<sapphire::core::StrongId<Tag>> {
  std::size_t operator()(const sapphire::core::StrongId<Tag>& id) const {
    return std::hash<std::string>{}(id.value());
  }
};

#endif  // SAPPHIRE_CORE_ID_TYPE_H_
