/** @file engine_notice_type.h What engines say of themselves in answers. */
#ifndef SAPPHIRE_FLEET_ENGINE_NOTICE_TYPE_H_
#define SAPPHIRE_FLEET_ENGINE_NOTICE_TYPE_H_

#include <chrono>
#include <optional>

namespace sapphire::fleet {

/** What an engine says of itself in an answer, whatever the answer is to. */
struct EngineNotice {
  /** It accepts no new requests and is about to stop. */
  bool leaving = false;
  /** It has turned the request away and asks this VM for no requests for this
   * time. */
  std::optional<std::chrono::milliseconds> rest;
  /** True if a notice can't be parsed. */
  bool unreadable = false;
};

/** What a notice has changed. */
struct NoticeChange {
  bool leaving = false;
  /** The engine begins to rest, or rests notably longer than known before. */
  bool rest = false;
  /** The engine accepts requests again after its rest. */
  bool rest_ended = false;
  /** First unreadable notice of the engine. */
  bool unreadable = false;
};

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENGINE_NOTICE_TYPE_H_
