/// \file
/// One short history with faults drawn from a seed.
#include "scenario/random_history.h"

#include <array>

namespace cuminmoor::scenario {

namespace {

constexpr int fault_steps{10};
constexpr millis longest_pause{1'800};
constexpr millis time_to_settle{60'000};
constexpr std::uint32_t tasks_per_job{4};

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
            disturb();
            w_.run_for({static_cast<std::int64_t>(pick(longest_pause.count))});
        }
        settle();
        return {w_.check.violation(), w_.check.longest_start_after_out(),
                w_.check.longest_start_after_leaving(), w_.counters()};
    }

private:
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    std::string any_domain() { return pick(2) == 0 ? "a" : "b"; }
    std::string any_vm()
    {
        const std::string fd = any_domain();
        const std::string leader = w_.leader(fd);
        return pick(2) == 0 && !leader.empty() ? leader : fd + std::to_string(1 + pick(2));
    }
    std::string any_worker() { return any_domain() + "w" + std::to_string(1 + pick(2)); }

    void submit()
    {
        // Some owners submit the same job again.
        const bool again = jobs_ > 0 && pick(5) == 0;
        const std::uint64_t number = again ? 1 + pick(jobs_) : ++jobs_;
        const std::string fd = domain_of_.try_emplace(number, any_domain()).first->second;
        w_.submit("j" + std::to_string(number), fd, tasks_per_job,
                  {static_cast<std::int64_t>(pick(4'000))},
                  static_cast<std::int64_t>(8 + pick(20)));
    }

    void disturb_store()
    {
        constexpr std::array faults{store_fault::none, store_fault::down, store_fault::slow,
                                    store_fault::lose_answers, store_fault::lose_answers};
        w_.fault = faults.at(pick(faults.size()));
        w_.store_delay = {static_cast<std::int64_t>(pick(2'500))};
    }

    void disturb_entry_vm()
    {
        const std::string vm = any_vm();
        switch (pick(6)) {
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

    void disturb_worker()
    {
        const std::string worker = any_worker();
        switch (pick(6)) {
        case 0:
            w_.restart_worker(worker);
            return;
        case 4:
            if (w_.workers.contains(worker)) {
                w_.workers.at(worker).fails_everything = true;
            }
            return;
        case 1:
            w_.freeze(worker);
            return;
        case 2:
            w_.thaw(worker);
            return;
        case 3:
            w_.sync_delay = {static_cast<std::int64_t>(pick(2'500))};
            return;
        default:
            // One worker a domain stays, so that all work can end.
            (pick(2) == 0) ? w_.end_worker(any_domain() + "w1") : w_.leave(any_domain() + "w1");
            return;
        }
    }

    void operate()
    {
        const failure_domain_id fd{any_domain()};
        if (out_.contains(fd)) {
            out_.erase(fd);
            w_.change(bring_domain_in{fd});
            return;
        }
        out_.insert(fd);
        w_.change(take_domain_out{fd});
    }

    void disturb()
    {
        switch (pick(9)) {
        case 0:
        case 1:
        case 2:
            submit();
            return;
        case 3:
            disturb_store();
            return;
        case 4:
        case 5:
            disturb_entry_vm();
            return;
        case 6:
            disturb_worker();
            return;
        case 7:
            operate();
            return;
        default:
            w_.cancel("j" + std::to_string(1 + pick(jobs_ + 1)), any_domain());
            return;
        }
    }

    bool is_settled()
    {
        for (const auto& [fd, book] : w_.check.ledgers()) {
            for (const auto& [id, job] : book.jobs) {
                if (!job.has_ended()) {
                    return false;
                }
            }
        }
        return w_.table.read({{}, {}, {{"fd/a/inbox/", "", 1}, {"fd/b/inbox/", "", 1}}}).empty();
    }

    void settle()
    {
        w_.heal();
        for (const auto& fd : out_) {
            w_.change(bring_domain_in{fd});
        }
        const instant end = w_.now() + time_to_settle;
        while (w_.now() < end && w_.check.violation().empty() && !is_settled()) {
            w_.run_for({500});
        }
        if (!is_settled()) {
            w_.check.fail("some work has not ended");
        }
    }

    std::mt19937_64 random_;
    world w_;
    std::uint64_t jobs_{0};
    std::map<std::uint64_t, std::string> domain_of_;
    std::uint64_t next_vm_{3};
    std::set<failure_domain_id> out_;
};

} // namespace

history_result run_random_history(std::uint64_t seed, const protocol_switches& switches)
{
    return history{seed, switches}.run();
}

} // namespace cuminmoor::scenario
