/** @file clock_skew_func.h Orders the events of VMs whose clocks differ. */
#ifndef SAPPHIRE_TIMELINE_CLOCK_SKEW_FUNC_H_
#define SAPPHIRE_TIMELINE_CLOCK_SKEW_FUNC_H_

#include <chrono>
#include <map>
#include <vector>

#include "timeline/event_type.h"

namespace sapphire::timeline {

/** What to add to each VM's times; VMs without clock skew are left out. */
using ClockShifts = std::map<core::VmId, std::chrono::microseconds>;

/**
 * Estimates the clock skew between VMs. A request begins and ends at the VM
 * that received it, so the events of other VMs for it happened in between; a
 * clock that contradicts this is shifted by the difference.
 */
ClockShifts EstimateShifts(const std::vector<Event>& events);

/**
 * Applies the shifts and sorts by time. No event of a request precedes the
 * event that began it.
 */
void SortByTime(std::vector<Event>& events, const ClockShifts& shifts);

}  // namespace sapphire::timeline

#endif  // SAPPHIRE_TIMELINE_CLOCK_SKEW_FUNC_H_
