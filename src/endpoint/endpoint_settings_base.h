/** @file endpoint_settings_base.h The settings of sapphire-endpoint. */
#ifndef SAPPHIRE_ENDPOINT_ENDPOINT_SETTINGS_BASE_H_
#define SAPPHIRE_ENDPOINT_ENDPOINT_SETTINGS_BASE_H_

#include <span>

#include "core/settings_type.h"
#include "endpoint/endpoint_base.h"

namespace sapphire::endpoint {

/** @return Every setting of the program. */
std::span<const core::SettingDef> SettingsTable();

/** @throws core::Error kBadSettings if settings contradict each other. */
EndpointOptions OptionsFrom(const core::Settings& settings);

}  // namespace sapphire::endpoint

#endif  // SAPPHIRE_ENDPOINT_ENDPOINT_SETTINGS_BASE_H_
