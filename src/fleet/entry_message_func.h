/** @file entry_message_func.h What entries tell each other, as bytes. */
#ifndef SAPPHIRE_FLEET_ENTRY_MESSAGE_FUNC_H_
#define SAPPHIRE_FLEET_ENTRY_MESSAGE_FUNC_H_

#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "fleet/usage_type.h"
#include "gen/link_types.h"

namespace sapphire::fleet {

/** Keys of all entries' presence in the store. */
inline constexpr std::string_view kEntryPrefix = "entries/";
/** Keys of all engines' leases in the store; an engine's address follows. */
inline constexpr std::string_view kEngineLeasePrefix = "engine-leases/";

/** @return Bytes in Thrift's compact protocol. */
std::string Encode(const gen::EntryPresence& presence);
std::string Encode(const gen::EntryDatagram& datagram);
std::string Encode(const gen::EngineHolder& holder);

/** @throws core::Error kMalformedRequest if the bytes are something else. */
gen::EntryPresence DecodePresence(std::string_view bytes);
gen::EntryDatagram DecodeDatagram(std::string_view bytes);
gen::EngineHolder DecodeEngineHolder(std::string_view bytes);

/** @return Use as it is told; times as the time since. */
gen::ResidentUse TellUse(const UsedPart& part, const Usage& usage,
                         core::SteadyTime now);

/** @return Use as it was told at `now`. */
Usage ReadUse(const gen::ResidentUse& told, core::SteadyTime now);

/** @return What the use is of. */
UsedPart PartOf(const gen::ResidentUse& told);

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENTRY_MESSAGE_FUNC_H_
