/// \file
/// Simulation of entry VMs, workers and the platform on one virtual clock, with fault injection.
///
/// Single-threaded and deterministic: the same seed and steps give the same history. Each entry VM
/// has its own clock offset, so that code which compares the clocks of two machines fails.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cuminmoor/reducer.h"
#include "scenario/checker.h"
#include "scenario/fake_table.h"
#include "scenario/fake_worker.h"

namespace cuminmoor::scenario {

/// Delay until the platform's VM list reflects a change.
inline constexpr millis list_lag{800};

enum class store_fault : std::uint8_t { none, down, slow, lose_answers };

/// An entry VM: its reducer state and its injected faults.
struct entry_vm {
    state s;
    /// Incremented at each start of the process; events of an earlier incarnation are dropped.
    std::uint64_t incarnation{1};
    bool alive{true};
    bool frozen{false};
    bool cut_store{false};
    bool cut_peers{false};
    bool cut_workers{false};
    /// Only reads of the configuration are lost.
    bool cut_configuration{false};
    millis clock_offset;
    /// Events that arrived and effects that were pending while frozen.
    std::deque<event> deferred_events;
    std::vector<effect> deferred_effects;
};

/// The simulated system.
class world {
public:
    explicit world(std::uint64_t seed, const protocol_switches& switches = {});

    /// Failure domains have one-letter names: "a" gets entry VMs a1, a2... and workers aw1, aw2...
    void add_domain(const std::string& fd, int entry_vms, int workers);
    /// Processes all events up to `end`, or until the first violation.
    void run_until(instant end);
    void run_for(millis d) { run_until(now_ + d); }
    [[nodiscard]] instant now() const { return now_; }

    // Faults, and actions of operators and job owners.
    void add_entry_vm(const std::string& name);
    void kill(const std::string& vm);
    void stop(const std::string& vm);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    void restart_worker(const std::string& worker);
    void end_worker(const std::string& worker);
    void leave(const std::string& worker);
    void change(const configuration_change& change);
    void submit(const std::string& job, const std::string& fd, std::uint32_t tasks, millis run,
                std::int64_t cores);
    void cancel(const std::string& job, const std::string& fd);
    void heal();
    /// \return the entry VM that holds the failure domain's lease; empty: none.
    [[nodiscard]] std::string leader(const std::string& fd) const;
    /// \return the sum of the counters of all entry VMs, including ended processes.
    [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

    checker check;
    fake_table table;
    std::map<std::string, entry_vm> vms;
    std::map<std::string, fake_worker> workers;
    store_fault fault{store_fault::none};
    millis store_delay{0};
    std::uint32_t lost_permille{500};
    /// Upper bound of an additional random delay of requests to workers.
    millis sync_delay{0};
    /// Prints each event, to debug a failing seed.
    bool trace{false};

private:
    /// One remote call: request, processing, response and timeout.
    struct call {
        bool request_lost{false};
        bool response_lost{false};
        millis request_delay;
        millis timeout;
        std::function<event()> process;
        event on_timeout;
    };

    void schedule(instant t, std::function<void()> f);
    millis delay(std::int64_t bound);
    bool chance(std::uint32_t permille);
    instant local(const entry_vm& vm) const { return now_ + vm.clock_offset; }
    void tick_vm(const std::string& name, std::uint64_t incarnation);
    void deliver(const std::string& name, std::uint64_t incarnation, const event& e);
    void step(const std::string& name, const event& e);
    void send_all(const std::string& name, std::uint64_t incarnation, std::vector<effect> effects);
    void send(const std::string& name, const effect& f);
    void start_call(const std::string& name, const call& c);
    call store_call(const entry_vm& vm);
    void check_lease(const std::string& name);
    event sync_worker(const worker_sync& f, instant sent_at);
    std::optional<row_version> apply(const transaction& t);
    void update_list();

    void execute(const std::string& name, const store_commit& f);
    void execute(const std::string& name, const store_read& f);
    void execute(const std::string& name, const object_put& f);
    void execute(const std::string& name, const object_get& f);
    void execute(const std::string& name, const vm_list_read& f);
    void execute(const std::string& name, const peer_send& f);
    void execute(const std::string& name, const worker_sync& f);
    void execute(const std::string& name, const shutdown_complete& f);
    template <typename Other>
    void execute(const std::string& /*name*/, const Other& /*f*/)
    {
    }

    policy_set policies_;
    reducer reducer_;
    protocol_switches switches_;
    std::mt19937_64 random_;
    instant now_{1'000};
    std::uint64_t next_event_{0};
    std::uint64_t next_incarnation_{1};
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> queue_;
    /// The VMs and the platform's VM list, which lags behind by `list_lag`.
    std::map<vm_id, vm_entry> actual_vms_;
    std::map<vm_id, vm_entry> listed_vms_;
    std::set<std::string> frozen_workers_;
    /// Requests in the socket buffers of frozen workers.
    std::vector<worker_sync> deferred_syncs_;
    /// Summed counters of replaced processes.
    std::map<std::string, std::uint64_t> replaced_process_counters_;
};

} // namespace cuminmoor::scenario
