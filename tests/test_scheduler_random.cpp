/// \file
/// Short random histories of two failure domains with faults. The invariants are checked after
/// every event.
#include <criterion/criterion.h>

#include <cstdlib>
#include <iostream>

#include "scenario/random_history.h"

namespace cm = cuminmoor;

namespace {

constexpr std::uint64_t histories{1'500};

std::map<std::string, std::uint64_t> totals;
cm::millis max_start_after_out;
cm::millis max_start_after_leaving;

void add_result(const cm::scenario::history_result& result)
{
    max_start_after_out = std::max(max_start_after_out, result.start_after_out);
    max_start_after_leaving = std::max(max_start_after_leaving, result.start_after_leaving);
    for (const auto& [name, n] : result.counters) {
        totals[name] += n;
    }
}

void print_totals()
{
    for (const auto& [name, n] : totals) {
        std::cout << name << " " << n << "\n";
    }
    std::cout << "longest time to last start, ms: domain out " << max_start_after_out.count
              << ", worker leaving " << max_start_after_leaving.count << "\n";
}

/// \return seed and violation of the first history that violates an invariant; empty: none.
std::string first_violation(const cm::protocol_switches& switches, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto result = cm::scenario::run_random_history(seed, switches);
        add_result(result);
        if (!result.violation.empty()) {
            return "seed " + std::to_string(seed) + ": " + result.violation;
        }
    }
    return {};
}

} // namespace

Test(scheduler_random, invariants_hold_in_all_histories)
{
    const char* const single_seed = std::getenv("CUMINMOOR_SEED");
    if (single_seed != nullptr) {
        const auto result =
            cm::scenario::run_random_history(std::strtoull(single_seed, nullptr, 10), {});
        cr_assert(result.violation.empty(), "%s", result.violation.c_str());
        return;
    }
    const auto violation = first_violation({}, histories);
    print_totals();
    cr_assert(violation.empty(), "%s", violation.c_str());
}

Test(scheduler_random, violations_are_detected_without_each_mechanism)
{
    cm::protocol_switches all;
    struct mechanism {
        const char* name;
        bool cm::protocol_switches::*flag;
    };
    const mechanism mechanisms[] = {
        {"fencing", &cm::protocol_switches::fencing},
        {"read_back", &cm::protocol_switches::read_back},
        {"start_validity", &cm::protocol_switches::start_validity},
        {"config_precondition", &cm::protocol_switches::config_precondition},
        {"positive_evidence", &cm::protocol_switches::positive_evidence},
    };
    for (const auto& m : mechanisms) {
        auto switches = all;
        switches.*m.flag = false;
        const auto violation = first_violation(switches, histories);
        std::cout << "without " << m.name << ": " << violation << "\n";
        cr_expect(!violation.empty(), "without %s nothing was detected", m.name);
    }
}
