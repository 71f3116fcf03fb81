/// \file
/// Implementation of the soak's play.
#include "play.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "clients.h"
#include "restart_runner.h"
#include "unruly_clients.h"

namespace soak {

namespace {

constexpr std::int64_t length_ms{60'000};
constexpr std::int64_t ready_limit_ms{20'000};
constexpr std::int64_t tick_ms{5};
constexpr unsigned runner_count{66};
constexpr unsigned service_count{22};
/// Jobs of services have numbers from here on, those of clients are far above.
constexpr unsigned first_service{1'000};
constexpr unsigned first_loop{2'000};

struct domain_size {
    const char* name{nullptr};
    unsigned vms{0};
};
constexpr std::array<domain_size, 4> domains{
    {{"gyeongju-a", 2}, {"ulsan-b", 3}, {"pohang-c", 2}, {"miryang-d", 1}}};

review::queue_options service_queue()
{
    return {.name = "watch",
            .host = "watch.example",
            .path_prefix = "/watch/",
            .max_attempts = 4,
            .priority = 0};
}

review::queue_options batch_queue()
{
    return {.name = "batch",
            .host = "batch.example",
            .path_prefix = "/batch/",
            .max_attempts = 3,
            .priority = 2};
}

std::size_t count_vms()
{
    std::size_t count{0};
    for (const domain_size& each : domains) {
        count += each.vms;
    }
    return count;
}

} // namespace

play::play(std::uint64_t seed, std::string folder)
    : seed_{seed}, folder_{std::move(folder)}, world_{folder_ + "/record.txt"},
      scenario_{draw_scenario(seed, {count_vms(), runner_count, service_count})},
      loops_(scenario_.loops.size())
{
}

std::optional<observations> play::run()
{
    start_cluster();
    if (!world_.wait_until_ready(ready_limit_ms)) {
        return std::nullopt;
    }
    submit_services();
    supervisor_ =
        std::make_unique<supervisor>(world_, vm_count_, folder_, scenario_.restart_after_ms);
    plan_actions();
    started_at_ = review::now_ms();
    world_.log().add("soak starts at " + std::to_string(started_at_));
    client_group clients{world_, vm_count_, batch_queue(), seed_};
    unruly_clients crowds{world_, vm_count_, seed_};
    carry_out_plan();
    crowds.stop();
    clients.stop();
    clients.report(seen_);
    supervisor_->tick();
    seen_.end_ms = review::now_ms();
    seen_.events = world_.events();
    const std::vector<vm_trouble> stops = supervisor_->troubles();
    seen_.troubles.insert(seen_.troubles.end(), stops.begin(), stops.end());
    seen_.own_ends = supervisor_->own_ends();
    return seen_;
}

void play::start_cluster()
{
    world_.set_queues({service_queue(), batch_queue()});
    for (unsigned i{0}; i < runner_count; ++i) {
        review::runner_options options;
        options.id = "i-" + std::to_string(first_service + i);
        options.failure_domain = domains.at(i % domains.size()).name;
        options.labels.push_back(only_on(i));
        world_.add_runner(options);
    }
    for (const domain_size& each : domains) {
        for (unsigned i{1}; i <= each.vms; ++i, ++vm_count_) {
            world_.add_vm(std::string{"edge-"} + each.name + "-" + std::to_string(i), each.name);
        }
    }
}

void play::submit_services()
{
    for (unsigned i{0}; i < scenario_.services.size(); ++i) {
        submit_service(first_service + i, scenario_.services[i], tasks_per_service);
    }
    for (unsigned i{0}; i < scenario_.loops.size(); ++i) {
        submit_service(first_loop + i, service_only_on(scenario_.loops[i].runner), 1);
    }
}

void play::submit_service(unsigned number, const std::string& text, unsigned tasks)
{
    const std::string job = review::job_id(number);
    if (!world_.submit(service_queue(), job, text)) {
        return;
    }
    for (unsigned task{0}; task < tasks; ++task) {
        seen_.lasting_tasks[job + ".0.0." + std::to_string(task)] = review::now_ms();
    }
}

void play::plan_actions()
{
    for (const action& each : scenario_.actions) {
        plan_.emplace(each.at_ms, [this, each] { begin(each); });
    }
}

void play::carry_out_plan()
{
    while (since_start() < length_ms) {
        while (!plan_.empty() && plan_.begin()->first <= since_start()) {
            const auto due = plan_.extract(plan_.begin());
            due.mapped()();
        }
        advance_loops();
        supervisor_->tick();
        review::sleep_ms(tick_ms);
    }
}

void play::advance_loops()
{
    for (std::size_t i{0}; i < loops_.size(); ++i) {
        const loss_loop& loop = scenario_.loops[i];
        const bool is_over =
            loops_[i].losses == loop.losses || since_start() + loop.length_ms > disturbed_until_ms;
        if (!is_over && since_start() >= loop.from_ms) {
            advance_loop(i);
        }
    }
}

void play::advance_loop(std::size_t index)
{
    const loss_loop& loop = scenario_.loops[index];
    loop_progress& progress = loops_[index];
    const std::string task = review::job_id(first_loop + static_cast<unsigned>(index)) + ".0.0.0";
    bool works{false};
    world_.on_loop([&] {
        const review::runner& r = world_.runner_at(loop.runner);
        works = r.is_up() && r.runs(task);
    });
    if (!works || review::now_ms() < progress.back_at) {
        progress.works_since = 0;
        return;
    }
    if (progress.works_since == 0) {
        progress.works_since = review::now_ms();
    }
    if (review::now_ms() - progress.works_since < loop.work_ms) {
        return;
    }
    const act what = loop.is_cut ? act::cut_off : act::crash_runner;
    begin({what, since_start(), loop.length_ms, {}, {loop.runner}, 0});
    if ((loop.stops_with >> static_cast<unsigned>(progress.losses) & 1U) != 0) {
        begin({act::planned_stop, since_start(), 0, {scheduler}, {}, 0});
    }
    ++progress.losses;
    progress.back_at = review::now_ms() + loop.length_ms;
}

void play::begin(const action& drawn)
{
    const action a = resolve(drawn);
    world_.log().add(std::string{"soak: "} + name_of(a.what) + " for " +
                     std::to_string(a.length_ms) + " ms, amount " + std::to_string(a.amount));
    note_trouble(a);
    begin_vm_action(a);
    world_.on_loop([&] {
        begin_store_action(a);
        begin_runner_action(a);
    });
}

action play::resolve(action a)
{
    std::set<std::size_t> vms;
    for (const std::size_t each : a.vms) {
        const auto found = each == scheduler ? supervisor_->scheduling_vm() : std::optional{each};
        if (found) {
            vms.insert(*found);
        }
    }
    a.vms.assign(vms.begin(), vms.end());
    return a;
}

void play::note_trouble(const action& a)
{
    if (is_planned(a.what)) {
        return;
    }
    const time_span when{review::now_ms(), review::now_ms() + a.length_ms};
    seen_.faults.push_back(when);
    if (!a.runners.empty() || a.what == act::silence_runners || a.what == act::late_orders) {
        return;
    }
    for (const std::size_t vm : a.vms) {
        seen_.troubles.push_back({when, vm});
    }
    if (a.vms.empty()) {
        seen_.troubles.push_back({when, std::nullopt});
    }
}

void play::begin_vm_action(const action& a)
{
    for (const std::size_t vm : a.vms) {
        if (a.what == act::planned_stop) {
            supervisor_->stop(vm);
        }
        else if (a.what == act::reload) {
            supervisor_->reload(vm);
        }
        else if (a.what == act::kill_vm) {
            supervisor_->kill_now(vm, a.length_ms);
        }
        else if (a.what == act::pause_vm) {
            supervisor_->pause(vm, a.length_ms);
        }
    }
    if (a.what == act::manifest) {
        change_manifest();
    }
}

void play::begin_store_action(const action& a)
{
    review::store& store = world_.platform();
    if (a.what == act::turn_away) {
        at_entrances(a, [](review::http_server& each) { each.kill(); });
        later(a.length_ms,
              [this, a] { at_entrances(a, [](review::http_server& each) { each.restart(); }); });
    }
    else if (a.what == act::ignore) {
        at_entrances(a, [](review::http_server& each) { each.set_silent(true); });
        later(a.length_ms, [this, a] {
            at_entrances(a, [](review::http_server& each) { each.set_silent(false); });
        });
    }
    else if (a.what == act::store_down) {
        store.set_down(true);
        later(a.length_ms, [&store] { store.set_down(false); });
    }
    else if (a.what == act::store_slow) {
        store.set_slowdown(a.amount);
        later(a.length_ms, [&store] { store.set_slowdown(1); });
    }
    else if (a.what == act::store_late) {
        store.set_late_share(a.amount);
        later(a.length_ms, [&store] { store.set_late_share(0); });
    }
    else if (a.what == act::silence_store) {
        store.silence_open_connections();
    }
}

void play::begin_runner_action(const action& a)
{
    if (a.what == act::cut_off) {
        at_runners(a, [](review::runner& each) { each.set_cut_off(true); });
        later(a.length_ms,
              [this, a] { at_runners(a, [](review::runner& each) { each.set_cut_off(false); }); });
    }
    else if (a.what == act::crash_runner) {
        at_runners(a, [](review::runner& each) {
            if (each.is_up()) {
                each.crash();
            }
        });
        later(a.length_ms, [this, a] {
            at_runners(a, [](review::runner& each) {
                if (!each.is_up()) {
                    each.boot(each.options());
                }
            });
        });
    }
    else if (a.what == act::restart_runner) {
        at_runners(a, [&a](review::runner& each) { restart_runner(each, a.amount); });
    }
    else if (a.what == act::silence_runners) {
        at_runners(a, [](review::runner& each) { each.silence_open_connections(); });
    }
    else if (a.what == act::late_orders) {
        at_runners(a, [&a](review::runner& each) { each.set_late_share(a.amount); });
        later(a.length_ms,
              [this, a] { at_runners(a, [](review::runner& each) { each.set_late_share(0); }); });
    }
}

void play::later(std::int64_t delay_ms, std::function<void()> what)
{
    plan_.emplace(since_start() + delay_ms,
                  [this, what = std::move(what)] { world_.on_loop(what); });
}

void play::at_entrances(const action& a, const std::function<void(review::http_server&)>& what)
{
    for (const std::size_t vm : a.vms) {
        what(*world_.vm_at(vm).store);
    }
}

void play::at_runners(const action& a, const std::function<void(review::runner&)>& what)
{
    if (!a.runners.empty()) {
        for (const std::size_t each : a.runners) {
            what(world_.runner_at(each));
        }
        return;
    }
    for (std::size_t i{0}; i < world_.runner_count(); ++i) {
        what(world_.runner_at(i));
    }
}

void play::change_manifest()
{
    std::vector<review::queue_options> queues{service_queue(), batch_queue()};
    has_extra_queue_ = !has_extra_queue_;
    if (has_extra_queue_) {
        queues.push_back({.name = "extra", .host = "extra.example", .path_prefix = "/extra/"});
    }
    world_.set_queues(queues);
}

} // namespace soak
