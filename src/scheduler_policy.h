/// \file
/// Inputs of the policies, from the ledger and the workers' reports.
#pragma once

#include <string>

#include "context.h"
#include "cuminmoor/interference.h"

namespace cuminmoor {

/// \return the class of the job in the interference model.
const std::string& class_of(const job_spec& job);

/// \return the number of cores of `size`.
double cores_of(const resources& size);

/// \return the work assigned to the worker in the ledger, by batch class and service.
workload_mix workload_mix_of(const ledger& job_ledger, const vm_id& worker);

/// Updates the interference model with the tail latencies in a worker's report.
void update_interference(context& c, const vm_id& worker, const worker_report& report);

} // namespace cuminmoor
