/// \file
/// Checks what must always hold, on what really happens: rows written and tasks begun.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cuminmoor/configuration.h"
#include "cuminmoor/job.h"
#include "cuminmoor/state.h"
#include "cuminmoor/store.h"
#include "scenario/fake_worker.h"

namespace cuminmoor::scenario {

/// Bounds that the checker holds the system to.
struct checker_bounds {
    /// From the commit that takes a failure domain out to its last start.
    millis start_after_out{1'100};
    /// From the platform's notice that a worker is leaving to the last start on it.
    millis start_after_leaving{5'000};
};

class checker {
public:
    checker_bounds bounds;
    /// Called after every event; returns a violation. For the request path's invariants.
    std::vector<std::function<std::optional<std::string>()>> extra_invariants;

    /// After a transaction was applied.
    /// \param existing the keys among its writes that were there before.
    void on_commit(const std::set<std::string>& existing, const transaction& t, instant now);
    /// After the worker began an attempt.
    void on_start(const std::map<std::string, fake_worker>& workers, const std::string& worker,
                  const attempt_key& key, instant now);
    void on_leaving(const std::string& worker, instant now);
    /// After a step of an entry VM.
    void on_step(const state& s, bool holds_lease);
    void after_event();

    void fail(std::string what);
    /// First violation; empty: none.
    [[nodiscard]] const std::string& violation() const { return violation_; }
    [[nodiscard]] const std::map<failure_domain_id, ledger>& ledgers() const { return ledgers_; }
    [[nodiscard]] std::uint32_t count_ended(const job_id& job, task_phase phase) const;
    /// \return the job's cancelled tasks, all failure domains together.
    [[nodiscard]] std::uint32_t count_cancelled(const job_id& job) const;
    [[nodiscard]] std::uint64_t starts_in(const failure_domain_id& fd) const;
    /// Longest times seen, for the budgets.
    [[nodiscard]] millis longest_start_after_out() const { return longest_after_out_; }
    [[nodiscard]] millis longest_start_after_leaving() const { return longest_after_leaving_; }
    [[nodiscard]] const std::map<failure_domain_id, std::vector<instant>>& starts() const
    {
        return starts_;
    }

private:
    void on_log_row(const failure_domain_id& fd, const std::string& key, const row_write& w);
    void on_record(const failure_domain_id& fd, const ledger_record& record);
    void on_configuration(const transaction& t, instant now);
    void record_final_phase(const task_id& id, task_phase phase);
    void check_placement(const std::map<std::string, fake_worker>& workers, const task_id& id);

    std::string violation_;
    std::map<failure_domain_id, ledger> ledgers_;
    std::map<task_id, failure_domain_id> owner_;
    std::map<task_id, task_phase> final_phases_;
    std::set<attempt_key> assigned_;
    std::set<attempt_key> started_;
    configuration configuration_;
    std::map<failure_domain_id, instant> domain_out_since_;
    std::map<std::string, instant> leaving_since_;
    /// By entry VM and start of its process.
    std::map<std::pair<vm_id, std::uint64_t>, config_version> last_version_;
    std::map<failure_domain_id, std::vector<instant>> starts_;
    millis longest_after_out_;
    millis longest_after_leaving_;
};

} // namespace cuminmoor::scenario
