/// \file
/// Measures how late ticks are while results of runners wait: the daemon's event queue and the
/// central reducer on a virtual clock that advances by the processor time that the steps take,
/// divided by the VM's share of a core. Reading an answer and sending the next hold
/// cost an assumed time. Usage: busy_loop_bench
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cuminmoor/central/state.h"
#include "event_queue.h"

namespace cuminmoor::central::bench {

namespace {

constexpr std::int64_t ns_per_ms{1'000'000};
constexpr std::int64_t core{1'000};
constexpr instant first_time{1'000};
/// Assumed processor time of the connections for an answer and the hold after it.
constexpr std::int64_t answer_io_ns{100'000};
/// Time between two answers of a runner where all answer at once.
constexpr millis common_period{2'000};
constexpr millis change_period{100};

struct load {
    const char* name;
    std::int64_t milli_cores;
    std::size_t runners;
    std::uint64_t ready_steps;
    /// All runners answer at once, or this many each second in turn.
    std::int64_t answers_per_second;
    /// The registry tells of all runners anew now and then, so that all are offered again.
    bool runners_change;
};

std::int64_t processor_time_ns()
{
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return t.tv_sec * 1'000 * ns_per_ms + t.tv_nsec;
}

runner_entry entry_of(std::size_t i)
{
    runner_entry entry;
    entry.id.value = absl::StrCat("runner-", i);
    entry.service.value = "renders";
    entry.address = absl::StrCat("10.1.0.", i, ":9000");
    entry.capacity = {1'000, 4'000, 0};
    entry.started_at_ms = 1;
    return entry;
}

/// \return a job whose only task fits on no runner, and whose rejection tells nothing of the
/// others.
graph_job job_of_own_size(std::uint64_t n)
{
    graph_job job;
    job.id.value = absl::StrCat(100'000 + n);
    job.queue.value = "q";
    graph_step step;
    step.tasks = 1;
    step.run_time = millis{1'000};
    const auto own = static_cast<std::int64_t>(n);
    step.task_size = {2'000 + own, 10'000 - own, 0};
    job.steps.push_back(step);
    return job;
}

class busy_loop {
public:
    explicit busy_loop(const load& l) : load_{l}
    {
        state_.self.capacity = {l.milli_cores, 0};
        state_.lease.current_role = role::scheduler;
        state_.lease.term.value = 1;
        state_.lease.may_grant = true;
        state_.lease.renewed_at = first_time;
        state_.store_is_reachable = true;
        queue q;
        q.name.value = "q";
        q.service.value = "renders";
        operator_changed operators;
        operators.view.newest = {1, {q}};
        step(operators);
        step(registry());
        for (std::uint64_t n{1}; n <= l.ready_steps; ++n) {
            step(peer_call_received{
                {n},
                {call_kind::submit, {"q"}, 1, job_of_own_size(n).id, job_of_own_size(n), {}, {}},
                {3'000}});
        }
    }

    void run()
    {
        begin_measurement();
        while (now() < end_) {
            const instant before = now();
            arrive();
            if (load_.runners_change && now() >= next_change_at_) {
                next_change_at_ = now() + change_period;
                queue_.push(registry());
            }
            if (now() >= state_.wake_at && !is_tick_queued_) {
                is_tick_queued_ = true;
                tick_due_at_ = state_.wake_at;
                queue_.push(tick{});
            }
            take_all();
            if (queue_.needs_slice()) {
                queue_.begin_slice(now());
                take_all();
                queue_.end_slice(now());
            }
            else if (now() == before) {
                skipped_ns_ += ns_per_ms;
            }
        }
    }

    void print() const
    {
        const scheduler_state& s = state_.scheduler;
        std::printf("%s milli_cores=%lld max_tick_late_ms=%lld ticks=%llu answers=%llu "
                    "max_answer_wait_ms=%lld rounds=%llu placement_share=%.2f steps_waiting=%zu\n",
                    load_.name, static_cast<long long>(load_.milli_cores),
                    static_cast<long long>(max_tick_late_.count),
                    static_cast<unsigned long long>(ticks_),
                    static_cast<unsigned long long>(answers_),
                    static_cast<long long>(max_answer_wait_.count),
                    static_cast<unsigned long long>(s.placement_rounds),
                    static_cast<double>(placement_ns_) / static_cast<double>(ns_per_ms) /
                        static_cast<double>(run_length.count),
                    s.ready.size());
    }

private:
    static constexpr millis run_length{20'000};

    void begin_measurement()
    {
        end_ = now() + run_length;
        ticks_ = 0;
        max_tick_late_ = {};
        placement_ns_ = 0;
    }

    [[nodiscard]] registry_changed registry() const
    {
        registry_changed all{.is_snapshot = true, .present = {}, .removed = {}};
        for (std::size_t i{0}; i < load_.runners; ++i) {
            all.present.push_back(entry_of(i));
        }
        return all;
    }

    [[nodiscard]] instant now() const
    {
        return first_time + millis{(busy_ns_ + skipped_ns_) / ns_per_ms};
    }

    void take_all()
    {
        while (const auto e = queue_.take(now())) {
            if (std::holds_alternative<tick>(*e)) {
                is_tick_queued_ = false;
                ++ticks_;
                max_tick_late_ = std::max(max_tick_late_, now() - tick_due_at_);
            }
            else if (const auto* const report = std::get_if<runner_hold_ended>(&*e)) {
                ++answers_;
                busy_ns_ += answer_io_ns * core / load_.milli_cores;
                max_answer_wait_ = std::max(max_answer_wait_, now() - arrived_at_[report->runner]);
            }
            step(*e);
        }
    }

    void step(const event& e)
    {
        state_.lease.renewed_at = now();
        const std::uint64_t rounds = state_.scheduler.placement_rounds;
        const std::int64_t before = processor_time_ns();
        const effects out = reduce(state_, e, now(), {1'700'000'000'000});
        const std::int64_t took = (processor_time_ns() - before) * core / load_.milli_cores;
        busy_ns_ += took;
        placement_ns_ += state_.scheduler.placement_rounds > rounds ? took : 0;
        end_step(state_, now());
        queue_.set_next_tick(state_.wake_at);
        for (const effect& each : out) {
            if (const auto* const hold = std::get_if<runner_hold>(&each)) {
                holds_.emplace(now() + hold->wait, hold->runner);
            }
            else if (const auto* const commit = std::get_if<rows_commit>(&each)) {
                if (commit->purpose != commit_purpose::lease) {
                    queue_.push(rows_committed{commit->purpose, commit->number, store_outcome::ok,
                                               ++version_});
                }
            }
        }
    }

    [[nodiscard]] static instant next_common_answer(instant at)
    {
        const std::int64_t period = common_period.count;
        return {(at.ms + period - 1) / period * period};
    }

    /// Reads the answers that the runners have given by now.
    void arrive()
    {
        const bool is_paced = load_.answers_per_second > 0;
        while (!holds_.empty()) {
            const auto next = holds_.begin();
            const millis interval{is_paced ? 1'000 / load_.answers_per_second : 0};
            const instant at = is_paced ? next_answer_at_ : next_common_answer(next->first);
            if (now() < at) {
                return;
            }
            next_answer_at_ = std::max(next_answer_at_, now() - millis{1'000}) + interval;
            runner_hold_ended report;
            report.runner = next->second;
            report.result = order_result::done;
            report.clock = remote_instant{now().ms};
            report.started_at_ms = 1;
            report.term = state_.lease.term;
            arrived_at_[report.runner] = now();
            queue_.push(report);
            holds_.erase(next);
        }
    }

    load load_;
    central_state state_;
    io::event_queue queue_;
    std::int64_t busy_ns_{0};
    std::int64_t skipped_ns_{0};
    instant end_;
    /// Holds that are open, by the time of their answer.
    std::multimap<instant, runner_id> holds_;
    std::map<runner_id, instant> arrived_at_;
    instant next_answer_at_{first_time};
    instant next_change_at_{first_time};
    row_version version_{0};
    bool is_tick_queued_{false};
    instant tick_due_at_;
    std::uint64_t ticks_{0};
    millis max_tick_late_;
    std::uint64_t answers_{0};
    millis max_answer_wait_;
    std::int64_t placement_ns_{0};
};

} // namespace

} // namespace cuminmoor::central::bench

int main()
{
    using namespace cuminmoor::central::bench;
    for (const std::int64_t milli_cores : {1'000, 500, 69}) {
        for (const load& l :
             {load{"all_answer_at_once", milli_cores, 540, 0, 0, false},
              load{"all_answer_at_once_1100_steps", milli_cores, 540, 1'100, 0, false},
              load{"no_room", milli_cores, 350, 1'100, 100, false},
              load{"no_room_on_changing_runners", milli_cores, 350, 1'100, 100, true}}) {
            busy_loop loop{l};
            loop.run();
            loop.print();
        }
    }
    return 0;
}
