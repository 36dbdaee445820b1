/** @file external_func.h Makes the clients of the platform's services. */
#ifndef SAPPHIRE_EXTERNAL_EXTERNAL_FUNC_H_
#define SAPPHIRE_EXTERNAL_EXTERNAL_FUNC_H_

#include <chrono>
#include <memory>
#include <string>

#include "external/engine_base.h"
#include "external/key_value_base.h"
#include "external/vm_list_base.h"

namespace sapphire::external {

/** @param address "ip:port" of the service. @param timeout Of one call. */
std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    const std::string& address, std::chrono::milliseconds timeout);

std::unique_ptr<VmList> MakeHttpVmList(const std::string& address,
                                       std::chrono::milliseconds timeout);

std::unique_ptr<Engine> MakeHttpEngine(const std::string& address,
                                       std::chrono::milliseconds timeout);

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_EXTERNAL_FUNC_H_
