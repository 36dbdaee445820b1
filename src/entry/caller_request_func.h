/** @file caller_request_func.h Parses callers' HTTP requests. */
#ifndef SAPPHIRE_ENTRY_CALLER_REQUEST_FUNC_H_
#define SAPPHIRE_ENTRY_CALLER_REQUEST_FUNC_H_

#include <string>

#include "contract/intent_type.h"
#include "entry/caller_request_type.h"
#include "gen/link_types.h"
#include "http/http_type.h"

namespace sapphire::entry {

/**
 * Parses a request to /v1/completions, /v1/chat/completions or
 * /services/NAME/... against the configuration in force.
 * @throws core::Error kMalformedRequest or kBadHeader that names the field;
 *   kUnknownModel, kUnknownAdapter, kUnknownService, kUnknownPath.
 */
CallerRequest ReadCallerRequest(const http::Request& request,
                                const contract::Intent& intent,
                                const CallerLimits& limits);

/** @return The request as sent to an endpoint or a primary entry; the remaining
 * time and the attempt are filled in at dispatch. */
gen::Run ToRun(const CallerRequest& request);

/** @return The placement request for `run`. */
gen::Place ToPlace(const gen::Run& run);

/** @return The answer to GET /v1/models. */
std::string ModelsJson(const contract::Intent& intent);

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_CALLER_REQUEST_FUNC_H_
