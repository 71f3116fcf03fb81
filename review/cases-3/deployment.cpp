/// \file
/// Implementation of the deployment.
#include "deployment.h"

#include <chrono>
#include <iomanip>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr std::chrono::milliseconds supervision_period{20};
constexpr int http_ok{200};
constexpr int http_bad_request{400};
constexpr int http_not_found{404};
constexpr int http_gone{410};
constexpr std::int64_t retry_ms{300};

bool is_definite(int status)
{
    return status == http_ok || status == http_bad_request || status == http_not_found ||
           status == http_gone;
}

json route(const queue& q, const std::string& name)
{
    return {{"name", name},
            {"hostname", q.host},
            {"path_prefix", q.prefix},
            {"kind", "non_idempotent"},
            {"timeout_ms", 3'000},
            {"target_latency_ms", 250},
            {"priority", 0},
            {"service", "drape-desk"},
            {"max_attempts", 4},
            {"stretch", 1.5}};
}

json service(const std::string& name)
{
    return {{"name", name},      {"health_path", "/health"},
            {"max_conns", 64},   {"protocol", "h1"},
            {"tls", false},      {"cold_start_s", 0.0},
            {"cold_per_s", 0.0}, {"admission_check", false},
            {"standby", false}};
}

} // namespace

std::string job_id(std::uint64_t number)
{
    constexpr int digits{16};
    std::ostringstream text;
    text << std::hex << std::setw(digits) << std::setfill('0') << number;
    return text.str();
}

void pause_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

bool wait_for(const recorder& record, std::int64_t limit_ms, const std::function<bool()>& holds)
{
    constexpr std::int64_t period_ms{20};
    const std::int64_t end = record.now_ms() + limit_ms;
    while (!holds()) {
        if (record.now_ms() >= end) {
            return false;
        }
        pause_ms(period_ms);
    }
    return true;
}

deployment::deployment(recorder& record, std::string log_folder,
                       std::vector<runner_options> runners)
    : record_{record}, log_folder_{std::move(log_folder)}
{
    put_manifest();
    for (runner_options& each : runners) {
        runners_.push_back(std::make_unique<runner>(
            platform_, record_, std::move(each), [this](const std::string& id, const task_run& r) {
                if (on_start) {
                    on_start(id, r);
                }
            }));
    }
}

deployment::~deployment()
{
    is_stopping_ = true;
    if (supervisor_.joinable()) {
        supervisor_.join();
    }
    vms_.clear();
    runners_.clear();
}

json deployment::manifest(int version, bool has_quotes)
{
    json routes = json::array({route({"nony24.example", "/pufi791/"}, "r-renders")});
    if (has_quotes) {
        routes.push_back(route(quotes, "r-quotes"));
    }
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", json::array({service("drape-desk"), service("thread-store")})},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 262'144},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

void deployment::put_manifest()
{
    constexpr int first_version{7};
    platform_.put("op", "config", manifest(first_version, true));
}

void deployment::supervise()
{
    while (!is_stopping_) {
        for (const auto& each : vms_) {
            each->supervise();
        }
        std::this_thread::sleep_for(supervision_period);
    }
}

bool deployment::start(std::size_t vms)
{
    constexpr std::int64_t start_limit_ms{20'000};
    for (std::size_t i{0}; i < vms; ++i) {
        vms_.push_back(
            std::make_unique<entry_vm>(vm_settings{"edge-" + std::to_string(i + 1), "accra-east",
                                                   platform_.address(), log_folder_},
                                       record_));
        vms_.back()->start();
    }
    supervisor_ = std::thread{[this] { supervise(); }};
    const bool are_ready = wait_for(record_, start_limit_ms, [this] {
        for (const auto& each : vms_) {
            if (!each->is_ready()) {
                return false;
            }
        }
        return true;
    });
    constexpr std::uint64_t first_job{0xf000};
    const std::string id = job_id(first_job);
    const json job = {
        {"task_spec", "ms=100"},
        {"steps",
         json::array({{{"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"estimated_ms", 100}}})}};
    return are_ready &&
           wait_for(record_, start_limit_ms,
                    [&] { return call("POST", quotes, id, job.dump()).status == http_ok; }) &&
           wait_for(record_, start_limit_ms, [&] { return state_of(quotes, id) == "completed"; });
}

std::vector<task_run> deployment::running()
{
    std::vector<task_run> all;
    for (const auto& each : runners_) {
        const std::vector<task_run> here = each->running();
        all.insert(all.end(), here.begin(), here.end());
    }
    return all;
}

http_response deployment::call(const std::string& method, const queue& to, const std::string& id,
                               const std::string& body, int attempts)
{
    http_response answer;
    for (int i{0}; i < attempts; ++i) {
        const entry_vm& vm = *vms_.at(next_vm_++ % vms_.size());
        answer = send_call({method, vm.callers(), to.prefix + id, to.host, body});
        if (method != "GET" || !is_definite(answer.status)) {
            std::string line{method};
            line.append(" ").append(id).append(" to ").append(vm.name()).append(": ");
            line.append(std::to_string(answer.status)).append(" ").append(answer.body);
            record_.add(line);
        }
        if (is_definite(answer.status)) {
            return answer;
        }
        pause_ms(retry_ms);
    }
    return answer;
}

std::string deployment::state_of(const queue& from, const std::string& id)
{
    const http_response answer = call("GET", from, id, "", 1);
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == http_ok && body.is_object() ? body.value("state", "") : std::string{};
}

} // namespace review
