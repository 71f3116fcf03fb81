/// \file
/// What the policies need to know of the workers, from the ledger and the reports.
#pragma once

#include <string>

#include "context.h"
#include "cuminmoor/interference.h"

namespace cuminmoor {

/// \return the class under which a job is learned about.
const std::string& class_of(const job_spec& job);

/// \return the processors of a size, in cores.
double cores_of(const resources& size);

/// \return what is committed to the worker, by class and service.
workload_mix workload_mix_of(const ledger& job_ledger, const vm_id& worker);

/// Learns from the worker's newest report.
void update_interference(context& c, const vm_id& worker, const worker_report& report);

} // namespace cuminmoor
