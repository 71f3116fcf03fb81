/// \file
/// Simulated entry VMs, runners, store and network on a virtual clock.
#include "request_driver.h"

#include <algorithm>

namespace cuminmoor::test {

namespace {

constexpr std::int64_t settle_ms{45'000};
constexpr std::int64_t start_ms{3'000};
constexpr std::int64_t us_per_ms{1'000};
constexpr std::int64_t leave_grace_ms{4'000};
constexpr std::int64_t answer_grace_ms{150};
constexpr const char* service_name = "drape-desk";

std::string domain_name(std::size_t n)
{
    return "fd" + std::to_string(n);
}

} // namespace

request_driver::request_driver(const simulation_options& options)
    : options_{options}, rng_{options.seed}
{
    add_vms();
}

std::int64_t request_driver::pick(std::int64_t from, std::int64_t to)
{
    return from + static_cast<std::int64_t>(rng_() % static_cast<std::uint64_t>(to - from + 1));
}

void request_driver::after(std::int64_t ms, std::function<void()> action)
{
    timers_.push({now_ + millis{ms}, next_timer_order_++, std::move(action)});
}

void request_driver::add_vms()
{
    for (std::size_t fd = 0; fd < options_.failure_domains; ++fd) {
        for (std::size_t n = 0; n < options_.entry_vms_per_domain; ++n) {
            auto vm = std::make_unique<entry_vm>();
            vm->s.self = {{"e" + std::to_string(vms_.size())}, {domain_name(fd)}, rng_()};
            vms_.push_back(std::move(vm));
        }
        for (std::size_t n = 0; n < options_.runners_per_domain; ++n) {
            runners_[{"r" + std::to_string(fd) + "-" + std::to_string(n)}].failure_domain = {
                domain_name(fd)};
        }
    }
}

std::vector<vm_entry> request_driver::list() const
{
    std::vector<vm_entry> vms;
    for (const auto& vm : vms_) {
        if (!options_.disabled.entry_vms_unaware_of_each_other) {
            vms.push_back({.id = vm->s.self.vm,
                           .role = vm_role::entry,
                           .phase = vm_phase::live,
                           .failure_domain = vm->s.self.failure_domain,
                           .http_address = "127.0.0.1:1",
                           .peer_address = "127.0.0.1:2",
                           .service = {}});
        }
    }
    for (const auto& [id, r] : runners_) {
        const bool leaving = r.leaving_at <= now_ && !options_.disabled.leaving_not_listed;
        vms.push_back({.id = id,
                       .role = vm_role::runner,
                       .phase = leaving ? vm_phase::leaving : vm_phase::live,
                       .failure_domain = r.failure_domain,
                       .http_address = "127.0.0.1:3",
                       .peer_address = "",
                       .service = {service_name}});
    }
    return vms;
}

simulation_result request_driver::run()
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        deliver(vm, tick{}, pick(0, 50));
    }
    send_requests();
    const instant end = now_ + millis{end_ms_ + settle_ms};
    while (!timers_.empty() && timers_.top().at < end) {
        const timer next = timers_.top();
        timers_.pop();
        now_ = next.at;
        next.action();
    }
    check_attempts();
    check_idle();
    for (const auto& vm : vms_) {
        for (const auto& [name, n] : vm->s.counters.all()) {
            result_.counters[name] += n;
        }
    }
    return std::move(result_);
}

void request_driver::step(std::size_t vm, const event& e)
{
    if (std::holds_alternative<tick>(e)) {
        deliver(vm, tick{}, config::tick_period.count);
    }
    for (const auto& f : reducer_.step(vms_[vm]->s, e, now_)) {
        execute(vm, f);
    }
}

void request_driver::deliver(std::size_t vm, event e, std::int64_t delay_ms)
{
    const auto incarnation = vms_[vm]->s.self.incarnation;
    after(delay_ms, [this, vm, incarnation, e = std::move(e)] {
        auto& target = *vms_[vm];
        if (target.s.self.incarnation != incarnation) {
            return;
        }
        if (target.paused_until > now_) {
            deliver(vm, e, (target.paused_until - now_).count);
            return;
        }
        step(vm, e);
    });
}

void request_driver::execute(std::size_t vm, const effect& f)
{
    if (const auto* d = std::get_if<request_dispatch>(&f.body)) {
        on_dispatch(vm, *d);
    }
    else if (const auto* a = std::get_if<request_answer>(&f.body)) {
        on_answer(vm, *a);
    }
    else if (const auto* commit = std::get_if<store_commit>(&f.body)) {
        on_commit(vm, *commit);
    }
    else if (const auto* read = std::get_if<store_read>(&f.body)) {
        on_read(vm, *read);
    }
    else if (const auto* send = std::get_if<peer_send>(&f.body)) {
        on_peer_send(vm, *send);
    }
    else if (std::holds_alternative<vm_list_read>(f.body)) {
        deliver(vm, vm_list_done{true, list()}, pick(1, 20));
    }
}

void request_driver::on_peer_send(std::size_t vm, const peer_send& send)
{
    if (chance(options_.faults.peer_message_lost)) {
        return;
    }
    for (std::size_t to = 0; to < vms_.size(); ++to) {
        if (to != vm && vms_[to]->s.self.vm == send.to) {
            deliver(to, peer_received{send.message}, pick(0, 3));
        }
    }
}

void request_driver::on_dispatch(std::size_t vm, const request_dispatch& d)
{
    if (chance(options_.faults.not_sent)) {
        deliver(vm, dispatch_ended{d.handle, d.dispatch, dispatch_outcome::not_sent, 0, nullptr},
                pick(0, 5));
    }
    else if (d.to_entry_vm) {
        on_spill(vm, d);
    }
    else {
        const auto at = runners_[d.to].leaving_at;
        if (at != never && now_ > at + millis{leave_grace_ms}) {
            report_violation("new dispatch to leaving runner " + d.to.value);
        }
        after(pick(0, 1), [this, vm, d] { run_on(vm, d); });
    }
}

void request_driver::run_on(std::size_t vm, const request_dispatch& d)
{
    auto& r = runners_[d.to];
    const bool full = r.in_flight >= 2 * config::slots_per_runner;
    if (full || chance(options_.faults.runner_refuses)) {
        deliver(vm, dispatch_ended{d.handle, d.dispatch, dispatch_outcome::refused, 429, nullptr},
                1);
        return;
    }
    result_.max_in_flight = std::max(result_.max_in_flight, ++r.in_flight);
    ++runs_[d.caller.value + "/" + d.id.value];
    ++result_.attempts[attempt_of_[d.handle]].runs;
    const auto duration = pick(options_.service_ms / 2, options_.service_ms * 3 / 2);
    if (!r.hangs) {
        after(duration, [this, vm, d] { finish_run(vm, d); });
    }
}

void request_driver::finish_run(std::size_t vm, const request_dispatch& d)
{
    --runners_[d.to].in_flight;
    if (chance(options_.faults.answer_lost)) {
        const auto reported_outcome = options_.disabled.lost_reported_as_refused
                                          ? dispatch_outcome::refused
                                          : dispatch_outcome::lost;
        deliver(vm, dispatch_ended{d.handle, d.dispatch, reported_outcome, 0, nullptr}, 0);
        return;
    }
    auto body = std::make_shared<const std::string>(d.caller.value + "/" + d.id.value);
    dispatch_ended ended{d.handle, d.dispatch, dispatch_outcome::answered, 200, std::move(body)};
    if (options_.disabled.answers_given_to_wrong_dispatch) {
        const auto& open = vms_[vm]->s.requests.open;
        const auto other = open.begin();
        if (other != open.end()) {
            ended.handle = other->first;
            ended.dispatch = other->second.dispatch;
        }
    }
    deliver(vm, ended, chance(options_.faults.answer_late) ? pick(200, 6'000) : 0);
}

void request_driver::on_spill(std::size_t vm, const request_dispatch& d)
{
    for (std::size_t to = 0; to < vms_.size(); ++to) {
        if (vms_[to]->s.self.vm != d.to) {
            continue;
        }
        const traffic_handle handle{next_handle_++};
        attempt_of_[handle] = attempt_of_[d.handle];
        vms_[to]->replies[handle] = [this, vm, d](const request_answer& a) {
            auto outcome = dispatch_outcome::lost;
            if (a.code == result_code::ok && !chance(options_.faults.answer_lost)) {
                outcome = dispatch_outcome::answered;
            }
            else if (is_certainly_not_run(a.code)) {
                outcome = dispatch_outcome::refused;
            }
            deliver(vm, dispatch_ended{d.handle, d.dispatch, outcome, a.status, a.body},
                    pick(0, 2));
        };
        deliver(to,
                request_arrived{handle, d.caller, d.service, d.id, d.idempotent, d.deadline, d.hops,
                                d.body},
                pick(0, 2));
    }
}

void request_driver::on_answer(std::size_t vm, const request_answer& a)
{
    auto& replies = vms_[vm]->replies;
    const auto found = replies.find(a.handle);
    if (found == replies.end()) {
        report_violation("answered twice or without a request: handle " +
                         std::to_string(a.handle.value));
        return;
    }
    const auto reply = std::move(found->second);
    replies.erase(found);
    reply(a);
}

bool request_driver::apply(const transaction& t)
{
    for (const auto& p : t.preconditions) {
        const auto found = table_.find(p.key);
        const row_version version = found == table_.end() ? 0 : found->second.version;
        if (version != p.version && !options_.disabled.store_ignores_preconditions) {
            return false;
        }
    }
    ++revision_;
    for (const auto& w : t.writes) {
        if (w.value) {
            table_[w.key] = {w.key, *w.value, revision_};
        }
        else {
            table_.erase(w.key);
        }
    }
    return true;
}

void request_driver::on_commit(std::size_t vm, const store_commit& commit)
{
    const auto& faults = options_.faults;
    if (chance(faults.store_unavailable)) {
        deliver(vm, store_committed{commit.token, store_outcome::unavailable, 0}, pick(0, 300));
        return;
    }
    if (chance(faults.store_write_late)) {
        after(pick(1, 8'000), [this, t = commit.body] { (void)apply(t); });
        deliver(vm, store_committed{commit.token, store_outcome::unknown, 0}, 1'500);
        return;
    }
    after(pick(0, 5), [this, vm, commit] {
        const bool applied = apply(commit.body);
        const bool lost = chance(options_.faults.store_answer_lost);
        const auto reported_outcome = applied ? store_outcome::ok : store_outcome::conflict;
        deliver(vm,
                store_committed{commit.token, lost ? store_outcome::unknown : reported_outcome,
                                revision_},
                lost ? 1'500 : pick(0, 5));
    });
}

void request_driver::on_read(std::size_t vm, const store_read& read)
{
    if (chance(options_.faults.store_unavailable)) {
        deliver(vm, store_read_done{read.token, false, now_, {}}, pick(0, 300));
        return;
    }
    store_read_done done{read.token, true, now_, {}};
    for (const auto& key : read.keys) {
        if (const auto found = table_.find(key); found != table_.end()) {
            done.rows.push_back(found->second);
        }
    }
    deliver(vm, done, pick(1, 10));
}

void request_driver::send_requests()
{
    std::int64_t at_us = start_ms * us_per_ms;
    for (std::size_t n = 0; n < options_.requests; ++n) {
        at_us += pick(0, 2 * options_.mean_gap_us);
        end_ms_ = at_us / us_per_ms;
        after(end_ms_, [this, n] {
            if (!sent_.empty() && chance(options_.repeat_permille)) {
                const auto& [key, idempotent] = sent_[rng_() % sent_.size()];
                send_request(key, idempotent);
                return;
            }
            const auto caller = rng_() % options_.callers;
            sent_.emplace_back("c" + std::to_string(caller) + "/" + std::to_string(n),
                               !chance(options_.non_idempotent_permille));
            send_request(sent_.back().first, sent_.back().second);
        });
    }
    after(end_ms_ / 2, [this] {
        runners_.begin()->second.hangs = options_.runner_hangs;
        if (options_.runner_leaves) {
            runners_.begin()->second.leaving_at = now_;
        }
        for (const auto& vm : vms_) {
            if (options_.domain_out) {
                vm->s.configuration.current.domains_out.insert({domain_name(0)});
            }
        }
    });
}

void request_driver::send_request(const std::string& key, bool idempotent)
{
    const std::size_t vm = chance(options_.skew_permille) ? 0 : rng_() % vms_.size();
    const traffic_handle handle{next_handle_++};
    const std::size_t index = result_.attempts.size();
    const instant deadline =
        now_ + millis{pick(options_.min_deadline_ms, options_.max_deadline_ms)};
    result_.attempts.push_back(
        {.key = key, .idempotent = idempotent, .deadline = deadline, .answer_optional = false});
    attempt_of_[handle] = index;
    vms_[vm]->replies[handle] = [this, index](const request_answer& a) {
        auto& sent_attempt = result_.attempts[index];
        ++sent_attempt.answers;
        sent_attempt.code = a.code;
        if (a.code != result_code::ok) {
            return;
        }
        result_.answered_in_time += now_ <= sent_attempt.deadline ? 1 : 0;
        if (!a.body || *a.body != sent_attempt.key) {
            report_violation("received the answer of another request for " + sent_attempt.key);
        }
    };
    const auto slash = key.find('/');
    deliver(vm,
            request_arrived{handle,
                            {key.substr(0, slash)},
                            {service_name},
                            {key.substr(slash + 1)},
                            idempotent,
                            deadline,
                            0,
                            std::make_shared<const std::string>(key)},
            0);
    abandon_later(vm, handle, index);
    inject_vm_faults(vm);
}

void request_driver::abandon_later(std::size_t vm, traffic_handle handle, std::size_t index)
{
    if (!chance(options_.faults.abandoned)) {
        return;
    }
    after(pick(0, 200), [this, vm, handle, index] {
        auto& replies = vms_[vm]->replies;
        if (const auto found = replies.find(handle); found != replies.end()) {
            // An answer in flight at this point is ignored.
            found->second = [](const request_answer&) {};
            result_.attempts[index].answer_optional = true;
            deliver(vm, request_abandoned{handle}, 0);
        }
    });
}

void request_driver::inject_vm_faults(std::size_t vm)
{
    if (chance(options_.faults.vm_pause)) {
        vms_[vm]->paused_until = now_ + millis{pick(100, 8'000)};
    }
    if (!chance(options_.faults.vm_crash)) {
        return;
    }
    after(pick(0, 100), [this, vm] {
        auto fresh = std::make_unique<entry_vm>();
        fresh->s.self = vms_[vm]->s.self;
        fresh->s.self.incarnation = rng_();
        fresh->s.configuration.current.domains_out = vms_[vm]->s.configuration.current.domains_out;
        vms_[vm] = std::move(fresh);
        deliver(vm, tick{}, 1);
    });
}

void request_driver::check_attempts()
{
    const bool vms_fail = options_.faults.vm_crash + options_.faults.vm_pause > 0;
    for (const auto& a : result_.attempts) {
        if (a.answers == 0 && !a.answer_optional && !vms_fail) {
            report_violation("no answer for " + a.key);
        }
        if (a.answers == 1 && is_certainly_not_run(a.code) && a.runs > 0) {
            report_violation("refused as not run, but ran: " + a.key);
        }
    }
    for (const auto& [key, idempotent] : sent_) {
        if (!idempotent && runs_[key] > 1) {
            report_violation("ran " + std::to_string(runs_[key]) + " times: " + key);
        }
    }
}

void request_driver::check_idle()
{
    for (const auto& vm : vms_) {
        const auto& r = vm->s.requests;
        if (!r.open.empty() || r.body_bytes != 0 || !r.claims.empty() || !r.store_calls.empty()) {
            report_violation("entry VM " + vm->s.self.vm.value + " keeps " +
                             std::to_string(r.open.size()) + " requests open after the end");
        }
        for (const auto& [id, service] : r.services) {
            if (service.runners.total_in_flight() != 0 || !service.waiting.empty()) {
                report_violation("entry VM " + vm->s.self.vm.value +
                                 " has slots in use after the end");
            }
        }
    }
}

} // namespace cuminmoor::test
