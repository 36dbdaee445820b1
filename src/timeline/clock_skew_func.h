/** @file clock_skew_func.h Puts events of VMs with different clocks in order.
 */
#ifndef SAPPHIRE_TIMELINE_CLOCK_SKEW_FUNC_H_
#define SAPPHIRE_TIMELINE_CLOCK_SKEW_FUNC_H_

#include <chrono>
#include <map>
#include <vector>

#include "timeline/event_type.h"

namespace sapphire::timeline {

/** What to add to each VM's times; VMs whose clocks agree are left out. */
using ClockShifts = std::map<core::VmId, std::chrono::microseconds>;

/**
 * Works out how far the VMs' clocks are apart. At the VM that took a request
 * it begins and ends, so what other VMs logged of it happened in between;
 * where their clocks say otherwise, they are off by as much.
 */
ClockShifts EstimateShifts(const std::vector<Event>& events);

/**
 * Applies the shifts and sorts by time. Events of a request never come before
 * the one that began it.
 */
void PutInOrder(std::vector<Event>& events, const ClockShifts& shifts);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_CLOCK_SKEW_FUNC_H_
