/// \file
/// Interfaces between the components of the central scheduler, the headers that most sources
/// use. A
/// job goes from `entry` to `jobs`, is stored by `store`, placed by `placement` within the quota
/// that `organisations` counts, and started and stopped by `runs`; `lease` decides which VM does
/// that.
#pragma once

#include "central/context.h"
#include "central/entry/entry.h"
#include "central/jobs/jobs.h"
#include "central/lease/lease.h"
#include "central/lease/loading.h"
#include "central/organisations/quota.h"
#include "central/organisations/shares.h"
#include "central/placement/disturbance.h"
#include "central/placement/lookahead.h"
#include "central/placement/pacing.h"
#include "central/placement/placement.h"
#include "central/placement/relocation.h"
#include "central/placement/reservations.h"
#include "central/placement/room_estimates.h"
#include "central/placement/run_times.h"
#include "central/placement/runner_selector.h"
#include "central/placement/urgency.h"
#include "central/runs/crashes.h"
#include "central/runs/registry.h"
#include "central/runs/restarts.h"
#include "central/runs/run_orders.h"
#include "central/runs/run_reports.h"
#include "central/runs/runners.h"
#include "central/runs/runs.h"
#include "central/runs/stops.h"
#include "central/store/commits.h"
#include "central/store/unstored_jobs.h"
