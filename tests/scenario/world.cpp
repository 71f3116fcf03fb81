/// \file
/// Virtual clock, entry VMs and simulated network.
#include "scenario/world.h"

#include <iostream>
#include <memory>

#include "absl/strings/str_cat.h"
#include "cuminmoor/config.h"

namespace cuminmoor::scenario {

namespace {

constexpr millis worker_timeout{2'000};
constexpr std::int64_t max_network_delay_ms{8};

/// \return the response event for an effect that expired before it was sent.
std::optional<event> expired_response(const effect_body& body, instant now)
{
    if (const auto* const f = std::get_if<store_commit>(&body)) {
        return store_committed{f->token, store_outcome::unavailable, 0};
    }
    if (const auto* const f = std::get_if<store_read>(&body)) {
        return store_read_done{f->token, false, now, {}};
    }
    if (std::holds_alternative<vm_list_read>(body)) {
        return vm_list_done{};
    }
    if (const auto* const f = std::get_if<worker_sync>(&body)) {
        return worker_synced{f->worker, false, now, {}};
    }
    return std::nullopt;
}

} // namespace

world::world(std::uint64_t seed, const protocol_switches& switches)
    : policies_{make_first_fit_policies()}, reducer_{policies_}, switches_{switches}, random_{seed}
{
}

void world::schedule(instant t, std::function<void()> f)
{
    queue_.emplace(std::pair{std::max(t, now_), next_event_++}, std::move(f));
}

millis world::delay(std::int64_t bound)
{
    return {static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound + 1))};
}

bool world::chance(std::uint32_t permille)
{
    return random_() % 1'000 < permille;
}

void world::run_until(instant end)
{
    while (!queue_.empty() && queue_.begin()->first.first <= end && check.violation().empty()) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key().first;
        next.mapped()();
        check.after_event();
    }
    if (check.violation().empty()) {
        now_ = std::max(now_, end);
    }
}

void world::tick_vm(const std::string& name, std::uint64_t incarnation)
{
    const auto& vm = vms.at(name);
    if (vm.incarnation != incarnation || !vm.alive) {
        return;
    }
    if (!vm.frozen) {
        step(name, tick{});
    }
    schedule(now_ + config::tick_period * 2,
             [this, name, incarnation] { tick_vm(name, incarnation); });
}

void world::deliver(const std::string& name, std::uint64_t incarnation, const event& e)
{
    auto& vm = vms.at(name);
    if (vm.incarnation != incarnation || !vm.alive) {
        return;
    }
    if (vm.frozen) {
        vm.deferred_events.push_back(e);
        return;
    }
    step(name, e);
}

void world::step(const std::string& name, const event& e)
{
    auto& vm = vms.at(name);
    if (trace) {
        std::cerr << now_.ms << " " << name << " event " << e.index() << "\n";
    }
    auto effects = reducer_.step(vm.s, e, local(vm));
    check_lease(name);
    if (!effects.empty()) {
        // The delay allows the process to be frozen between a decision and its effects.
        schedule(now_ + millis{1},
                 [this, name, incarnation = vm.incarnation, deferred = std::move(effects)] {
                     send_all(name, incarnation, deferred);
                 });
    }
}

void world::check_lease(const std::string& name)
{
    const auto& vm = vms.at(name);
    const auto holds = [this](const entry_vm& v) {
        const auto& s = v.s.scheduler;
        return v.alive && s.lease.role == lease_role::holder &&
               !(s.pending && s.pending->next.released) && local(v) < s.lease.valid_until;
    };
    check.on_step(vm.s, holds(vm));
    if (!holds(vm)) {
        return;
    }
    for (const auto& [other_name, other] : vms) {
        if (other_name != name && other.s.self.failure_domain == vm.s.self.failure_domain &&
            holds(other)) {
            check.fail(absl::StrCat(name, " and ", other_name, " hold the lease at the same time"));
        }
    }
}

void world::send_all(const std::string& name, std::uint64_t incarnation,
                     std::vector<effect> effects)
{
    auto& vm = vms.at(name);
    if (vm.incarnation != incarnation || !vm.alive) {
        return;
    }
    for (auto& f : effects) {
        if (vm.frozen) {
            vm.deferred_effects.push_back(std::move(f));
        }
        else {
            send(name, f);
        }
    }
}

void world::send(const std::string& name, const effect& f)
{
    const auto& vm = vms.at(name);
    if (local(vm) >= f.not_after) {
        if (const auto refusal = expired_response(f.body, local(vm))) {
            schedule(now_, [this, name, incarnation = vm.incarnation, e = *refusal] {
                deliver(name, incarnation, e);
            });
        }
        return;
    }
    std::visit([this, &name](const auto& body) { execute(name, body); }, f.body);
}

void world::start_call(const std::string& name, const call& c)
{
    const std::uint64_t incarnation = vms.at(name).incarnation;
    const auto answered = std::make_shared<bool>(false);
    if (!c.request_lost) {
        schedule(now_ + c.request_delay, [this, name, incarnation, answered, c] {
            const event answer = c.process();
            if (c.response_lost) {
                return;
            }
            schedule(now_ + delay(max_network_delay_ms),
                     [this, name, incarnation, answered, answer] {
                         if (!std::exchange(*answered, true)) {
                             deliver(name, incarnation, answer);
                         }
                     });
        });
    }
    schedule(now_ + c.timeout, [this, name, incarnation, answered, e = c.on_timeout] {
        if (!std::exchange(*answered, true)) {
            deliver(name, incarnation, e);
        }
    });
}

