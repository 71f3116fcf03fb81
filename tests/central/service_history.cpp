/// \file
/// Implementation of the random histories of services.
#include "service_history.h"

#include <algorithm>
#include <utility>

#include "service_fixture.h"

namespace cuminmoor::central::test {

namespace {

constexpr std::size_t vms{8};
constexpr std::size_t runners{30};
constexpr std::uint64_t services{8};
constexpr std::uint32_t tasks_of_service{6};
constexpr resources runner_capacity{32'000, 128'000, 0};
/// Time between two looks at the services.
constexpr millis step{50};
constexpr instant first_stop{15'000};
constexpr millis stop_interval{1'300};
/// Time from the first stop to the loss of the store.
constexpr millis store_loss_delay{14'300};
constexpr millis faults_before_stop{3'000};
/// The registry drops a runner that has been cut off for this long.
constexpr millis listed_time{4'500};
constexpr instant end_of_load{45'000};
constexpr instant end_of_history{70'000};

graph_task_id service_task(std::uint64_t service, std::uint32_t index)
{
    graph_task_id id;
    id.job.value = id_of(service);
    id.index = index;
    return id;
}

} // namespace

service_history::service_history(const history_options& options)
    : options_{options}, w_{{.seed = options.seed,
                             .vms = vms,
                             .runners = runners,
                             .runner_capacity = runner_capacity}},
      random_{options.seed * 7919}
{
}

void service_history::play()
{
    submit_services();
    plan_history();
    while (w_.now() < end_of_history) {
        run_due_actions();
        if (w_.now() < end_of_load) {
            submit_batch_job();
            fail_a_service();
        }
        w_.run_for(step);
        judge();
    }
    for (const auto& [task, gap] : open_gaps_) {
        end_gap(gap);
    }
}

std::int64_t service_history::below(std::int64_t bound)
{
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound));
}

std::size_t service_history::random_runner()
{
    return static_cast<std::size_t>(below(runners));
}

instant service_history::random_time()
{
    return first_stop + millis{below(20'000)};
}

std::optional<instant> service_history::time_in_one_of(std::int64_t cases)
{
    return below(cases) == 0 ? std::optional{random_time()} : std::nullopt;
}

void service_history::at(instant when, action run)
{
    plan_.emplace(when, std::move(run));
}

void service_history::fault(instant when, millis length, action begin, action end)
{
    at(when, [this, end_of_fault = when + length, begin = std::move(begin)] {
        disturbed_until_ = std::max(disturbed_until_, end_of_fault);
        begin();
    });
    at(when + length, std::move(end));
}

template <typename T>
void service_history::set_during(instant when, millis length, T world_faults::*what, T value)
{
    fault(
        when, length, [this, what, value] { w_.faults.*what = value; },
        [this, what] { w_.faults.*what = T{}; });
}

void service_history::submit_services()
{
    w_.run_for(warm_up);
    for (std::uint64_t n{1}; n <= services; ++n) {
        graph_job job = central_world::make_job(id_of(n), 1, tasks_of_service, {400});
        job.steps[0].is_service = true;
        w_.submit(n % vms, job);
    }
    w_.run_for({2'000});
}

void service_history::plan_history()
{
    plan_stops();
    plan_store_loss();
    plan_cuts();
    if (options_.has_waves) {
        plan_waves();
    }
    plan_order_faults();
    plan_report_faults();
    plan_lost_paths();
    plan_vm_faults();
}

/// Planned: users accept no gap for these.
void service_history::plan_stops()
{
    const std::int64_t stops = 1 + below(4);
    for (std::int64_t i{0}; i < stops; ++i) {
        at(first_stop + stop_interval * i, [this] { stop_scheduler(); });
    }
}

void service_history::stop_scheduler()
{
    const std::optional<std::size_t> vm = w_.scheduler();
    if (!vm) {
        return;
    }
    w_.stop_gracefully(*vm);
    const millis down{5'000 + below(1'000)};
    at(w_.now() + down, [this, vm = *vm] { w_.restart(vm); });
}

void service_history::plan_store_loss()
{
    std::set<std::size_t> hit;
    for (std::size_t vm{0}; vm < vms; ++vm) {
        if (below(3) == 0) {
            hit.insert(vm);
        }
    }
    const bool hits_scheduler = below(2) == 0;
    const millis length{4'000 + below(6'000)};
    const auto begin = [this, hit, hits_scheduler] {
        w_.faults.vms_without_store = hit;
        if (const auto vm = w_.scheduler(); vm && hits_scheduler) {
            w_.faults.vms_without_store.insert(*vm);
        }
    };
    fault(first_stop + store_loss_delay, length, begin,
          [this] { w_.faults.vms_without_store.clear(); });
}

void service_history::plan_cuts()
{
    const std::int64_t groups = 1 + below(4);
    for (std::int64_t i{0}; i < groups; ++i) {
        const instant when = first_stop - faults_before_stop + millis{below(24'000)};
        const millis length{2'000 + below(6'000)};
        const bool crashes = below(2) == 0;
        const std::int64_t count = 1 + below(6);
        for (std::int64_t k{0}; k < count; ++k) {
            const std::size_t runner = random_runner();
            const millis delay{below(300)};
            cut_off(runner, when + delay, length, crashes);
        }
    }
}

void service_history::plan_waves()
{
    const instant when = first_stop - faults_before_stop + millis{below(12'000)};
    const std::int64_t waves = 3 + below(4);
    const millis period{1'500 + below(3'000)};
    const millis length{500 + below(4'500)};
    const std::int64_t count = 2 + below(9);
    const bool crashes = below(2) == 0;
    for (std::int64_t wave{0}; wave < waves; ++wave) {
        for (std::int64_t k{0}; k < count; ++k) {
            const std::size_t runner = random_runner();
            const millis delay{below(100)};
            cut_off(runner, when + period * wave + delay, length, crashes);
        }
    }
}

/// No VM reaches the runner for a while. If it crashes, its runs are lost; otherwise they go on
/// until their leases expire.
void service_history::cut_off(std::size_t runner, instant when, millis length, bool crashes)
{
    const auto begin = [this, runner, crashes] {
        if (crashes) {
            w_.runner(runner).crash(w_.now());
            w_.runner(runner).is_up = false;
        }
        w_.faults.unreachable_runners.insert(runner);
    };
    const auto end = [this, runner] {
        w_.faults.unreachable_runners.erase(runner);
        w_.runner(runner).is_up = true;
    };
    fault(when, length, begin, end);
    if (length > listed_time) {
        const millis until_listed = length + millis{below(1'500)};
        at(when + listed_time, [this, runner] { w_.set_listed(runner, false); });
        at(when + until_listed, [this, runner] { w_.set_listed(runner, true); });
    }
}

void service_history::plan_order_faults()
{
    if (const auto when = time_in_one_of(3)) {
        set_during(*when, {4'000}, &world_faults::late_orders, 0.06);
    }
    if (const auto when = time_in_one_of(3)) {
        const millis length{3'000 + below(8'000)};
        set_during(*when, length, &world_faults::kept_connections_are_silent, true);
    }
    for (double world_faults::*const share :
         {&world_faults::lost_orders, &world_faults::unsent_orders}) {
        if (const auto when = time_in_one_of(3)) {
            const double value = 0.02 + 0.01 * static_cast<double>(below(20));
            set_during(*when, {4'000}, share, value);
        }
    }
}

void service_history::plan_report_faults()
{
    if (const auto when = time_in_one_of(3)) {
        const millis delay{below(1'500)};
        set_during(*when, {6'000}, &world_faults::report_delay, delay);
    }
    if (const auto when = time_in_one_of(3)) {
        const millis wait{below(1'000)};
        set_during(*when, {6'000}, &world_faults::runner_event_wait, wait);
    }
}

void service_history::plan_vm_faults()
{
    if (const auto when = time_in_one_of(4)) {
        set_during(*when, {4'500}, &world_faults::lost_commits, 0.35);
    }
    if (const auto when = time_in_one_of(4)) {
        fault(
            *when, {1'000}, [this] { kill_scheduler(); }, [] {});
    }
    if (const auto when = time_in_one_of(4)) {
        fault(
            *when, {5'000}, [this] { freeze_scheduler(); }, [] {});
    }
}

void service_history::freeze_scheduler()
{
    if (const auto vm = w_.scheduler()) {
        w_.freeze(*vm, {1'000 + below(4'000)});
    }
}

void service_history::kill_scheduler()
{
    constexpr millis downtime{3'500};
    if (const auto vm = w_.scheduler()) {
        w_.kill(*vm);
        at(w_.now() + downtime, [this, vm = *vm] { w_.restart(vm); });
    }
}

/// Some VMs cannot reach some runners.
void service_history::plan_lost_paths()
{
    const auto when = time_in_one_of(4);
    if (!when) {
        return;
    }
    std::set<std::size_t> to_runners;
    for (std::size_t runner{0}; runner < runners; ++runner) {
        if (below(5) == 0) {
            to_runners.insert(runner);
        }
    }
    fault(
        *when, {5'500}, [this, to_runners] { lose_paths(to_runners); },
        [this] { w_.faults.unreachable_runner_paths.clear(); });
}

void service_history::lose_paths(const std::set<std::size_t>& to_runners)
{
    for (std::size_t vm{0}; vm < vms; ++vm) {
        for (const std::size_t runner : to_runners) {
            if (below(3) == 0) {
                w_.faults.unreachable_runner_paths.insert({vm, runner});
            }
        }
    }
}

void service_history::run_due_actions()
{
    while (!plan_.empty() && plan_.begin()->first <= w_.now()) {
        const action run = std::move(plan_.begin()->second);
        plan_.erase(plan_.begin());
        run();
    }
}

void service_history::submit_batch_job()
{
    if (below(4) != 0) {
        return;
    }
    const auto steps = static_cast<std::size_t>(1 + below(2));
    const auto tasks = static_cast<std::uint32_t>(1 + below(8));
    const millis run_time{200 + below(2'500)};
    const auto vm = static_cast<std::size_t>(below(vms));
    w_.submit(vm, central_world::make_job(id_of(next_job_++), steps, tasks, run_time));
}

/// Ends the run of a service by its own failure.
void service_history::fail_a_service()
{
    if (below(20) != 0) {
        return;
    }
    fake_runner& r = w_.runner(random_runner());
    std::vector<graph_task_id> running;
    for (const auto& [task, each] : r.running) {
        if (each.behaviour.is_service) {
            running.push_back(task);
        }
    }
    if (!running.empty()) {
        const auto chosen = below(static_cast<std::int64_t>(running.size()));
        r.fail(running[static_cast<std::size_t>(chosen)], w_.now());
    }
}

std::map<graph_task_id, std::size_t> service_history::running_services()
{
    std::map<graph_task_id, std::size_t> running;
    for (std::size_t i{0}; i < runners; ++i) {
        for (const auto& [task, each] : w_.runner(i).running) {
            if (each.behaviour.is_service) {
                running[task] = i;
            }
        }
    }
    return running;
}

void service_history::judge()
{
    const auto running = running_services();
    for (std::uint64_t n{1}; n <= services; ++n) {
        for (std::uint32_t i{0}; i < tasks_of_service; ++i) {
            const graph_task_id task = service_task(n, i);
            const auto found = running.find(task);
            judge(task, found == running.end() ? std::nullopt : std::optional{found->second});
        }
    }
}

void service_history::judge(const graph_task_id& task, std::optional<std::size_t> runs_on)
{
    const auto open = open_gaps_.find(task);
    if (runs_on) {
        last_runner_[task] = *runs_on;
        if (open != open_gaps_.end()) {
            end_gap(open->second);
            open_gaps_.erase(open);
        }
        return;
    }
    if (open == open_gaps_.end()) {
        const auto last = last_runner_.find(task);
        const auto runner = last == last_runner_.end() ? std::nullopt : std::optional{last->second};
        open_gaps_[task] = {task, w_.now(), w_.now(), runner};
        return;
    }
    service_gap& gap = open->second;
    gap.until = w_.now();
    const bool is_calm = w_.now() - disturbed_until_ >= calm_time;
    gap.is_missed = gap.is_missed || (is_calm && gap.length() >= missed_after);
}

void service_history::end_gap(const service_gap& gap)
{
    if (gap.length() >= missed_after) {
        gaps_.push_back(gap);
    }
}

} // namespace cuminmoor::central::test
