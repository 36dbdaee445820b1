/** @file cold_wait_func.h Decides whether a request should wait for a model
 * that is loading. */
#ifndef SAPPHIRE_POLICY_COLD_WAIT_FUNC_H_
#define SAPPHIRE_POLICY_COLD_WAIT_FUNC_H_

#include <chrono>

namespace sapphire::policy {

/**
 * Loads take longer than expected while other loads are in progress. A caller
 * that waits for a load which ends too late gets no answer; a caller that is
 * refused at once can retry when the model is loaded.
 * @param ready_in Expected time until the model can serve requests.
 * @param left Time that the caller is still willing to wait.
 */
bool IsWorthWaiting(std::chrono::milliseconds ready_in,
                    std::chrono::milliseconds left);

}  // namespace sapphire::policy

#endif  // SAPPHIRE_POLICY_COLD_WAIT_FUNC_H_
