/// \file
/// What disturbs the processes of a soak, drawn from its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace soak {

enum class act : std::uint8_t {
    /// SIGTERM; the process starts again after its end.
    planned_stop,
    /// SIGHUP.
    reload,
    /// Another version of the queues.
    manifest,
    /// SIGKILL; the process starts again at the action's end.
    kill_vm,
    /// SIGSTOP, and SIGCONT at the action's end.
    pause_vm,
    /// The store resets and refuses connections of some VMs.
    turn_away,
    /// The store takes what some VMs send and says nothing.
    ignore,
    /// The store answers 503 to all.
    store_down,
    /// The store's answers take `amount` times as long.
    store_slow,
    /// `amount` percent of the transactions are done late and not answered.
    store_late,
    /// The VMs' open channels to the store go silent.
    silence_store,
    /// Nothing passes to and from some runners.
    cut_off,
    /// Runners lose all they run and boot at the action's end.
    crash_runner,
    /// Runners crash and boot at once under their ids; `amount` is in ms from there to their first
    /// heartbeats.
    restart_runner,
    /// The open channels to runners go silent.
    silence_runners,
    /// `amount` percent of the orders are carried out late and not answered.
    late_orders,
};

/// \return whether the VMs are told of it: no excuse for a task without a run.
bool is_planned(act what);
/// \return the name for logs.
const char* name_of(act what);

/// Stands for the VM that schedules when the action begins.
inline constexpr std::size_t scheduler{std::numeric_limits<std::size_t>::max()};

struct action {
    act what{act::planned_stop};
    /// Since the start of the soak.
    std::int64_t at_ms{0};
    std::int64_t length_ms{0};
    std::vector<std::size_t> vms;
    std::vector<std::size_t> runners;
    unsigned amount{0};
};

struct cluster_size {
    std::size_t vms{0};
    std::size_t runners{0};
    std::size_t services{0};
};

/// Tasks of each service.
inline constexpr unsigned tasks_per_service{6};

/// A runner that is lost again and again, each time soon after the service that only it may take
/// has started there.
struct loss_loop {
    std::size_t runner{0};
    int losses{0};
    /// Since the start of the soak.
    std::int64_t from_ms{0};
    /// From the start of the service to the next loss.
    std::int64_t work_ms{0};
    /// It is cut off for `length_ms` in place of a crash.
    bool is_cut{false};
    std::int64_t length_ms{0};
    /// Bit `n`: the scheduling VM is stopped with loss `n`, counted from 0.
    unsigned stops_with{0};
};

struct scenario {
    std::vector<action> actions;
    /// Texts of the jobs whose tasks run until they are cancelled.
    std::vector<std::string> services;
    /// Each with one more such job, of one task; see `only_on`.
    std::vector<loss_loop> loops;
    /// From the end of a stopped process to its next start.
    std::int64_t restart_after_ms{0};
};

/// No disturbance is later, since the start of the soak.
inline constexpr std::int64_t disturbed_until_ms{45'000};

/// \return the label that only this runner has.
std::string only_on(std::size_t runner);
/// \return the text of a job with one task that runs until it is cancelled, on this runner only.
std::string service_only_on(std::size_t runner);

/// The same for the same seed and size.
scenario draw_scenario(std::uint64_t seed, const cluster_size& size);

} // namespace soak
