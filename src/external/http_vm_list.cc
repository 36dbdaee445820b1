/** @file http_vm_list.cc HTTP client of the platform's VM list. */
#include <boost/json.hpp>
#include <utility>

#include "core/error_type.h"
#include "external/external_func.h"
#include "external/json_func.h"
#include "external/platform_client_base.h"

namespace sapphire::external {

namespace json = boost::json;

namespace {

/** @return True for `yes`, false for `no`. @throws core::Error if neither. */
bool ParseEither(const json::object& object, std::string_view field,
                 std::string_view yes, std::string_view no) {
  const std::string value = StringAt(object, field);
  if (value == yes) return true;
  if (value == no) return false;
  throw core::Error(core::ErrorCode::kMalformedRequest,
                    std::string(field) + ": unknown value " + value);
}

VmRecord ToRecord(const json::value& value) {
  const json::object& object = AsObject(value, "vms");
  VmRecord record;
  record.vm = core::VmId(StringAt(object, "vm"));
  record.zone = core::ZoneId(StringAt(object, "zone"));
  record.role = ParseEither(object, "role", "entry", "endpoint")
                    ? VmRole::kEntry
                    : VmRole::kEndpoint;
  record.state = ParseEither(object, "state", "live", "leaving")
                     ? VmState::kLive
                     : VmState::kLeaving;
  record.link_address = StringAt(object, "link_address");
  return record;
}

std::vector<VmRecord> ToRecords(const std::string& body) {
  const json::object object = ParseObject(body);
  std::vector<VmRecord> records;
  for (const json::value& it : ArrayAt(object, "vms")) {
    records.push_back(ToRecord(it));
  }
  return records;
}

class HttpVmList final : public VmList {
 public:
  HttpVmList(const std::string& address, std::chrono::milliseconds timeout)
      : client_(address, timeout) {}

  core::Task<std::vector<VmRecord>> Read() override {
    const std::string body = co_await client_.Read("/vms");
    try {
      co_return ToRecords(body);
    } catch (const core::Error& e) {
      throw core::Error(core::ErrorCode::kPlatformUnavailable, e.what());
    }
  }

 private:
  PlatformClient client_;
};

}  // namespace

std::unique_ptr<VmList> MakeHttpVmList(const std::string& address,
                                       std::chrono::milliseconds timeout) {
  return std::make_unique<HttpVmList>(address, timeout);
}

}  // namespace sapphire::external
