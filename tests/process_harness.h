/// \file
/// A small cluster of real processes for one test: platform, entry VMs, workers and runners.
///
/// Each test process has loopback addresses of its own, so tests can run side by side.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../ctl/http_exchange.h"
#include "child_process.h"
#include "standins/json_fields.h"

namespace process_test {

using cuminmoor::ctl::http_answer;
using cuminmoor::ctl::http_failure;
using cuminmoor::ctl::http_request;
using cuminmoor::ctl::http_result;
using standin::json;

/// Longest wait for something that should come soon; not a pause.
inline constexpr milliseconds soon{20'000};

/// Looks again and again until `holds` or `limit` has passed.
/// \return whether it held.
bool wait_until(const std::function<bool()>& holds, milliseconds limit = soon);

/// \return a loopback address that no other test process uses at the same time.
std::string own_host();

/// Addresses of an entry VM under central scheduling, each "ip:port".
struct central_addresses {
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string platform;
};

/// Starts one entry VM under central scheduling.
/// \param test name of the test; the log is kept under it.
child_process start_central_vm(const std::string& test, const central_addresses& at);

struct cluster_options {
    /// Name of the test; its logs are kept under it.
    std::string name;
    std::vector<std::string> failure_domains{"accra-east"};
    unsigned entries_per_domain{2};
    unsigned workers_per_domain{2};
    unsigned runners_per_domain{2};
    std::string service{"drape-desk"};
    /// Time that a request takes on a runner.
    milliseconds service_time{5};
};

/// What a caller sends.
struct caller_request {
    std::string caller;
    std::string id;
    std::string body;
    bool idempotent{false};
    milliseconds deadline{10'000};
};

/// One entry VM and its process.
struct entry_vm {
    std::string name;
    std::string failure_domain;
    std::string http;
    std::string peer;
    child_process process;
};

/// One start of a task as a worker has noted it.
struct start_record {
    std::string worker;
    std::string failure_domain;
    std::string task;
    std::int64_t attempt{0};
    std::string status;
    std::int64_t start_ms{0};
    /// 0: it runs still.
    std::int64_t end_ms{0};
    /// Progress that it began with.
    std::int64_t resumed_at_ms{0};
    std::int64_t progress_ms{0};
};

class cluster {
public:
    /// Starts everything and waits until every entry VM is ready.
    explicit cluster(cluster_options options);

    [[nodiscard]] child_process& platform() { return platform_; }
    [[nodiscard]] std::vector<entry_vm>& entries() { return entries_; }
    [[nodiscard]] entry_vm& entry(std::size_t index) { return entries_[index]; }
    /// \return entry VMs of that failure domain.
    [[nodiscard]] std::vector<std::size_t> entries_of(const std::string& failure_domain) const;

    /// Starts an entry VM and puts it into the platform's list.
    /// \return its index.
    std::size_t add_entry(const std::string& failure_domain);
    /// Takes a VM off the platform's list.
    void unlist(const std::string& vm);
    void set_entry_phase(std::size_t index, const std::string& phase);
    [[nodiscard]] bool is_ready(std::size_t index) const;

    /// Puts a fault on the platform.
    void set_platform_fault(const std::string& kind, milliseconds delay = milliseconds{0},
                            int permille = 1'000) const;
    /// Puts a fault on the runners of a failure domain.
    void set_runner_fault(const std::string& failure_domain, const std::string& kind,
                          milliseconds delay = milliseconds{0}, int permille = 1'000) const;
    /// Lists runner number `index` of a failure domain with another phase.
    void set_runner_phase(const std::string& failure_domain, unsigned index,
                          const std::string& phase) const;
    [[nodiscard]] json platform_counts() const;
    /// \return rows of the table whose key begins with `prefix`.
    [[nodiscard]] json table_rows(const std::string& prefix) const;

    /// Sends one caller's request through an entry VM.
    [[nodiscard]] http_result send_request(std::size_t entry, const caller_request& request) const;
    /// \return runs by "caller/request id", of all runners.
    [[nodiscard]] std::map<std::string, std::int64_t> runs() const;
    /// \return number of requests that one runner ran.
    [[nodiscard]] std::int64_t runs_on(const std::string& failure_domain, unsigned index) const;
    /// \return every start on every worker.
    [[nodiscard]] std::vector<start_record> starts() const;

    /// Creates the service, asking until it is taken.
    /// \return whether it was.
    [[nodiscard]] bool create_service() const;
    /// Waits until a request through this entry VM is answered.
    [[nodiscard]] bool serves_requests(std::size_t entry) const;
    [[nodiscard]] http_result change_configuration(std::size_t entry, const json& change) const;
    [[nodiscard]] http_result submit_job(std::size_t entry, const std::string& id, unsigned tasks,
                                         const std::string& command,
                                         const std::string& failure_domain = "") const;
    /// \return the job as an entry VM shows it, or null.
    [[nodiscard]] json show_job(std::size_t entry, const std::string& id) const;
    /// Waits until that many attempts run on workers.
    [[nodiscard]] bool tasks_run(std::size_t count) const;
    /// Waits until a job shows that many tasks finished.
    [[nodiscard]] bool job_finishes(std::size_t entry, const std::string& id, unsigned tasks,
                                    milliseconds limit = milliseconds{60'000}) const;
    /// \return index of the entry VM that holds the failure domain's scheduler lease, by the table.
    [[nodiscard]] std::optional<std::size_t> scheduler_of(const std::string& failure_domain) const;

private:
    struct machine_group {
        std::string failure_domain;
        std::string http;
        child_process process;
    };

    [[nodiscard]] std::string log_file(const std::string& name) const;
    [[nodiscard]] std::string next_address();
    void start_platform();
    void start_workers(const std::string& failure_domain);
    void start_runners(const std::string& failure_domain);
    /// \return the group, or null.
    [[nodiscard]] const machine_group* runners_of(const std::string& failure_domain) const;
    void list_entry(const entry_vm& vm, const std::string& phase) const;

    cluster_options options_;
    std::string host_;
    std::uint16_t next_port_{7'000};
    std::string log_folder_;
    std::string platform_http_;
    child_process platform_;
    std::vector<entry_vm> entries_;
    std::vector<machine_group> workers_;
    std::vector<machine_group> runners_;
};

/// \return status of a whole answer, 0 when there is none.
int status_of(const http_result& result);
/// \return body of a whole answer, empty when there is none.
std::string body_of(const http_result& result);
/// \return X-Result-Code of an answer, -1 when there is none.
int code_of(const http_result& result);

/// \return the body that a runner derives from a request.
std::string echo_of(const caller_request& request);

/// \return the time on the clock that the workers' history uses.
std::int64_t clock_ms();

http_result get(const std::string& address, const std::string& target);
http_result post(const std::string& address, const std::string& target, const json& body);

/// \return what is wrong with the starts, one line each; empty when every task ran in one place at
/// a time and none started again after it had finished.
std::string faults_in(const std::vector<start_record>& starts);
/// \return what is wrong, as `faults_in`, and which of the job's tasks did not finish exactly once.
std::string faults_in_finished_job(const std::vector<start_record>& starts, const std::string& job,
                                   unsigned tasks);

} // namespace process_test
