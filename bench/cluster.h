/// \file
/// Drives one scheduler for each failure domain on a virtual clock, without a network.
#pragma once

#include <cstdint>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "cuminmoor/reducer.h"
#include "scenario/fake_table.h"
#include "sim_worker.h"
#include "workload.h"

namespace cuminmoor::bench {

/// What happens to a cluster during a run.
struct cluster_script {
    millis length;
    bool takes_domain_out{false};
    instant out_at;
    instant in_at;
    instant store_down_at;
    instant store_up_at;
    /// Answers of the store and the workers take this long.
    millis latency{4};
    /// Workers that fail everything they start.
    int broken_workers{1};
};

/// Sizes of what was sent, in bytes of its encoded form, and counts.
struct traffic_totals {
    std::uint64_t commits{0};
    std::uint64_t rows_written{0};
    std::uint64_t commit_bytes{0};
    std::uint64_t reads{0};
    std::uint64_t keys_read{0};
    std::uint64_t syncs{0};
    std::uint64_t orders{0};
    std::uint64_t steps{0};
    /// Processor time inside the reducer, in nanoseconds.
    std::int64_t reducer_ns{0};
};

/// Is shown every effect before it is executed.
class effect_observer {
public:
    effect_observer() = default;
    effect_observer(const effect_observer&) = delete;
    effect_observer& operator=(const effect_observer&) = delete;
    effect_observer(effect_observer&&) = delete;
    effect_observer& operator=(effect_observer&&) = delete;
    virtual ~effect_observer() = default;

    virtual void observe(const effect_body& body) = 0;
};

class cluster {
public:
    cluster(const deployment& d, const workload& load, const cluster_script& script,
            const policy_set& policies);

    void run();
    /// Runs until `end` at most.
    void run_until(instant end);

    /// May be null; must outlive the cluster.
    effect_observer* observer{nullptr};
    work_totals work;
    traffic_totals traffic;
    scenario::fake_table table;

    /// One failure domain: its entry VM's state and its counters.
    [[nodiscard]] const std::vector<std::unique_ptr<state>>& domains() const { return states_; }

private:
    struct delayed {
        instant at;
        std::uint64_t order{0};
        std::size_t domain{0};
        event body;
        bool operator>(const delayed& o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    void step(std::size_t domain, const event& e);
    void answer(std::size_t domain, event e);
    void deliver_due();
    void apply_script();
    void submit_due();
    void change_configuration(const configuration_change& change);
    [[nodiscard]] bool is_store_up() const;
    [[nodiscard]] std::vector<vm_entry> list_vms() const;

    void execute(std::size_t domain, const store_commit& f);
    void execute(std::size_t domain, const store_read& f);
    void execute(std::size_t domain, const object_put& f);
    void execute(std::size_t domain, const object_get& f);
    void execute(std::size_t domain, const vm_list_read& f);
    void execute(std::size_t domain, const worker_sync& f);
    template <typename Other>
    void execute(std::size_t /*domain*/, const Other& /*f*/)
    {
    }

    const deployment& deployment_;
    const workload& load_;
    cluster_script script_;
    reducer reducer_;
    std::vector<std::unique_ptr<state>> states_;
    std::map<vm_id, sim_worker> workers_;
    std::vector<vm_entry> vms_;
    std::priority_queue<delayed, std::vector<delayed>, std::greater<>> delayed_;
    std::uint64_t next_order_{0};
    std::size_t next_submission_{0};
    bool went_out_{false};
    bool came_in_{false};
    bool cancelled_{false};
    instant now_;
};

} // namespace cuminmoor::bench
