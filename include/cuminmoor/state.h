/// \file
/// State of one entry VM. All of it is in memory; durable state is in the store.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cuminmoor/commands.h"
#include "cuminmoor/configuration.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/membership.h"
#include "cuminmoor/requests.h"
#include "cuminmoor/scheduler.h"

namespace cuminmoor {

/// Identity of this process, from its settings.
struct self_identity {
    vm_id vm;
    failure_domain_id failure_domain;
    /// Unique to each start of the process; also the seed of the jitter.
    std::uint64_t incarnation{0};
};

/// Event counters by name, with one counter per reason of a rejection or retry.
class counter_set {
public:
    void add(const std::string& name, std::uint64_t n = 1) { counts_[name] += n; }
    [[nodiscard]] std::uint64_t get(const std::string& name) const
    {
        const auto found = counts_.find(name);
        return found == counts_.end() ? 0 : found->second;
    }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& all() const { return counts_; }

private:
    std::map<std::string, std::uint64_t> counts_;
};

struct state {
    self_identity self;
    configuration_state configuration;
    membership_state membership;
    scheduler_state scheduler;
    request_state requests;
    command_state commands;
    counter_set counters;
    bool stopping{false};
    /// State of the pseudo-random generator; see `jitter`.
    std::uint64_t jitter_state{0};
};

/// Advances the pseudo-random generator of the state.
/// \return a pseudo-random number in [0, bound); 0 if bound is 0.
std::uint64_t jitter(state& s, std::uint64_t bound);

} // namespace cuminmoor
