/// \file
/// Drives one reducer against a fake table, for tests of individual parts of the reducer.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "cuminmoor/config.h"
#include "cuminmoor/reducer.h"
#include "scenario/fake_table.h"

namespace cuminmoor::test {

using scenario::fake_table;

/// Applies a commit to the table.
/// \return the response event for the reducer.
inline store_committed apply_commit(fake_table& table, const store_commit& request)
{
    const auto revision = table.commit(request.body);
    const auto outcome = revision ? store_outcome::ok : store_outcome::conflict;
    return {request.token, outcome, revision.value_or(0)};
}

/// An entry VM whose reads and commits are executed immediately. Command answers and datagrams are
/// recorded for the test; other effects are ignored.
class entry_vm_driver {
public:
    entry_vm_driver(fake_table& table, const std::string& name, const std::string& domain)
        : table_{table}
    {
        s.self = {{name}, {domain}, 7};
    }

    /// Fault injection: called for each commit instead of `apply_commit`; returns the response
    /// event for the reducer.
    std::function<store_committed(const store_commit&)> commit_hook;

    void deliver(const event& e)
    {
        std::vector<event> queue{e};
        while (!queue.empty()) {
            const event next = queue.front();
            queue.erase(queue.begin());
            for (auto& f : reducer_.step(s, next, now)) {
                execute(f.body, queue);
            }
        }
    }

    /// Advances the clock by `length` and delivers the ticks.
    void run_for(millis length)
    {
        const instant end = now + length;
        while (now < end) {
            now = now + config::tick_period;
            deliver(tick{});
        }
    }

    void list_vms(std::vector<vm_entry> vms)
    {
        vms_ = std::move(vms);
        run_for(config::vm_list_poll * 2);
    }

    /// Runs a command until it is answered, for at most ten seconds of the driver's clock.
    std::optional<command_answer> run(const command& body)
    {
        const traffic_handle handle{next_handle_++};
        deliver(command_arrived{handle, body});
        for (int i = 0; i < 200 && !answers.contains(handle); ++i) {
            run_for(config::tick_period);
        }
        return answers.contains(handle) ? std::optional{answers[handle]} : std::nullopt;
    }

    state s;
    instant now{1'000};
    std::map<traffic_handle, command_answer> answers;
    std::vector<peer_send> datagrams;

private:
    void execute(const effect_body& body, std::vector<event>& queue)
    {
        if (const auto* commit = std::get_if<store_commit>(&body)) {
            queue.emplace_back(commit_hook ? commit_hook(*commit) : apply_commit(table_, *commit));
        }
        else if (const auto* read = std::get_if<store_read>(&body)) {
            queue.emplace_back(store_read_done{read->token, true, now, table_.read(*read)});
        }
        else if (std::holds_alternative<vm_list_read>(body)) {
            queue.emplace_back(vm_list_done{true, vms_});
        }
        else if (const auto* answer = std::get_if<command_answer>(&body)) {
            answers[answer->handle] = *answer;
        }
        else if (const auto* datagram = std::get_if<peer_send>(&body)) {
            datagrams.push_back(*datagram);
        }
    }

    fake_table& table_;
    policy_set policies_{make_first_fit_policies()};
    reducer reducer_{policies_};
    std::vector<vm_entry> vms_;
    std::uint64_t next_handle_{1};
};

} // namespace cuminmoor::test
