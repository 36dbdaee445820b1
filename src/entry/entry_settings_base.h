/** @file entry_settings_base.h The settings of sapphire-entry. */
#ifndef SAPPHIRE_ENTRY_ENTRY_SETTINGS_BASE_H_
#define SAPPHIRE_ENTRY_ENTRY_SETTINGS_BASE_H_

#include <span>

#include "core/settings_type.h"

namespace sapphire::entry {

/** @return Every setting of an entry. */
std::span<const core::SettingDef> SettingsTable();

}  // namespace sapphire::entry

#endif  // SAPPHIRE_ENTRY_ENTRY_SETTINGS_BASE_H_
