/** @file external_func.h Creates the HTTP clients of engines and of the
 * platform's services. */
#ifndef SAPPHIRE_EXTERNAL_EXTERNAL_FUNC_H_
#define SAPPHIRE_EXTERNAL_EXTERNAL_FUNC_H_

#include <chrono>
#include <memory>
#include <string>

#include "external/engine_base.h"
#include "external/key_value_base.h"
#include "external/vm_list_base.h"

namespace sapphire::external {

/** @param address "ip:port" of the service. @param timeout Time limit of one
 * call, without the waiting time of a watch. */
std::unique_ptr<KeyValueStore> MakeHttpKeyValueStore(
    const std::string& address, std::chrono::milliseconds timeout);

std::unique_ptr<VmList> MakeHttpVmList(const std::string& address,
                                       std::chrono::milliseconds timeout);

std::unique_ptr<Engine> MakeHttpEngine(const std::string& address,
                                       std::chrono::milliseconds timeout);

}  // namespace sapphire::external

#endif  // SAPPHIRE_EXTERNAL_EXTERNAL_FUNC_H_
