/** @file vm_list_base.h Client interface of the platform's list of VMs, which
 * may be out of date. */
#ifndef SAPPHIRE_EXTERNAL_VM_LIST_BASE_H_
#define SAPPHIRE_EXTERNAL_VM_LIST_BASE_H_

#include <string>
#include <vector>

#include "core/id_type.h"
#include "core/task_type.h"

namespace sapphire::external {

enum class VmRole { kEntry, kEndpoint };
enum class VmState { kLive, kLeaving };

struct VmRecord {
  core::VmId vm;
  core::ZoneId zone;
  VmRole role = VmRole::kEntry;
  VmState state = VmState::kLive;
  /** Address at which the process on this VM accepts links, "ip:port". */
  std::string link_address;
};

class VmList {
 public:
  virtual ~VmList() = default;
  /** @throws core::Error kPlatformUnavailable. */
  virtual core::Task<std::vector<VmRecord>> Read() = 0;
};

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_VM_LIST_BASE_H_
