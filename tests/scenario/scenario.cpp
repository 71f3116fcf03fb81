/// \file
/// Parser and runner of scenarios.
#include "scenario/scenario.h"

#include <functional>
#include <map>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace cuminmoor::scenario {

namespace {

constexpr std::uint64_t seed{1};

using words = std::vector<std::string>;

std::int64_t number(const std::string& text)
{
    std::int64_t n = -1;
    return absl::SimpleAtoi(text, &n) ? n : -1;
}

/// Runs the steps of one scenario. A step returns an error message, or an empty string.
class runner {
public:
    runner(const scenario_file& file, const protocol_switches& switches)
        : file_{file}, w_{seed, switches}
    {
    }

    scenario_result run()
    {
        const instant begin = w_.now();
        for (const auto& d : file_.domains) {
            w_.add_domain(d[1], static_cast<int>(number(d[2])), static_cast<int>(number(d[3])));
        }
        for (const auto& step : file_.steps) {
            w_.run_until(begin + millis{step.at.ms});
            const std::string problem = run_step(step.words);
            if (!problem.empty() || !w_.check.violation().empty()) {
                return {w_.check.violation(), absl::StrCat("line ", step.line, ": ", problem)};
            }
        }
        return {w_.check.violation(), ""};
    }

private:
    using step_function = std::string (runner::*)(const words&);
    struct step_handler {
        std::size_t min_words;
        step_function run;
    };

    std::string run_step(const words& s)
    {
        static const std::map<std::string, step_handler> known{
            {"submit", {10, &runner::submit}},    {"cancel", {4, &runner::cancel}},
            {"kill", {2, &runner::run_vm_step}},  {"stop", {2, &runner::run_vm_step}},
            {"start", {2, &runner::run_vm_step}}, {"freeze", {2, &runner::run_vm_step}},
            {"thaw", {2, &runner::run_vm_step}},  {"restart", {2, &runner::run_vm_step}},
            {"end", {2, &runner::run_vm_step}},   {"leave", {2, &runner::run_vm_step}},
            {"break", {2, &runner::run_vm_step}}, {"cut", {3, &runner::cut}},
            {"heal", {1, &runner::heal}},         {"store", {2, &runner::store}},
            {"delay_syncs", {2, &runner::delay}}, {"operator", {3, &runner::change_configuration}},
            {"mark", {1, &runner::mark}},         {"expect", {3, &runner::expect}},
        };
        const auto found = known.find(s.front());
        if (found == known.end() || s.size() < found->second.min_words) {
            return "unknown step, or too few words: " + s.front();
        }
        return (this->*found->second.run)(s);
    }

    std::string resolve(const std::string& name)
    {
        const auto colon = name.find(':');
        if (colon == std::string::npos) {
            return name;
        }
        const std::string fd = name.substr(colon + 1);
        if (name.starts_with("leader:")) {
            last_leader_[fd] = w_.leader(fd);
        }
        return last_leader_[fd];
    }

    std::string submit(const words& s)
    {
        w_.submit(s[1], s[3], static_cast<std::uint32_t>(number(s[5])), {number(s[7])},
                  number(s[9]));
        return {};
    }
    std::string cancel(const words& s)
    {
        w_.cancel(s[1], s[3]);
        return {};
    }
    std::string run_vm_step(const words& s)
    {
        static const std::map<std::string, std::function<void(world&, const std::string&)>> known{
            {"kill", &world::kill},
            {"stop", &world::stop},
            {"start", &world::add_entry_vm},
            {"freeze", &world::freeze},
            {"thaw", &world::thaw},
            {"restart", &world::restart_worker},
            {"end", &world::end_worker},
            {"leave", &world::leave},
            {"break",
             [](world& w, const std::string& n) { w.workers[n].fails_all_attempts = true; }},
        };
        const std::string name = resolve(s[1]);
        if (name.empty()) {
            return "the failure domain has no leader";
        }
        known.at(s[0])(w_, name);
        return {};
    }
    std::string cut(const words& s)
    {
        auto& vm = w_.vms[resolve(s[1])];
        vm.cut_store = vm.cut_store || s[2] == "store";
        vm.cut_peers = vm.cut_peers || s[2] == "peers";
        vm.cut_workers = vm.cut_workers || s[2] == "workers";
        vm.cut_configuration = vm.cut_configuration || s[2] == "configuration";
        return {};
    }
    std::string heal(const words& /*s*/)
    {
        w_.heal();
        return {};
    }
    std::string store(const words& s)
    {
        static const std::map<std::string, store_fault> known{
            {"none", store_fault::none},
            {"down", store_fault::down},
            {"slow", store_fault::slow},
            {"lose_answers", store_fault::lose_answers},
        };
        const auto found = known.find(s[1]);
        if (found == known.end()) {
            return "unknown store fault " + s[1];
        }
        w_.fault = found->second;
        w_.store_delay = {s.size() > 2 ? number(s[2]) : 0};
        return {};
    }
    std::string delay(const words& s)
    {
        w_.sync_delay = {number(s[1])};
        return {};
    }
    std::string change_configuration(const words& s)
    {
        if (s[1] == "out") {
            w_.change(take_domain_out{{s[2]}});
        }
        else if (s[1] == "service" && s.size() > 4) {
            w_.change(put_service{{{s[2]},
                                   {"kente"},
                                   static_cast<std::uint32_t>(number(s[3])),
                                   {number(s[4]) * 1'000, 1'024, 0},
                                   0}});
        }
        else if (s[1] == "remove") {
            w_.change(remove_service{{s[2]}});
        }
        else if (s[1] == "in") {
            w_.change(bring_domain_in{{s[2]}});
        }
        else {
            const auto name = parse_preset(s[2]);
            if (!name.ok()) {
                return std::string{name.status().message()};
            }
            w_.change(use_preset{*name});
        }
        return {};
    }
    std::string mark(const words& /*s*/)
    {
        for (const auto& d : file_.domains) {
            starts_at_mark_[d[1]] = w_.check.starts_in({d[1]});
        }
        return {};
    }

