/// \file
/// Request-path state of one entry VM: queues, runner slots and claims.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cuminmoor/backend_pool.h"
#include "cuminmoor/claim.h"
#include "cuminmoor/clock.h"
#include "cuminmoor/config.h"
#include "cuminmoor/fair_queue.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/request.h"
#include "cuminmoor/retry_budget.h"
#include "cuminmoor/service_time.h"
#include "cuminmoor/store.h"

namespace cuminmoor {

/// Lifecycle phase of an open request.
enum class request_phase : std::uint8_t {
    /// The claim row is being written.
    claiming,
    /// The claim row is being read.
    reading_claim,
    /// Another attempt holds the claim; its row is polled.
    polling_claim,
    /// The same request is already open on this entry VM; this one waits for its answer.
    joined,
    /// Waiting for a slot.
    queued,
    /// A dispatch is in flight.
    dispatched,
    /// Execution has ended; the outcome is being written to the claim row.
    settling,
};

/// Final write to the claim row. `release` deletes the row.
enum class settle_action : std::uint8_t { none, release, store_answer, mark_unknown };

/// Kind of the store call in flight for a claim.
enum class claim_call : std::uint8_t { none, claim, read, settle };

/// Store state of a non-idempotent request's claim.
struct claim_progress {
    std::string key;
    /// Row content; status and answer are updated at settlement.
    claim_record record;
    /// Version of our row; 0 if the write is not confirmed.
    row_version version{0};
    /// True after a write with an unknown outcome: the row may still appear without a confirmation.
    bool write_unknown{false};
    /// True after the row was read with another attempt's nonce.
    bool held_by_other_attempt{false};
    claim_call call{claim_call::none};
    /// Store token number of `call`.
    std::uint64_t call_number{0};
    std::uint32_t store_attempts{0};
    settle_action action{settle_action::none};
    /// Start of the settlement; limits its retry time.
    instant settling_since;
    /// Refusal to send once the release is confirmed, or at the deadline.
    std::optional<request_answer> deferred_refusal;
    /// The runner's answer, for the joined requests.
    std::optional<request_answer> final_answer;
    /// Repeats of this request that wait for its answer; may contain handles of closed requests.
    std::vector<traffic_handle> joined_requests;
};

/// An open request. It stays open after its answer while a dispatch is in flight or its claim row
/// is being settled.
struct open_request {
    request_arrived arrived;
    request_phase phase{request_phase::queued};
    /// Answered or abandoned: no further answer is sent to the caller.
    bool answered{false};
    /// A dispatch was lost, so a refusal must not promise that nothing ran.
    bool may_have_run{false};
    /// The dispatch in flight; valid in phase `dispatched`.
    dispatch_handle dispatch;
    /// Target of the latest dispatch.
    vm_id sent_to;
    bool to_entry_vm{false};
    instant sent_at;
    /// Number of dispatches so far.
    std::uint32_t attempts{0};
    /// Number of dispatches to entry VMs of other failure domains so far.
    std::uint32_t spills{0};
    /// Next timer expiry; also the request's entry in `request_state::timers`.
    instant timer_at;
    /// Set for non-idempotent requests that run in this failure domain.
    std::optional<claim_progress> claim;
};

/// Per-service dispatch state of this entry VM.
struct service_state {
    /// Runners of this failure domain.
    backend_pool runners;
    /// Entry VMs in other failure domains that have runners of this service.
    backend_pool spill;
    fair_queue waiting;
    service_time_estimator service_time;
    retry_budget retries;
};

/// An entry VM that takes part in the slot split.
struct slot_member {
    vm_id id;
    /// Demand, at least `config::demand_floor`.
    std::uint64_t weight{1};

    bool operator==(const slot_member&) const = default;
};

/// This entry VM's slots of one runner.
struct runner_slots {
    service_id service;
    /// Bit n is set if this entry VM owns slot n.
    std::uint32_t owned{0};
    /// Time from which each owned slot may be used; its previous owner has stopped using it by
    /// then.
    std::array<instant, static_cast<std::size_t>(config::slots_per_runner)> usable_at{};
};

/// An entry VM of another failure domain that accepts spilled requests.
struct spill_target {
    vm_id id;
    failure_domain_id failure_domain;

    bool operator==(const spill_target&) const = default;
};

/// Routing tables derived from the membership, and the inputs of the last refresh.
struct route_state {
    std::size_t last_vm_count{0};
    std::size_t last_leaving_count{0};
    bool vm_list_loaded{false};
    /// Time of the last full refresh; a long gap means that this process was paused.
    instant refreshed_at;
    /// Live runners of this failure domain by service, sorted by id.
    std::map<service_id, std::vector<vm_id>> runners;
    /// Other failure domains that have live runners, by service.
    std::map<service_id, std::set<failure_domain_id>> remote_failure_domains;
    /// Entry VMs of this failure domain in the VM list, including this one.
    std::vector<vm_id> listed_entry_vms;
    /// Entry VMs that share the slots of `runners`, sorted by id; includes this one.
    std::vector<slot_member> members;
    /// Slots of this entry VM, by runner.
    std::map<vm_id, runner_slots> slots;
    /// Time at which the next owned slot becomes usable.
    instant next_slot_change{never};
    /// Entry VMs of other failure domains that currently accept spilled requests.
    std::vector<spill_target> spill_targets;
};

/// Slot of a lost or dropped dispatch. It stays reserved because the runner may still be executing
/// the request.
struct held_slot {
    instant release_at;
    service_id service;
    bool to_entry_vm{false};
    vm_id backend_server;
};

struct request_state {
    std::map<traffic_handle, open_request> open;
    /// `timer_at` of every open request.
    std::set<std::pair<instant, traffic_handle>> timers;
    std::map<service_id, service_state> services;
    route_state routes;
    /// Sorted by `release_at`.
    std::deque<held_slot> held_slots;
    /// The open request that owns each claim key on this entry VM.
    std::map<std::string, traffic_handle> claims;
    std::map<std::uint64_t, traffic_handle> store_calls;
    /// Total body size of the requests in `open`, in bytes.
    std::size_t body_bytes{0};
    /// Smoothed number of open requests, in thousandths.
    std::uint64_t demand_permille{0};
    /// Demand reported in heartbeats. Updated only on large changes, so that slots rarely change
    /// owner.
    std::uint64_t announced_demand{0};
    std::uint64_t next_dispatch{1};
    std::uint64_t next_store_call{1};
    std::uint64_t next_nonce{1};
};

/// \return the demand to report in heartbeats: the smoothed number of queued and in-flight
/// requests.
std::uint32_t waiting_requests(const request_state& requests);

/// \return true while some service has live runners here but this entry VM may not use any of its
/// slots yet, e.g. after startup. The entry VM is not ready for load in that state.
bool are_slots_in_handover(const request_state& requests);

/// \return the maximum number of connections from this entry VM to one runner. Together the entry
/// VMs stay within the runner's connection limit.
std::int64_t connection_limit_per_runner(const request_state& requests);

} // namespace cuminmoor
