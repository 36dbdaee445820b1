/** @file engine_wire_func.h JSON encoding of the model engine's API and
 * records. */
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

/** Parses a completion or chat completion request.
 * @throws core::Error kMalformedRequest naming the field. */
GenerateCall ParseCall(const http::Request& request);

std::string StatusJson(const external::EngineStatus& status);

std::string RecordJson(const EngineRecord& record);

/** @return `{"error": name}`. */
std::string ErrorJson(std::string_view name);

/** @return One token of the answer: the first contains the prompt, and all
 * contain the request's id, so that tests detect mixed-up answers. */
std::string TokenText(const GenerateCall& call, int index);

/** @return The whole text that a completed request generates. */
std::string WholeText(const GenerateCall& call);

/** @return A non-streamed answer in the format of the call's endpoint. */
std::string AnswerJson(const GenerateCall& call);

/** @return One server-sent event with one token. */
std::string TokenEvent(const GenerateCall& call, int index);

/** @return The events that end a stream: usage, then `[DONE]`. */
std::string LastEvents(const GenerateCall& call);

}  // namespace sapphire::standin

#endif  // SAPPHIRE_STANDIN_ENGINE_WIRE_FUNC_H_
