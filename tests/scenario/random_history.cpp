/// \file
/// Randomized fault injection: one short history of faults generated from a seed.
#include "scenario/random_history.h"

#include <array>

namespace cuminmoor::scenario {

namespace {

constexpr int fault_steps{10};
constexpr millis max_pause{1'800};
constexpr millis max_finish_time{60'000};
constexpr std::uint32_t tasks_per_job{4};

/// Draws at most one random number a statement: the order of evaluation of operands and arguments
/// differs between processors, and a seed must give the same history on all of them.
class history {
public:
    history(std::uint64_t seed, const protocol_switches& switches)
        : random_{seed ^ 0x5eedULL}, w_{seed, switches}
    {
        w_.add_domain("a", 2, 2);
        w_.add_domain("b", 2, 2);
    }

    history_result run()
    {
        w_.run_for({2'500});
        for (int i = 0; i < fault_steps && w_.check.violation().empty(); ++i) {
            inject_fault();
            w_.run_for({static_cast<std::int64_t>(random_below(max_pause.count))});
        }
        heal_and_finish_work();
        return {w_.check.violation(), w_.check.longest_start_after_out(),
                w_.check.longest_start_after_leaving(), w_.counters()};
    }

private:
    std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
    std::string random_domain() { return random_below(2) == 0 ? "a" : "b"; }
    std::string random_vm()
    {
        const std::string fd = random_domain();
        const std::string leader = w_.leader(fd);
        return random_below(2) == 0 && !leader.empty() ? leader
                                                       : fd + std::to_string(1 + random_below(2));
    }
    std::string random_worker()
    {
        const std::string number = std::to_string(1 + random_below(2));
        return random_domain() + "w" + number;
    }

    void submit()
    {
        // Some owners submit the same job twice.
        const bool is_duplicate = jobs_ > 0 && random_below(5) == 0;
        const std::uint64_t number = is_duplicate ? 1 + random_below(jobs_) : ++jobs_;
        const std::string fd = domain_of_.try_emplace(number, random_domain()).first->second;
        const auto cores = static_cast<std::int64_t>(8 + random_below(20));
        const millis run_time{static_cast<std::int64_t>(random_below(4'000))};
        w_.submit("j" + std::to_string(number), fd, tasks_per_job, run_time, cores);
    }

    void inject_store_fault()
    {
        constexpr std::array faults{store_fault::none, store_fault::down, store_fault::slow,
                                    store_fault::lose_answers, store_fault::lose_answers};
        w_.fault = faults.at(random_below(faults.size()));
        w_.store_delay = {static_cast<std::int64_t>(random_below(2'500))};
    }

    void inject_entry_vm_fault()
    {
        const std::string vm = random_vm();
        switch (random_below(6)) {
        case 0:
            w_.kill(vm);
            w_.add_entry_vm(vm);
            return;
        case 5:
            w_.stop(vm);
            w_.add_entry_vm(vm.substr(0, 1) + std::to_string(next_vm_++));
            return;
        case 1:
            w_.freeze(vm);
            return;
        case 2:
            w_.thaw(vm);
            return;
        case 3:
            w_.vms[vm].cut_store = !w_.vms[vm].cut_store;
            return;
        default:
            w_.vms[vm].cut_workers = !w_.vms[vm].cut_workers;
            return;
        }
    }

    void inject_worker_fault()
    {
        const std::string worker = random_worker();
        switch (random_below(6)) {
        case 0:
            w_.restart_worker(worker);
            return;
        case 4:
            if (w_.workers.contains(worker)) {
                w_.workers.at(worker).fails_all_attempts = true;
            }
            return;
        case 1:
            w_.freeze(worker);
            return;
        case 2:
            w_.thaw(worker);
            return;
        case 3:
            w_.sync_delay = {static_cast<std::int64_t>(random_below(2'500))};
            return;
        default:
            // One worker per failure domain stays, so that all work can finish.
            (random_below(2) == 0) ? w_.end_worker(random_domain() + "w1")
                                   : w_.leave(random_domain() + "w1");
            return;
        }
    }

    void cancel()
    {
        const std::string fd = random_domain();
        w_.cancel("j" + std::to_string(1 + random_below(jobs_ + 1)), fd);
    }

    void toggle_domain()
    {
        const failure_domain_id fd{random_domain()};
        if (domains_out_.contains(fd)) {
            domains_out_.erase(fd);
            w_.change(bring_domain_in{fd});
            return;
        }
        domains_out_.insert(fd);
        w_.change(take_domain_out{fd});
    }

    void inject_fault()
    {
        switch (random_below(9)) {
        case 0:
        case 1:
        case 2:
            submit();
            return;
        case 3:
            inject_store_fault();
            return;
        case 4:
        case 5:
            inject_entry_vm_fault();
            return;
        case 6:
            inject_worker_fault();
            return;
        case 7:
            toggle_domain();
            return;
        default:
            cancel();
            return;
        }
    }

    bool has_finished_work()
    {
        for (const auto& [fd, job_ledger] : w_.check.ledgers()) {
            for (const auto& [id, job] : job_ledger.jobs) {
                if (!job.has_ended()) {
                    return false;
                }
            }
        }
        return w_.table.read({{}, {}, {{"fd/a/inbox/", "", 1}, {"fd/b/inbox/", "", 1}}}).empty();
    }

    void heal_and_finish_work()
    {
        w_.heal();
        for (const auto& fd : domains_out_) {
            w_.change(bring_domain_in{fd});
        }
        const instant end = w_.now() + max_finish_time;
        while (w_.now() < end && w_.check.violation().empty() && !has_finished_work()) {
            w_.run_for({500});
        }
        if (!has_finished_work()) {
            w_.check.fail("some jobs or inbox rows are still open at the end");
        }
    }

    std::mt19937_64 random_;
    world w_;
    std::uint64_t jobs_{0};
    std::map<std::uint64_t, std::string> domain_of_;
    std::uint64_t next_vm_{3};
    std::set<failure_domain_id> domains_out_;
};

} // namespace

history_result run_random_history(std::uint64_t seed, const protocol_switches& switches)
{
    return history{seed, switches}.run();
}

} // namespace cuminmoor::scenario