world::call world::store_call(const entry_vm& vm)
{
    call c;
    c.request_delay = delay(max_network_delay_ms);
    c.timeout = config::store_timeout;
    c.request_lost = vm.cut_store;
    if (fault == store_fault::slow) {
        c.request_delay = c.request_delay + delay(store_delay.count);
    }
    if (fault == store_fault::lose_answers && chance(lost_permille)) {
        (chance(500) ? c.request_lost : c.response_lost) = true;
    }
    return c;
}

void world::execute(const std::string& name, const store_commit& f)
{
    call c = store_call(vms.at(name));
    c.on_timeout = store_committed{f.token, store_outcome::unknown, 0};
    c.process = [this, f]() -> event {
        if (fault == store_fault::down) {
            return store_committed{f.token, store_outcome::unavailable, 0};
        }
        const auto revision = apply(f.body);
        return store_committed{f.token, revision ? store_outcome::ok : store_outcome::conflict,
                               revision.value_or(0)};
    };
    start_call(name, c);
}

void world::execute(const std::string& name, const store_read& f)
{
    call c = store_call(vms.at(name));
    const instant sent = local(vms.at(name));
    c.on_timeout = store_read_done{f.token, false, sent, {}};
    c.request_lost = c.request_lost ||
                     (vms.at(name).cut_configuration && f.token.user == store_user::configuration);
    c.process = [this, f, sent]() -> event {
        const bool up = fault != store_fault::down;
        return store_read_done{f.token, up, sent, up ? table.read(f) : std::vector<row>{}};
    };
    start_call(name, c);
}

void world::execute(const std::string& name, const object_put& f)
{
    call c = store_call(vms.at(name));
    c.on_timeout = object_done{f.token, false, {}};
    c.process = [this, f]() -> event {
        if (fault == store_fault::down) {
            return object_done{f.token, false, {}};
        }
        table.objects[f.key] = f.body;
        return object_done{f.token, true, {}};
    };
    start_call(name, c);
}

void world::execute(const std::string& name, const object_get& f)
{
    call c = store_call(vms.at(name));
    c.on_timeout = object_done{f.token, false, {}};
    c.process = [this, f]() -> event {
        const auto found = table.objects.find(f.key);
        if (fault == store_fault::down || found == table.objects.end()) {
            return object_done{f.token, fault != store_fault::down, {}};
        }
        return object_done{f.token, true, found->second};
    };
    start_call(name, c);
}

void world::execute(const std::string& name, const vm_list_read& /*f*/)
{
    call c;
    c.request_delay = delay(max_network_delay_ms);
    c.timeout = config::store_timeout;
    c.on_timeout = vm_list_done{};
    c.process = [this]() -> event {
        vm_list_done done{true, {}};
        for (const auto& [id, vm] : listed_vms_) {
            done.vms.push_back(vm);
        }
        return done;
    };
    start_call(name, c);
}

void world::execute(const std::string& name, const peer_send& f)
{
    const auto to = vms.find(f.to.value);
    if (to == vms.end() || vms.at(name).cut_peers || to->second.cut_peers || chance(10)) {
        return;
    }
    schedule(now_ + delay(max_network_delay_ms), [this, f, incarnation = to->second.incarnation] {
        deliver(f.to.value, incarnation, peer_received{f.message});
    });
}

event world::sync_worker(const worker_sync& f, instant sent_at)
{
    auto& worker = workers.at(f.worker.value);
    const auto before = worker.attempts;
    auto report = worker.handle(f, now_);
    for (const auto& [key, a] : worker.attempts) {
        if (!before.contains(key)) {
            for (auto& [other_name, other] : workers) {
                if (!frozen_workers_.contains(other_name)) {
                    other.run_until(now_);
                }
            }
            check.on_start(workers, f.worker.value, key, now_);
        }
    }
    return worker_synced{f.worker, true, sent_at, std::move(report)};
}

void world::execute(const std::string& name, const worker_sync& f)
{
    const auto& vm = vms.at(name);
    const instant sent = local(vm);
    call c;
    // One draw a statement: the order of evaluation of operands differs between processors.
    const millis extra_delay = delay(sync_delay.count);
    c.request_delay = delay(max_network_delay_ms) + extra_delay;
    c.timeout = worker_timeout;
    c.request_lost = vm.cut_workers || !workers.contains(f.worker.value);
    c.on_timeout = worker_synced{f.worker, false, sent, {}};
    c.process = [this, f, sent, failed = c.on_timeout]() -> event {
        if (!workers.contains(f.worker.value)) {
            return failed;
        }
        if (frozen_workers_.contains(f.worker.value)) {
            // The request stays in the socket buffer, and its response arrives after the timeout.
            deferred_syncs_.push_back(f);
            return failed;
        }
        return sync_worker(f, sent);
    };
    start_call(name, c);
}

void world::execute(const std::string& name, const shutdown_complete& /*f*/)
{
    auto& vm = vms.at(name);
    vm.alive = false;
    actual_vms_.erase({name});
    update_list();
}

} // namespace cuminmoor::scenario
