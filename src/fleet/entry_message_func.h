/** @file entry_message_func.h Encodes and decodes the messages between
 * entries and their values in the store. */
#ifndef SAPPHIRE_FLEET_ENTRY_MESSAGE_FUNC_H_
#define SAPPHIRE_FLEET_ENTRY_MESSAGE_FUNC_H_

#include <string>
#include <string_view>

#include "core/clock_base.h"
#include "fleet/usage_type.h"
#include "gen/link_types.h"

namespace sapphire::fleet {

/** Prefix of the keys of all entries' presences in the store. */
inline constexpr std::string_view kEntryPrefix = "entries/";
/** Prefix of the keys of all engines' leases in the store, followed by the
 * engine's address. */
inline constexpr std::string_view kEngineLeasePrefix = "engine-leases/";

/** Prefix of the keys of services that several software versions serve,
 * followed by the service's name. */
inline constexpr std::string_view kServiceVersionsPrefix = "service-versions/";

/** @return The message in Thrift's compact protocol. */
std::string Encode(const gen::EntryPresence& presence);
std::string Encode(const gen::EntryDatagram& datagram);
std::string Encode(const gen::EngineHolder& holder);
std::string Encode(const gen::ServiceVersions& versions);

/** @throws core::Error kMalformedRequest if the bytes are not such a message,
 * or it lacks a valid address or a sender. */
gen::EntryPresence DecodePresence(std::string_view bytes);
gen::EntryDatagram DecodeDatagram(std::string_view bytes);
gen::EngineHolder DecodeEngineHolder(std::string_view bytes);
gen::ServiceVersions DecodeServiceVersions(std::string_view bytes);

/** @return The use as sent to other entries, with the time since the last
 * request instead of its time. */
gen::ResidentUse MakeResidentUse(const ModelOrAdapter& part, const Usage& usage,
                                 core::SteadyTime now);

/** @return The use in a message that was received at `now`. */
Usage ParseResidentUse(const gen::ResidentUse& use, core::SteadyTime now);

/** @return The model or adapter that the use is of. */
ModelOrAdapter PartOf(const gen::ResidentUse& use);

}  // namespace sapphire::fleet

#endif  // SAPPHIRE_FLEET_ENTRY_MESSAGE_FUNC_H_
