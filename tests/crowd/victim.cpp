/// \file
/// Implementation of the entry VM that crowds come to.
#include "victim.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

namespace crowd {

namespace {

using process_test::milliseconds;

constexpr std::int64_t wait_ms{30'000};
constexpr std::int64_t call_timeout_ms{3'000};
constexpr std::int64_t pause_ms{50};
constexpr int http_ok{200};
/// Of `run_ordinary_job`.
constexpr unsigned ordinary_job{1};

std::string prepare_folder(const std::string& name)
{
    std::string folder = std::string{CROWD_LOG_FOLDER} + "/" + name;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

std::string own_address()
{
    return "127.0.0.1:" + std::to_string(review::free_port());
}

process_test::child_process start_daemon(const std::string& log, const std::string& callers,
                                         const std::string& readiness, const std::string& peers,
                                         const std::string& platform)
{
    return {CUMINMOORD_PROGRAM,
            {"--scheduling=central", "--vm=vm1", "--failure-domain=accra-east",
             "--http-address=" + callers, "--readiness-address=" + readiness,
             "--peer-address=" + peers, "--platform=" + platform},
            log};
}

/// As variables: a program that does not know the limits starts, too.
void set_limits(limit_settings limits)
{
    if (limits == limit_settings::lowered) {
        setenv("CUMINMOOR_MEMORY_MB", std::to_string(memory_limit_mb).c_str(), 1);
        setenv("CUMINMOOR_MAX_DESCRIPTORS", std::to_string(descriptor_limit).c_str(), 1);
    }
}

std::size_t read_resident_bytes(pid_t pid)
{
    std::ifstream file{"/proc/" + std::to_string(pid) + "/statm"};
    std::size_t total_pages{0};
    std::size_t resident_pages{0};
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t count_descriptors(pid_t pid)
{
    std::error_code failed;
    const std::filesystem::directory_iterator entries{"/proc/" + std::to_string(pid) + "/fd",
                                                      failed};
    return failed ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

victim::victim(const std::string& name, limit_settings limits)
    : callers_{own_address()},
      readiness_{own_address()}, peers_{own_address()}, world_{prepare_folder(name) + "/record.log"}
{
    world_.set_queues({review::queue_options{}});
    world_.add_runner({.id = "i-1"});
    std::string platform;
    world_.on_loop([&] { platform = world_.platform().add_entrance().address(); });
    set_limits(limits);
    process_ = start_daemon(std::string{CROWD_LOG_FOLDER} + "/" + name + "/vm1.log", callers_,
                            readiness_, peers_, platform);
    const std::int64_t end = review::now_ms() + wait_ms;
    const auto is_ready = [this] {
        return review::send_call({"GET", readiness_, "/-/ready", "", "", call_timeout_ms}).status ==
               http_ok;
    };
    while (!is_ready() && review::now_ms() < end) {
        review::sleep_ms(pause_ms);
    }
}

std::string victim::address_of(place where) const
{
    switch (where) {
    case place::queue:
    case place::no_route:
        return callers_;
    case place::readiness:
        return readiness_;
    case place::metrics:
    case place::peers:
        return peers_;
    }
    return {};
}

std::string victim::request_line(place where)
{
    switch (where) {
    case place::queue:
        return "POST /quotes/5c0e7a2100000002 HTTP/1.1\r\n";
    case place::no_route:
        return "POST /nowhere/5c0e7a2100000002 HTTP/1.1\r\n";
    case place::readiness:
        return "GET /-/ready HTTP/1.1\r\n";
    case place::metrics:
        return "GET /metrics HTTP/1.1\r\n";
    case place::peers:
        return "POST /central/call HTTP/1.1\r\n";
    }
    return {};
}

std::string victim::head(place where)
{
    return request_line(where) + "Host: quotes.example\r\n";
}

bool victim::stays_below_limits()
{
    return has_memory_left() && most_.descriptors < descriptor_limit;
}

bool victim::has_memory_left()
{
    const usage now = measure();
    most_.resident_bytes = std::max(most_.resident_bytes, now.resident_bytes);
    most_.descriptors = std::max(most_.descriptors, now.descriptors);
    constexpr std::size_t bytes_per_mb{1'048'576};
    return is_alive() && most_.resident_bytes < memory_limit_mb * bytes_per_mb;
}

usage victim::measure() const
{
    return {read_resident_bytes(process_.id()), count_descriptors(process_.id())};
}

review::http_answer victim::call(const std::string& method, const std::string& job,
                                 const std::string& body) const
{
    return review::send_call(
        {method, callers_, "/quotes/" + job, "quotes.example", body, call_timeout_ms});
}

std::string victim::run_ordinary_job()
{
    const std::string job = review::job_id(ordinary_job);
    const std::string body =
        R"({"task_spec":"work 50","steps":[{"count":2,"cpu":500,"mem_mb":256}]})";
    const std::int64_t end = review::now_ms() + wait_ms;
    while (call("POST", job, body).status != http_ok) {
        if (review::now_ms() >= end || !is_alive()) {
            return "not taken";
        }
        review::sleep_ms(pause_ms);
    }
    return wait_for_end(ordinary_job);
}

std::string victim::wait_for_end(unsigned job)
{
    const std::int64_t end = review::now_ms() + wait_ms;
    std::string state;
    while (state.find("completed") == std::string::npos && review::now_ms() < end && is_alive()) {
        state = call("GET", review::job_id(job), "").body;
        review::sleep_ms(pause_ms);
    }
    return state;
}

} // namespace crowd
