/// \file
/// Several entry VMs with fake runners, a fake store and a lossy network on a virtual clock. One
/// seed is one history; the checks at its end say what must always hold.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cuminmoor/reducer.h"

namespace cuminmoor::test {

/// What goes wrong in a history, in thousandths of the occasions.
struct fault_rates {
    unsigned runner_refuses{0};
    unsigned not_sent{0};
    unsigned answer_lost{0};
    unsigned answer_late{0};
    unsigned store_unavailable{0};
    /// The write took effect, its answer is lost.
    unsigned store_answer_lost{0};
    /// The answer is lost, and the write takes effect seconds later.
    unsigned store_write_late{0};
    unsigned peer_message_lost{0};
    /// Per request: the caller goes away.
    unsigned abandoned{0};
    /// Per request: an entry VM dies and comes back empty.
    unsigned vm_crash{0};
    /// Per request: an entry VM is paused for up to 8 s.
    unsigned vm_pause{0};
};

/// Each takes one mechanism away, to show that the checks notice.
struct disabled_mechanisms {
    bool store_ignores_preconditions{false};
    bool lost_reported_as_refused{false};
    bool answers_given_to_wrong_dispatch{false};
    bool entry_vms_unaware_of_each_other{false};
    bool leaving_not_listed{false};
};

struct simulation_options {
    std::uint64_t seed{1};
    std::size_t failure_domains{2};
    std::size_t entry_vms_per_domain{3};
    std::size_t runners_per_domain{4};
    std::size_t requests{150};
    std::size_t callers{4};
    std::int64_t mean_gap_us{10'000};
    std::int64_t service_ms{40};
    std::int64_t min_deadline_ms{200};
    std::int64_t max_deadline_ms{3'000};
    unsigned non_idempotent_permille{500};
    /// Requests that go to the first entry VM; the others go to any.
    unsigned skew_permille{0};
    unsigned repeat_permille{300};
    /// A runner of the first failure domain begins to leave in the middle.
    bool runner_leaves{false};
    /// A runner of the first failure domain answers nothing any more from the middle on.
    bool runner_hangs{false};
    /// Operators take the first failure domain out in the middle.
    bool domain_out{false};
    fault_rates faults;
    disabled_mechanisms disabled;
};

/// One sending of a request by its caller.
struct attempt {
    std::string key;
    bool idempotent{false};
    instant deadline;
    /// Its entry VM died or was paused, or the caller went away: no answer is owed.
    bool answer_optional{false};
    unsigned answers{0};
    result_code code{result_code::internal};
    unsigned runs{0};
};

struct simulation_result {
    /// Broken invariants, empty when all hold.
    std::vector<std::string> violations;
    std::vector<attempt> attempts;
    std::int64_t max_in_flight{0};
    std::map<std::string, std::uint64_t> counters;
    /// Answers with code ok that came in time.
    std::size_t answered_in_time{0};
};

class request_driver {
public:
    explicit request_driver(const simulation_options& options);
    /// Plays the whole history.
    simulation_result run();

private:
    struct entry_vm {
        state s;
        bool listening{true};
        instant paused_until;
        /// Attempt or spilled dispatch behind each open handle.
        std::map<traffic_handle, std::function<void(const request_answer&)>> replies;
    };
    struct runner {
        failure_domain_id failure_domain;
        std::int64_t in_flight{0};
        instant leaving_at{never};
        bool hangs{false};
    };
    struct timer {
        instant at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const timer& o) const
        {
            return o.at < at || (at == o.at && o.order < order);
        }
    };

    bool chance(unsigned permille) { return rng_() % 1'000 < permille; }
    std::int64_t pick(std::int64_t from, std::int64_t to);
    void after(std::int64_t ms, std::function<void()> action);
    void add_vms();
    void step(std::size_t vm, const event& e);
    void deliver(std::size_t vm, event e, std::int64_t delay_ms);
    void execute(std::size_t vm, const effect& f);
    void on_dispatch(std::size_t vm, const request_dispatch& d);
    void on_spill(std::size_t vm, const request_dispatch& d);
    void run_on(std::size_t vm, const request_dispatch& d);
    void finish_run(std::size_t vm, const request_dispatch& d);
    void on_answer(std::size_t vm, const request_answer& a);
    void on_commit(std::size_t vm, const store_commit& commit);
    void on_read(std::size_t vm, const store_read& read);
    void on_peer_send(std::size_t vm, const peer_send& send);
    bool apply(const transaction& t);
    std::vector<vm_entry> list() const;
    void send_requests();
    void send_request(const std::string& key, bool idempotent);
    void inject_vm_faults(std::size_t vm);
    void abandon_later(std::size_t vm, traffic_handle handle, std::size_t index);
    void check_attempts();
    void check_idle();
    void report_violation(const std::string& what) { result_.violations.push_back(what); }

    simulation_options options_;
    std::mt19937_64 rng_;
    policy_set policies_{make_first_fit_policies()};
    reducer reducer_{policies_};
    instant now_{1'000};
    std::uint64_t next_timer_order_{0};
    std::priority_queue<timer> timers_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::map<vm_id, runner> runners_;
    std::map<std::string, row> table_;
    row_version revision_{0};
    std::uint64_t next_handle_{1};
    std::map<traffic_handle, std::size_t> attempt_of_;
    std::map<std::string, unsigned> runs_;
    std::vector<std::pair<std::string, bool>> sent_;
    std::int64_t end_ms_{0};
    simulation_result result_;
};

} // namespace cuminmoor::test
