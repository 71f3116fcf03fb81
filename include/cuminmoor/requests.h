/// \file
/// State of the request path of one entry VM: the queue, the runners' slots, the claims.
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

/// Where a request is between its arrival and its end.
enum class request_phase : std::uint8_t {
    /// Its claim is being written.
    claiming,
    /// The row under its claim's key is being read.
    reading_claim,
    /// Another attempt holds the claim; the row is read again from time to time.
    polling_claim,
    /// The same request is open here already; it waits for that one.
    joined,
    /// It waits for a slot.
    queued,
    /// A dispatch is under way.
    dispatched,
    /// Nothing runs any more; the end is being written to its claim row.
    settling,
};

/// What is still to be written to the claim row.
enum class settle_action : std::uint8_t { none, release, store_answer, mark_unknown };

/// Kind of the store call that is under way for a claim.
enum class claim_call : std::uint8_t { none, claim, read, settle };

/// A non-idempotent request's way through the store.
struct claim_progress {
    std::string key;
    /// Content of the row; its status and answer change at the end.
    claim_record record;
    /// Version of our row; 0: not known to be written.
    row_version version{0};
    /// True once a write of this claim had an unknown outcome: the row may appear without us
    /// hearing of it.
    bool write_unknown{false};
    /// True once the row was seen under another attempt's nonce.
    bool held_by_other_attempt{false};
    claim_call call{claim_call::none};
    /// Number of the store token of `call`.
    std::uint64_t call_number{0};
    std::uint32_t store_attempts{0};
    settle_action action{settle_action::none};
    /// When the settlement began; bounds its tries.
    instant settling_since;
    /// Refusal that is given once the release is known, or at the deadline.
    std::optional<request_answer> deferred_refusal;
    /// The runner's answer, for those that joined.
    std::optional<request_answer> final_answer;
    /// Repeats of this request that wait here; may name requests that have ended.
    std::vector<traffic_handle> joined_requests;
};

/// A request between its arrival and its end. It outlives its answer while a dispatch is under way
/// or its claim row is being settled.
struct open_request {
    request_arrived arrived;
    request_phase phase{request_phase::queued};
    /// Answered or abandoned: nothing more is said to the caller.
    bool answered{false};
    /// A dispatch was lost: no refusal may promise that nothing ran.
    bool may_have_run{false};
    /// The dispatch that is under way; valid in phase `dispatched`.
    dispatch_handle dispatch;
    /// Where it was sent last.
    vm_id sent_to;
    bool to_entry_vm{false};
    instant sent_at;
    /// Dispatches so far.
    std::uint32_t attempts{0};
    /// Dispatches to entry VMs of other failure domains so far.
    std::uint32_t spills{0};
    /// When it is looked at next; its entry in `request_state::wakes`.
    instant timer_at;
    /// Set for non-idempotent requests that are to run in this failure domain.
    std::optional<claim_progress> claim;
};

/// A service as this entry VM serves it.
struct service_state {
    /// Runners of this failure domain.
    backend_pool runners;
    /// Entry VMs of other failure domains that have runners of this service.
    backend_pool spill;
    fair_queue waiting;
    service_time_estimator service_time;
    retry_budget retries;
};

/// An entry VM among which slots are shared.
struct slot_member {
    vm_id id;
    /// Its demand; at least `config::demand_floor`.
    std::uint64_t weight{1};

    bool operator==(const slot_member&) const = default;
};

/// The slots of one runner that belong to this entry VM.
struct runner_slots {
    service_id service;
    /// Bit n set: slot n is ours.
    std::uint32_t owned{0};
    /// When a slot of ours may be used first: its last owner has stopped using it by then.
    std::array<instant, static_cast<std::size_t>(config::slots_per_runner)> usable_at{};
};

/// An entry VM of another failure domain that takes requests.
struct spill_target {
    vm_id id;
    failure_domain_id failure_domain;

    bool operator==(const spill_target&) const = default;
};

/// What was derived from the membership, and what it was derived from.
struct route_state {
    std::size_t last_vm_count{0};
    std::size_t last_leaving_count{0};
    bool vm_list_loaded{false};
    /// Last full refresh; a long gap means that this process was paused.
    instant refreshed_at;
    /// Live runners of this failure domain by service, in the order of their ids.
    std::map<service_id, std::vector<vm_id>> runners;
    /// Failure domains that have live runners of a service, the own one left out.
    std::map<service_id, std::set<failure_domain_id>> remote_failure_domains;
    /// Entry VMs of this failure domain according to the list, itself included.
    std::vector<vm_id> listed_entry_vms;
    /// The entry VMs that share the slots of `runners`, sorted by id; itself is one of them.
    std::vector<slot_member> members;
    /// Runners of which this entry VM has slots.
    std::map<vm_id, runner_slots> slots;
    /// When the next slot of ours becomes usable.
    instant next_slot_change{never};
    /// Entry VMs of other failure domains that take requests now.
    std::vector<spill_target> spill_targets;
};

/// The slot of a dispatch that was lost or dropped; the runner may still be busy with it.
struct held_slot {
    instant release_at;
    service_id service;
    bool to_entry_vm{false};
    vm_id backend_server;
};

struct request_state {
    std::map<traffic_handle, open_request> open;
    /// `wake_at` of every open request.
    std::set<std::pair<instant, traffic_handle>> timers;
    std::map<service_id, service_state> services;
    route_state routes;
    /// In the order of `release_at`.
    std::deque<held_slot> held_slots;
    /// The open request of this entry VM that works on a claim, by key.
    std::map<std::string, traffic_handle> claims;
    std::map<std::uint64_t, traffic_handle> store_calls;
    /// Sum over `open`.
    std::size_t body_bytes{0};
    /// Requests open here, smoothed, in thousandths.
    std::uint64_t demand_permille{0};
    /// What heartbeats report of it; moves only by large steps, so that slots rarely change hands.
    std::uint64_t announced_demand{0};
    std::uint64_t next_dispatch{1};
    std::uint64_t next_store_call{1};
    std::uint64_t next_nonce{1};
};

/// \return the demand to report in heartbeats: requests waiting or under way, smoothed.
std::uint32_t waiting_requests(const request_state& requests);

/// \return true while this entry VM has slots of some service's runners but may use none of them
/// yet, as after its start; it is not ready for load then.
bool are_slots_in_handover(const request_state& requests);

/// \return connections that this entry VM may keep open to one runner, so that all together stay
/// within the runner's limit.
std::int64_t connection_limit_per_runner(const request_state& requests);

} // namespace cuminmoor
