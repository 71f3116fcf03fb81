/// \file
/// Throttling of leftover tasks that disturb services.
#pragma once

#include <cstdint>

#include "central/context.h"

namespace cuminmoor::central {

/// \return true if the runner hosts both services and leftover tasks, which may disturb them.
bool hosts_services_and_leftover(const runner_record& r);
/// \return the pace, in percent, at which leftover tasks leave services their headroom that do not
/// disturb them much each.
/// \param latency_percent highest tail latency of a service there, in percent of its target.
std::uint32_t pace_for_headroom(std::int64_t latency_percent);
/// Updates, from the latest report, whether services on the runner meet their targets, and how much
/// latency rise its leftover tasks may cause.
/// \param shown_at time of the state that the report shows.
void observe_latency(const context& c, runner_record& r, instant shown_at);
/// Orders the paces of the runner's leftover tasks.
void pace_runner(const context& c, runner_record& r);
/// Pauses the leftover tasks if reports about the runner's services are overdue.
void pause_if_reports_are_overdue(const context& c, runner_record& r);

} // namespace cuminmoor::central
