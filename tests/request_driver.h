/// \file
/// Simulates several entry VMs with fake runners, a fake store and a lossy network on a virtual
/// clock. Each seed is reproducible; invariants are checked during the run and at its end.
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

/// Fault probabilities, in thousandths per opportunity.
struct fault_rates {
    unsigned runner_refuses{0};
    unsigned not_sent{0};
    unsigned answer_lost{0};
    unsigned answer_late{0};
    unsigned store_unavailable{0};
    /// The write takes effect but its answer is lost.
    unsigned store_answer_lost{0};
    /// The answer is lost, and the write takes effect seconds later.
    unsigned store_write_late{0};
    unsigned peer_message_lost{0};
    /// Per request: the caller disconnects.
    unsigned abandoned{0};
    /// Per request: an entry VM crashes and restarts with empty state.
    unsigned vm_crash{0};
    /// Per request: an entry VM is paused for up to 8 s.
    unsigned vm_pause{0};
};

/// Each flag disables one mechanism, to verify that the checks detect its absence.
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
    /// Share of requests that go to the first entry VM; the rest go to a random one.
    unsigned skew_permille{0};
    unsigned repeat_permille{300};
    /// A runner of the first failure domain begins to leave halfway through.
    bool runner_leaves{false};
    /// A runner of the first failure domain stops answering halfway through.
    bool runner_hangs{false};
    /// The first failure domain is taken out of service halfway through.
    bool domain_out{false};
    fault_rates faults;
    disabled_mechanisms disabled;
};

/// One submission of a request by its caller.
struct attempt {
    std::string key;
    bool idempotent{false};
    instant deadline;
    /// True if the caller disconnected before an answer, so that none is expected.
    bool answer_optional{false};
    unsigned answers{0};
    result_code code{result_code::internal};
    unsigned runs{0};
};

struct simulation_result {
    /// Violated invariants; empty if all hold.
    std::vector<std::string> violations;
    std::vector<attempt> attempts;
    std::int64_t max_in_flight{0};
    std::map<std::string, std::uint64_t> counters;
    /// Number of `ok` answers received before the deadline.
    std::size_t answered_in_time{0};
};

class request_driver {
public:
    explicit request_driver(const simulation_options& options);
    /// Runs the simulation to its end.
    simulation_result run();

private:
    struct entry_vm {
        state s;
        bool listening{true};
        instant paused_until;
        /// Receives the answer of each open handle: an attempt or a spilled dispatch.
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
