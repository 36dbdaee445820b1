/** @file platform_func.h Makes the clients of the platform's services. */
#ifndef SAPPHIRE_PLATFORM_PLATFORM_FUNC_H_
#define SAPPHIRE_PLATFORM_PLATFORM_FUNC_H_

#include <chrono>
#include <memory>
#include <string>

#include "platform/engine_base.h"
#include "platform/key_value_base.h"
#include "platform/vm_list_base.h"

namespace sapphire::platform {

/** @param address "ip:port" of the service. @param timeout Of one call. */
std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    const std::string& address, std::chrono::milliseconds timeout);

std::unique_ptr<VmList> MakeHttpVmList(const std::string& address,
                                       std::chrono::milliseconds timeout);

std::unique_ptr<Engine> MakeHttpEngine(const std::string& address,
                                       std::chrono::milliseconds timeout);

}  // namespace sapphire::platform

#endif  // SAPPHIRE_PLATFORM_PLATFORM_FUNC_H_
