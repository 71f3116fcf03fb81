/// \file
/// Implementation of the entry VM.
#include "entry_vm.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr const char* program{"target/daemon/cuminmoord"};
constexpr int http_ok{200};
constexpr std::int64_t restart_delay_ms{1'000};

std::string any_address()
{
    return std::string{loopback} + ":" + std::to_string(free_port());
}

} // namespace

entry_vm::entry_vm(vm_settings settings, recorder& record)
    : settings_{std::move(settings)}, record_{record}, callers_{any_address()},
      readiness_{any_address()}, peers_{any_address()}
{
}

entry_vm::~entry_vm()
{
    if (pid_ > 0) {
        kill(pid_, SIGCONT);
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void entry_vm::start()
{
    std::vector<std::string> variables{"CUMINMOOR_SCHEDULING=central",
                                       "CUMINMOOR_VM=" + settings_.name,
                                       "CUMINMOOR_FAILURE_DOMAIN=" + settings_.zone,
                                       "CUMINMOOR_HTTP_ADDRESS=" + callers_,
                                       "CUMINMOOR_READINESS_ADDRESS=" + readiness_,
                                       "CUMINMOOR_PEER_ADDRESS=" + peers_,
                                       "CUMINMOOR_PLATFORM=" + settings_.store_address,
                                       "CUMINMOOR_MAX_HOLD_MS=10000",
                                       "CUMINMOOR_KEEP_ENDED_S=120",
                                       "CUMINMOOR_CORE_SHARE=0.1",
                                       "CUMINMOOR_LINK_MBIT=1000",
                                       "CUMINMOOR_MEMORY_MB=" + std::to_string(settings_.memory_mb),
                                       "CUMINMOOR_MAX_DESCRIPTORS=4100",
                                       "CUMINMOOR_ATTAINABLE_FIRST=on"};
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (std::string& each : variables) {
        environment.push_back(each.data());
    }
    environment.push_back(nullptr);
    std::string name{program};
    std::vector<char*> arguments{name.data(), nullptr};
    const std::string log = settings_.log_folder + "/" + settings_.name + ".log";
    constexpr mode_t mode{0644};
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&pid_, program, &actions, nullptr, arguments.data(), environment.data()) != 0) {
        pid_ = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    record_.add("vm " + settings_.name + " starts");
}

void entry_vm::signal(int number) const
{
    if (pid_ > 0) {
        record_.add("vm " + settings_.name + " gets signal " + std::to_string(number));
        kill(pid_, number);
    }
}

void entry_vm::remove()
{
    is_removed_ = true;
    signal(SIGKILL);
}

std::int64_t entry_vm::resident_mb() const
{
    std::ifstream statm{"/proc/" + std::to_string(pid_) + "/statm"};
    std::int64_t total{0};
    std::int64_t resident{0};
    statm >> total >> resident;
    constexpr std::int64_t bytes_per_mb{1'048'576};
    return resident * sysconf(_SC_PAGESIZE) / bytes_per_mb;
}

bool entry_vm::has_ended()
{
    int status{0};
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
        return false;
    }
    pid_ = -1;
    ++own_ends_;
    record_.add("vm " + settings_.name + " has ended, status " + std::to_string(status));
    return true;
}

void entry_vm::supervise()
{
    if (is_removed_) {
        return;
    }
    if (pid_ <= 0) {
        if (restart_at_ms_ != 0 && record_.now_ms() >= restart_at_ms_) {
            restart_at_ms_ = 0;
            start();
        }
        return;
    }
    const std::int64_t resident = resident_mb();
    if (resident > settings_.memory_mb) {
        record_.add("vm " + settings_.name + " takes " + std::to_string(resident) + " MB, has " +
                    std::to_string(settings_.memory_mb) + ": killed");
        kill(pid_, SIGKILL);
    }
    if (has_ended()) {
        restart_at_ms_ = record_.now_ms() + restart_delay_ms;
    }
}

bool entry_vm::is_ready() const
{
    constexpr int timeout_ms{500};
    return send_call({"GET", readiness_, "/-/ready", "ready", "", timeout_ms}).status == http_ok;
}

} // namespace review
