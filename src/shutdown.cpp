/// \file
/// Graceful shutdown: rejects new work, completes work in progress and hands over the lease.
#include "context.h"

namespace cuminmoor {

namespace {

bool is_drained(const state& s)
{
    return s.requests.open.empty() && s.commands.open.empty() &&
           s.scheduler.lease.role == lease_role::observer && !s.scheduler.pending;
}

} // namespace

void handle_shutdown(context& c, const event& e)
{
    if (std::holds_alternative<shutdown_requested>(e)) {
        c.s.stopping = true;
    }
    if (c.s.stopping && std::holds_alternative<tick>(e) && is_drained(c.s)) {
        c.out.add(shutdown_complete{});
    }
}

} // namespace cuminmoor
