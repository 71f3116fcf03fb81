/// \file
/// Calls of callers, operators and tests to the cluster, and checks of what it did.
#include <algorithm>
#include <cstdlib>

#include "process_harness.h"

namespace process_test {

namespace {

constexpr cuminmoor::millis call_timeout{15'000};

} // namespace

int status_of(const http_result& result)
{
    const auto* const answer = std::get_if<http_answer>(&result);
    return answer == nullptr ? 0 : answer->status;
}

std::string body_of(const http_result& result)
{
    const auto* const answer = std::get_if<http_answer>(&result);
    return answer == nullptr ? std::string{} : answer->body;
}

int code_of(const http_result& result)
{
    const auto* const answer = std::get_if<http_answer>(&result);
    if (answer == nullptr) {
        return -1;
    }
    const auto header = answer->headers.find("x-result-code");
    return header == answer->headers.end() ? -1 : std::atoi(header->second.c_str()); // NOLINT
}

std::string echo_of(const caller_request& request)
{
    return "echo:" + request.caller + "/" + request.id + ":" + request.body;
}

std::int64_t clock_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

http_result get(const std::string& address, const std::string& target)
{
    http_request request;
    request.url = "http://" + address + target;
    request.timeout = call_timeout;
    return cuminmoor::ctl::exchange_http(request);
}

http_result post(const std::string& address, const std::string& target, const json& body)
{
    http_request request;
    request.method = "POST";
    request.url = "http://" + address + target;
    request.headers = {{"Content-Type", "application/json"}, {"X-Caller", "test"}};
    request.body = body.dump();
    request.timeout = call_timeout;
    return cuminmoor::ctl::exchange_http(request);
}

http_result cluster::send_request(std::size_t entry, const caller_request& request) const
{
    http_request sent;
    sent.method = "POST";
    sent.url = "http://" + entries_[entry].http + "/v1/services/" + options_.service + "/requests";
    sent.headers = {{"X-Caller", request.caller},
                    {"X-Request-Id", request.id},
                    {"X-Deadline-Ms", std::to_string(request.deadline.count())},
                    {"X-Idempotent", request.idempotent ? "1" : "0"}};
    sent.body = request.body;
    sent.timeout = call_timeout;
    return cuminmoor::ctl::exchange_http(sent);
}

http_result cluster::change_configuration(std::size_t entry, const json& change) const
{
    return post(entries_[entry].http, "/v1/configuration/changes", {{"change", change}});
}

bool cluster::create_service() const
{
    const json service{{"id", options_.service}, {"team", "kente"}};
    return wait_until([&] {
        const auto done = change_configuration(0, {{"kind", "put_service"}, {"service", service}});
        return code_of(done) == 0;
    });
}

bool cluster::serves_requests(std::size_t entry) const
{
    int tries = 0;
    return wait_until([&] {
        const auto id = "warm-" + std::to_string(entry) + "-" + std::to_string(++tries);
        return code_of(send_request(entry, {"warm", id, "x", true})) == 0;
    });
}

http_result cluster::submit_job(std::size_t entry, const std::string& id, unsigned tasks,
                                const std::string& command, const std::string& failure_domain) const
{
    const json size{{"milli_cores", 1'000}, {"memory_mib", 1'024}, {"accelerators", 0}};
    const json job{{"id", id},         {"team", "kente"},   {"kind", "batch"},
                   {"tasks", tasks},   {"task_size", size}, {"run_time_ms", 1'000},
                   {"deadline_ms", 0}, {"job_class", ""},   {"command", command}};
    return post(entries_[entry].http, "/v1/jobs",
                {{"job", job}, {"failure_domain", failure_domain}});
}

json cluster::show_job(std::size_t entry, const std::string& id) const
{
    const auto shown = get(entries_[entry].http, "/v1/jobs/" + id);
    return code_of(shown) == 0 ? standin::parse_json(body_of(shown)) : json{};
}

bool cluster::tasks_run(std::size_t count) const
{
    return wait_until([&] {
        const auto all = starts();
        const auto running = std::count_if(all.begin(), all.end(), [](const start_record& start) {
            return start.status == "running";
        });
        return static_cast<std::size_t>(running) >= count;
    });
}

bool cluster::job_finishes(std::size_t entry, const std::string& id, unsigned tasks,
                           milliseconds limit) const
{
    return wait_until(
        [&] {
            const auto job = show_job(entry, id);
            return job.is_object() && standin::number_at(job, "finished") == tasks;
        },
        limit);
}

std::optional<std::size_t> cluster::scheduler_of(const std::string& failure_domain) const
{
    for (const auto& row : table_rows("fd/" + failure_domain + "/lease")) {
        const auto lease = standin::parse_json(standin::text_at(row, "value"));
        const auto holder = lease.is_object() ? standin::text_at(lease, "holder") : "";
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (entries_[i].name == holder) {
                return i;
            }
        }
    }
    return std::nullopt;
}

std::string faults_in(const std::vector<start_record>& starts)
{
    std::map<std::string, std::vector<start_record>> by_task;
    for (const auto& start : starts) {
        by_task[start.task].push_back(start);
    }
    std::string faults;
    for (auto& [task, runs] : by_task) {
        std::sort(runs.begin(), runs.end(), [](const start_record& a, const start_record& b) {
            return a.start_ms < b.start_ms;
        });
        for (std::size_t i = 1; i < runs.size(); ++i) {
            const auto& before = runs[i - 1];
            if (before.end_ms == 0 || before.end_ms > runs[i].start_ms) {
                faults +=
                    task + " ran on " + before.worker + " and " + runs[i].worker + " at once\n";
            }
            if (before.status == "finished") {
                faults += task + " started on " + runs[i].worker + " after it had finished\n";
            }
        }
    }
    return faults;
}

std::string faults_in_finished_job(const std::vector<start_record>& starts, const std::string& job,
                                   unsigned tasks)
{
    auto faults = faults_in(starts);
    for (unsigned i = 0; i < tasks; ++i) {
        const auto task = job + "/" + std::to_string(i);
        const auto finished =
            std::count_if(starts.begin(), starts.end(), [&task](const start_record& start) {
                return start.task == task && start.status == "finished";
            });
        if (finished != 1) {
            faults += task + " finished " + std::to_string(finished) + " times\n";
        }
    }
    return faults;
}

} // namespace process_test