    std::string expect_counted(const words& s, task_phase phase)
    {
        const auto n = phase == task_phase::cancelled ? w_.check.count_cancelled({s[2]})
                                                      : w_.check.count_ended({s[2]}, phase);
        const bool is_met = s.size() > 3 && n == static_cast<std::uint32_t>(number(s[3]));
        return is_met ? "" : absl::StrCat(s[2], " has ", n, " ", s[1]);
    }
    std::int64_t count_running(const std::string& fd)
    {
        std::int64_t n = 0;
        for (auto& [name, worker] : w_.workers) {
            worker.run_until(w_.now());
            for (const auto& [key, a] : worker.attempts) {
                n += name.starts_with(fd) && a.status == task_status::running ? 1 : 0;
            }
        }
        return n;
    }
    std::string expect_idle(const std::string& fd)
    {
        for (auto& [name, worker] : w_.workers) {
            worker.run_until(w_.now());
            for (const auto& [key, a] : worker.attempts) {
                if (name.starts_with(fd) && a.status == task_status::running) {
                    return to_string(key.first) + " still runs on " + name;
                }
            }
        }
        return {};
    }
    std::string expect(const words& s)
    {
        static const std::map<std::string, task_phase> phases{
            {"finished", task_phase::finished},
            {"failed", task_phase::failed},
            {"cancelled", task_phase::cancelled},
        };
        if (const auto phase = phases.find(s[1]); phase != phases.end()) {
            return expect_counted(s, phase->second);
        }
        if (s[1] == "leader" || s[1] == "no_leader") {
            const bool is_met = w_.leader(s[2]).empty() == (s[1] == "no_leader");
            return is_met ? "" : "leader is '" + w_.leader(s[2]) + "'";
        }
        if (s[1] == "no_start") {
            return w_.check.starts_in({s[2]}) == starts_at_mark_[s[2]] ? "" : "tasks were started";
        }
        if (s[1] == "running" && s.size() > 3) {
            const auto n = count_running(s[2]);
            return n == number(s[3]) ? "" : absl::StrCat(n, " tasks run in ", s[2]);
        }
        if (s[1] == "idle") {
            return expect_idle(s[2]);
        }
        if (s[1] == "counter" && s.size() > 3) {
            const auto n = w_.counters()[s[2]];
            const bool is_met = n >= static_cast<std::uint64_t>(number(s[3]));
            return is_met ? "" : absl::StrCat(s[2], " is ", n);
        }
        return "unknown expectation " + s[1];
    }

    const scenario_file& file_;
    world w_;
    std::map<std::string, std::string> last_leader_;
    std::map<std::string, std::uint64_t> starts_at_mark_;
};

words split(const std::string& line)
{
    std::istringstream in{line.substr(0, line.find('#'))};
    words found;
    for (std::string word; in >> word;) {
        found.push_back(word);
    }
    return found;
}

absl::Status add_line(scenario_file& file, const words& w, int line)
{
    if (w.front() == "domain" && w.size() == 4) {
        file.domains.push_back(w);
        return absl::OkStatus();
    }
    if (w.front() == "breaks_without" && w.size() == 2) {
        file.breaks_without.push_back(w[1]);
        return absl::OkStatus();
    }
    if (w.front() != "at" || w.size() < 3 || number(w[1]) < 0) {
        return absl::InvalidArgumentError(absl::StrCat(
            "line ", line, ": a line must begin with 'domain', 'breaks_without' or 'at MS'"));
    }
    file.steps.push_back({line, instant{number(w[1])}, {w.begin() + 2, w.end()}});
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<scenario_file> parse_scenario(const std::string& text)
{
    scenario_file file;
    std::istringstream in{text};
    int line = 0;
    for (std::string content; std::getline(in, content);) {
        ++line;
        const words w = split(content);
        if (w.empty()) {
            continue;
        }
        if (auto status = add_line(file, w, line); !status.ok()) {
            return status;
        }
    }
    return file;
}

absl::StatusOr<protocol_switches> switches_without(const std::string& mechanism)
{
    protocol_switches switches;
    const std::map<std::string, bool*> known{
        {"fencing", &switches.fencing},
        {"read_back", &switches.read_back},
        {"start_validity", &switches.start_validity},
        {"config_precondition", &switches.config_precondition},
        {"positive_evidence", &switches.positive_evidence},
    };
    const auto found = known.find(mechanism);
    if (found == known.end()) {
        return absl::InvalidArgumentError("unknown mechanism " + mechanism);
    }
    *found->second = false;
    return switches;
}

scenario_result run_scenario(const scenario_file& file, const protocol_switches& switches)
{
    return runner{file, switches}.run();
}

} // namespace cuminmoor::scenario
