/// \file
/// Implementation of the soak's supervisor.
#include "supervisor.h"

#include <csignal>
#include <fstream>
#include <sys/wait.h>

namespace soak {

namespace {

/// From the SIGTERM of a planned stop to its SIGKILL.
constexpr std::int64_t grace_ms{6'000};

std::string describe(int status)
{
    return WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                               : "with code " + std::to_string(WEXITSTATUS(status));
}

/// \return the last term that the log's VM has won, or 0.
std::uint64_t last_term(const std::string& log_file)
{
    const std::string mark{"event=lease_won term="};
    std::ifstream log{log_file};
    std::string line;
    std::uint64_t term{0};
    while (std::getline(log, line)) {
        const auto at = line.find(mark);
        if (at != std::string::npos) {
            term = std::stoull(line.substr(at + mark.size()));
        }
    }
    return term;
}

} // namespace

void supervisor::stop(std::size_t vm)
{
    if (!runs(vm) || vms_[vm].kill_at != 0) {
        return;
    }
    begin_trouble(vm);
    vms_[vm].kill_at = review::now_ms() + grace_ms;
    world_.signal_vm(vm, SIGTERM);
}

void supervisor::kill_now(std::size_t vm, std::int64_t down_ms)
{
    if (!runs(vm)) {
        return;
    }
    notice_end(vm);
    if (!runs(vm)) {
        return;
    }
    begin_trouble(vm);
    world_.signal_vm(vm, SIGKILL);
    vms_[vm].kill_at = 0;
    vms_[vm].continue_at = 0;
    vms_[vm].restart_at = review::now_ms() + down_ms;
}

void supervisor::pause(std::size_t vm, std::int64_t length_ms)
{
    if (runs(vm)) {
        begin_trouble(vm);
        vms_[vm].continue_at = review::now_ms() + length_ms;
        world_.signal_vm(vm, SIGSTOP);
    }
}

void supervisor::reload(std::size_t vm)
{
    if (runs(vm)) {
        world_.signal_vm(vm, SIGHUP);
    }
}

void supervisor::tick()
{
    for (std::size_t vm{0}; vm < vms_.size(); ++vm) {
        process_state& state = vms_[vm];
        const std::int64_t now = review::now_ms();
        notice_end(vm);
        if (state.kill_at != 0 && now >= state.kill_at) {
            kill_now(vm, restart_after_ms_);
        }
        if (state.continue_at != 0 && now >= state.continue_at) {
            world_.signal_vm(vm, SIGCONT);
            state.continue_at = 0;
            if (state.kill_at == 0) {
                end_trouble(vm);
            }
        }
        if (state.restart_at != 0 && now >= state.restart_at) {
            state.restart_at = 0;
            world_.restart_vm(vm);
            end_trouble(vm);
        }
    }
}

void supervisor::notice_end(std::size_t vm)
{
    review::entry_vm& process = world_.vm_at(vm);
    int status{0};
    if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) {
        return;
    }
    process_state& state = vms_[vm];
    world_.log().add("entry VM " + process.name + ": ended " + describe(status));
    const bool was_told = state.kill_at != 0;
    // SIGTERM ends a process that has only just begun.
    const bool is_planned = was_told && (status == 0 || status == SIGTERM);
    if (!is_planned) {
        own_ends_.push_back("process of " + process.name + " " + describe(status) +
                            (was_told ? " while it was stopping" : ""));
    }
    begin_trouble(vm);
    process.pid = 0;
    state.kill_at = 0;
    state.continue_at = 0;
    state.restart_at = review::now_ms() + restart_after_ms_;
}

void supervisor::begin_trouble(std::size_t vm)
{
    if (vms_[vm].trouble_since == 0) {
        vms_[vm].trouble_since = review::now_ms();
    }
}

void supervisor::end_trouble(std::size_t vm)
{
    troubles_.push_back({{vms_[vm].trouble_since, review::now_ms()}, vm});
    vms_[vm].trouble_since = 0;
}

std::vector<vm_trouble> supervisor::troubles() const
{
    std::vector<vm_trouble> all = troubles_;
    for (std::size_t vm{0}; vm < vms_.size(); ++vm) {
        if (vms_[vm].trouble_since != 0) {
            all.push_back({{vms_[vm].trouble_since, review::now_ms()}, vm});
        }
    }
    return all;
}

std::optional<std::size_t> supervisor::scheduling_vm()
{
    std::optional<std::size_t> best;
    std::uint64_t best_term{0};
    for (std::size_t vm{0}; vm < vms_.size(); ++vm) {
        const std::uint64_t term = last_term(folder_ + "/" + world_.vm_at(vm).name + ".log");
        if (runs(vm) && term > best_term) {
            best = vm;
            best_term = term;
        }
    }
    return best;
}

} // namespace soak
