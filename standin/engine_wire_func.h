/** @file engine_wire_func.h The model engine's wire and records as JSON. */
#ifndef SAPPHIRE_STANDIN_ENGINE_WIRE_FUNC_H_
#define SAPPHIRE_STANDIN_ENGINE_WIRE_FUNC_H_

#include <string>
#include <string_view>

#include "external/engine_base.h"
#include "http/http_type.h"
#include "standin/engine_type.h"

namespace sapphire::standin {

/** @throws core::Error kMalformedRequest naming the field. */
external::EngineOrder ParseOrder(std::string_view body);

/** Reads a completion's or a chat completion's request.
 * @throws core::Error kMalformedRequest naming the field. */
GenerateCall ParseCall(const http::Request& request);

std::string StatusJson(const external::EngineStatus& status);

std::string RecordJson(const EngineRecord& record);

/** @return `{"error": name}`. */
std::string ErrorJson(std::string_view name);

/** @return One token, as it stands in the answer: the first one carries the
 * prompt, all carry the request's id, so that answers can't be mixed up. */
std::string TokenText(const GenerateCall& call, int index);

/** @return What a request that runs to its end is answered. */
std::string WholeText(const GenerateCall& call);

/** @return A whole answer in the shape of the call. */
std::string AnswerJson(const GenerateCall& call);

/** @return One server-sent event with one token. */
std::string TokenEvent(const GenerateCall& call, int index);

/** @return The events that end a stream: usage, then `[DONE]`. */
std::string LastEvents(const GenerateCall& call);

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_ENGINE_WIRE_FUNC_H_
