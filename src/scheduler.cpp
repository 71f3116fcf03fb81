/// \file
/// Entry point of the scheduler in the reducer: dispatches each event to the modules that handle
/// it.
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

void on_tick(context& c)
{
    poll_lease(c);
    drive_recovery(c);
    drive_inbox(c);
    drive_commit(c);
    drive_checkpoint(c);
    sync_workers(c);
}

void on_read_done(context& c, const store_read_done& e)
{
    if (e.token.user == store_user::lease) {
        on_lease_read(c, e);
        on_read_back(c, e);
    }
    else if (e.token.user == store_user::scheduler) {
        on_recovery_rows(c, e);
        on_inbox_rows(c, e);
    }
}

void on_object_done(context& c, const object_done& e)
{
    if (e.token.user == store_user::scheduler) {
        on_recovery_object(c, e);
        on_checkpoint_put(c, e);
    }
}

void on_peer(context& c, const peer_received& e)
{
    const auto* const hint = std::get_if<peer_inbox_hint>(&e.message);
    if (hint != nullptr && hint->failure_domain == c.s.self.failure_domain) {
        c.s.scheduler.inbox.next_scan = c.now;
    }
}

} // namespace

void handle_scheduler(context& c, const event& e)
{
    std::visit(overloaded{
                   [&c](const tick&) { on_tick(c); },
                   [&c](const store_committed& x) {
                       if (x.token.user == store_user::scheduler) {
                           on_commit_answer(c, x);
                       }
                   },
                   [&c](const store_read_done& x) { on_read_done(c, x); },
                   [&c](const object_done& x) { on_object_done(c, x); },
                   [&c](const vm_list_done&) { refresh_workers(c); },
                   [&c](const worker_synced& x) { on_worker_synced(c, x); },
                   [&c](const peer_received& x) { on_peer(c, x); },
                   [](const auto&) {},
               },
               e);
}

} // namespace cuminmoor
