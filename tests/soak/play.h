/// \file
/// Carries out the scenario of a soak on real processes, and tells what was seen.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "judge.h"
#include "scenario.h"
#include "supervisor.h"
#include "world.h"

namespace soak {

class play {
public:
    /// Logs go to `folder`, which is in the environment as `FOLDER`.
    play(std::uint64_t seed, std::string folder);

    /// \return what was seen, or an empty optional when the VMs did not become ready.
    std::optional<observations> run();

private:
    void start_cluster();
    void submit_services();
    void submit_service(unsigned number, const std::string& text, unsigned tasks);
    void plan_actions();
    void carry_out_plan();
    /// Loses the runners of the loops whose services have worked for long enough.
    void advance_loops();
    void advance_loop(std::size_t index);
    /// Begins the action and plans its end.
    void begin(const action& a);
    void begin_vm_action(const action& a);
    /// These run on the loop's thread, while the caller waits.
    void begin_store_action(const action& a);
    void begin_runner_action(const action& a);
    void at_entrances(const action& a, const std::function<void(review::http_server&)>& what);
    /// All runners when the action names none.
    void at_runners(const action& a, const std::function<void(review::runner&)>& what);
    void note_trouble(const action& a);
    /// \return the action with the VM that schedules now in place of `scheduler`, each VM once.
    [[nodiscard]] action resolve(action a);
    /// Does it on the loop's thread after `delay_ms`.
    void later(std::int64_t delay_ms, std::function<void()> what);
    void change_manifest();
    [[nodiscard]] std::int64_t since_start() const { return review::now_ms() - started_at_; }

    std::uint64_t seed_;
    std::string folder_;
    review::world world_;
    scenario scenario_;
    std::size_t vm_count_{0};
    bool has_extra_queue_{false};
    std::int64_t started_at_{0};
    std::unique_ptr<supervisor> supervisor_;
    /// By time since the start.
    std::multimap<std::int64_t, std::function<void()>> plan_;
    observations seen_;

    struct loop_progress {
        int losses{0};
        /// When the runner is back from the last loss.
        std::int64_t back_at{0};
        /// When its service was first seen to work after the last loss; 0: not yet.
        std::int64_t works_since{0};
    };
    /// As in `scenario::loops`.
    std::vector<loop_progress> loops_;
};

} // namespace soak
