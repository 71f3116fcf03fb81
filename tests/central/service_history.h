/// \file
/// Random histories of services: planned stops of the scheduling VM in series, a loss of the store
/// by some VMs, and unplanned faults of runners, orders and VMs around them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "central_world.h"

namespace cuminmoor::central::test {

struct history_options {
    std::uint64_t seed{1};
    /// Also cuts off runners several times in a row, at a fixed period.
    bool has_waves{false};
};

/// A time in which a service task had no run.
struct service_gap {
    graph_task_id task;
    instant since;
    instant until;
    /// Index of the runner of its last run; empty: it never ran.
    std::optional<std::size_t> last_runner;
    /// It lasted for `missed_after` after a time without unplanned faults.
    bool is_missed{false};

    [[nodiscard]] millis length() const { return until - since; }
};

class service_history {
public:
    explicit service_history(const history_options& options);

    void play();

    /// \return the gaps of at least `missed_after`.
    [[nodiscard]] const std::vector<service_gap>& gaps() const { return gaps_; }
    [[nodiscard]] const central_world& world() const { return w_; }

private:
    using action = std::function<void()>;

    std::int64_t below(std::int64_t bound);
    std::size_t random_runner();
    instant random_time();
    /// \return a time, in one of `cases` histories.
    std::optional<instant> time_in_one_of(std::int64_t cases);

    void at(instant when, action run);
    /// Plans an unplanned fault, as users see it.
    void fault(instant when, millis length, action begin, action end);
    template <typename T>
    void set_during(instant when, millis length, T world_faults::*what, T value);

    void submit_services();
    void plan_history();
    void plan_stops();
    void plan_store_loss();
    void plan_cuts();
    void plan_waves();
    void plan_order_faults();
    void plan_report_faults();
    void plan_lost_paths();
    void plan_vm_faults();
    void cut_off(std::size_t runner, instant when, millis length, bool crashes);
    void stop_scheduler();
    void freeze_scheduler();
    void kill_scheduler();
    void lose_paths(const std::set<std::size_t>& to_runners);

    void run_due_actions();
    void submit_batch_job();
    void fail_a_service();
    std::map<graph_task_id, std::size_t> running_services();
    void judge();
    void judge(const graph_task_id& task, std::optional<std::size_t> runs_on);
    void end_gap(const service_gap& gap);

    history_options options_;
    central_world w_;
    std::mt19937_64 random_;
    std::multimap<instant, action> plan_;
    /// End of the unplanned faults that have begun.
    instant disturbed_until_;
    std::map<graph_task_id, service_gap> open_gaps_;
    std::map<graph_task_id, std::size_t> last_runner_;
    std::vector<service_gap> gaps_;
    std::uint64_t next_job_{100};
};

} // namespace cuminmoor::central::test
