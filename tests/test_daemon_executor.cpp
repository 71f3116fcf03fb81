/// \file
/// Execution of effects: expired effects are not executed and are reported to the core.
#include <criterion/criterion.h>

#include "effect_executor.h"
#include "event_list.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;

namespace {

class fixed_clock final : public cm::clock_source {
public:
    cm::instant now() override { return time; }
    cm::instant time{1'000};
};

/// Fake of all targets that counts the calls.
class recorder final : public io::platform_client,
                       public io::worker_client,
                       public io::runner_client,
                       public io::peer_transport {
public:
    void commit(const cm::store_commit& /*what*/, cm::instant /*t*/) override { ++calls; }
    void read(const cm::store_read& /*what*/, cm::instant /*t*/) override { ++calls; }
    void put(const cm::object_put& /*what*/, cm::instant /*t*/) override { ++calls; }
    void get(const cm::object_get& /*what*/, cm::instant /*t*/) override { ++calls; }
    void read_vms(cm::instant /*t*/) override { ++calls; }
    void sync(const cm::worker_sync& /*what*/, const std::string& address,
              cm::instant /*t*/) override
    {
        last_address = address;
        ++calls;
    }
    void dispatch(const cm::request_dispatch& /*what*/, const std::string& address,
                  cm::instant not_after) override
    {
        last_address = address;
        last_not_after = not_after;
        ++calls;
    }
    void drop(cm::dispatch_handle /*dispatch*/) override { ++calls; }
    void send(const cm::peer_message& /*message*/, const std::string& /*address*/) override
    {
        ++calls;
    }
    [[nodiscard]] io::peer_transport_counts counts() const override { return {}; }
    [[nodiscard]] std::uint16_t port() const override { return 0; }

    int calls{0};
    std::string last_address;
    cm::instant last_not_after;
};

struct fixture {
    recorder targets;
    io::open_calls open;
    io::metrics metrics;
    fixed_clock clock;
    test::event_list events;
    io::effect_executor executor{
        {targets, targets, targets, targets, open, metrics}, clock, events};
    cm::state state;

    fixture()
    {
        cm::vm_entry runner;
        runner.id = {"r1"};
        runner.http_address = "127.0.0.1:7";
        state.membership.vms[runner.id] = runner;
    }
    bool run(cm::effect_body body, cm::instant not_after = cm::never)
    {
        return executor.execute({not_after, std::move(body)}, state);
    }
};

constexpr cm::instant past{999};

cm::request_dispatch dispatch_to(const std::string& vm)
{
    cm::request_dispatch d;
    d.to = {vm};
    return d;
}

cm::worker_sync sync_with(const std::string& vm)
{
    cm::worker_sync s;
    s.worker = {vm};
    return s;
}

} // namespace

Test(effect_executor, expired_effects_are_reported_and_not_executed)
{
    fixture f;
    const cm::store_token token{cm::store_user::lease, 3};
    (void)f.run(cm::store_commit{token, {}}, past);
    cr_assert(f.events.take<cm::store_committed>().outcome == cm::store_outcome::unavailable);
    (void)f.run(cm::store_read{token, {}, {}}, past);
    cr_assert(!f.events.take<cm::store_read_done>().ok);
    (void)f.run(cm::object_put{token, "", ""}, past);
    cr_assert(!f.events.take<cm::object_done>().ok);
    (void)f.run(sync_with("r1"), past);
    cr_assert(!f.events.take<cm::worker_synced>().ok);
    (void)f.run(dispatch_to("r1"), past);
    cr_assert(f.events.take<cm::dispatch_ended>().outcome == cm::dispatch_outcome::not_sent);
    (void)f.run(cm::vm_list_read{}, past);
    cr_assert(!f.events.take<cm::vm_list_done>().ok);
    (void)f.run(cm::peer_send{{"r1"}, cm::peer_inbox_hint{}}, past);
    cr_assert_eq(f.targets.calls, 0);
    cr_assert_eq(f.state.counters.get("effect_expired"), 7);
}

Test(effect_executor, dispatch_uses_the_listed_address_and_deadline)
{
    fixture f;
    (void)f.run(dispatch_to("r1"), cm::instant{1'000});
    cr_assert_eq(f.targets.last_address, "127.0.0.1:7");
    cr_assert(f.targets.last_not_after == cm::instant{1'000});
}

Test(effect_executor, effects_for_an_unlisted_vm_are_reported_as_not_sent)
{
    fixture f;
    (void)f.run(dispatch_to("r9"));
    cr_assert(f.events.take<cm::dispatch_ended>().outcome == cm::dispatch_outcome::not_sent);
    (void)f.run(sync_with("r9"));
    cr_assert(!f.events.take<cm::worker_synced>().ok);
    cr_assert_eq(f.targets.calls, 0);
}

Test(effect_executor, shutdown_complete_is_returned)
{
    fixture f;
    cr_assert(f.run(cm::shutdown_complete{}));
    cr_assert(!f.run(cm::log_event{"x", {}}));
}
