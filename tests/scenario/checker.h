/// \file
/// Invariant checker of the protocol. It observes the committed rows and the attempts that workers
/// start, and so does not depend on what the schedulers believe.
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

/// Upper bounds that the checker enforces.
struct checker_bounds {
    /// From the commit that takes a failure domain out to the last start in it.
    millis start_after_out{1'100};
    /// From the platform's notice that a worker is leaving to the last start on it.
    millis start_after_leaving{5'000};
};

/// Records the first violation of an invariant.
class checker {
public:
    checker_bounds bounds;
    /// Additional checks, called after every event, that return a violation or nothing. Used for
    /// the invariants of the request path.
    std::vector<std::function<std::optional<std::string>()>> extra_invariants;

    /// Call after a transaction was applied.
    /// \param existing the written keys that already existed.
    void on_commit(const std::set<std::string>& existing, const transaction& t, instant now);
    /// Call after the worker started an attempt.
    void on_start(const std::map<std::string, fake_worker>& workers, const std::string& worker,
                  const attempt_key& key, instant now);
    /// Call when the platform announces that the worker is leaving.
    void on_leaving(const std::string& worker, instant now);
    /// Call after each reducer step of an entry VM.
    void on_step(const state& s, bool holds_lease);
    /// Call after each event; runs `extra_invariants`.
    void after_event();

    void fail(std::string what);
    /// \return the first violation; empty: none.
    [[nodiscard]] const std::string& violation() const { return violation_; }
    [[nodiscard]] const std::map<failure_domain_id, ledger>& ledgers() const { return ledgers_; }
    /// \return the number of the job's tasks that ended as finished or failed, as given by `phase`.
    [[nodiscard]] std::uint32_t count_ended(const job_id& job, task_phase phase) const;
    /// \return the number of the job's cancelled tasks in all failure domains.
    [[nodiscard]] std::uint32_t count_cancelled(const job_id& job) const;
    [[nodiscard]] std::uint64_t starts_in(const failure_domain_id& fd) const;
    /// Longest delays seen, for the latency bounds.
    [[nodiscard]] millis longest_start_after_out() const { return max_start_after_out_; }
    [[nodiscard]] millis longest_start_after_leaving() const { return max_start_after_leaving_; }
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
    /// Last configuration version seen, by entry VM and incarnation of its process.
    std::map<std::pair<vm_id, std::uint64_t>, config_version> last_version_;
    std::map<failure_domain_id, std::vector<instant>> starts_;
    millis max_start_after_out_;
    millis max_start_after_leaving_;
};

} // namespace cuminmoor::scenario
