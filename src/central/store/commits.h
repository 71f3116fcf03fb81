/// \file
/// Writing of changes to the store.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

/// Queues a job for the next commit.
void mark_changed(const context& c, job_record& job);
/// Sends or repeats a commit if one is due and none is in flight.
void send_commit(const context& c);
void on_progress_committed(const context& c, const rows_committed& e);
/// Determines the outcome of a commit from the head row that was read.
void on_head_looked_up(const context& c, const rows_read_done& e);

} // namespace cuminmoor::central
