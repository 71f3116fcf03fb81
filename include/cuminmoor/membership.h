/// \file
/// Who is there: entry VMs, workers and runners, from the platform's lagging list and from peers.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/configuration.h"
#include "cuminmoor/ids.h"

namespace cuminmoor {

enum class vm_role : std::uint8_t { entry, worker, runner };

/// Life of a VM as the platform's list tells it. A VM that was listed and is not any more is gone.
enum class vm_phase : std::uint8_t { live, leaving, gone };

/// One line of the platform's list.
struct vm_entry {
    vm_id id;
    vm_role role{vm_role::worker};
    vm_phase phase{vm_phase::live};
    failure_domain_id failure_domain;
    /// "a.b.c.d:port" of its HTTP interface.
    std::string http_address;
    /// "a.b.c.d:port" for datagrams between entry VMs; empty for others.
    std::string peer_address;
    /// Service that a runner serves; empty for others.
    service_id service;
};

/// Effect: read the platform's list.
struct vm_list_read {};

/// Event: the list was read.
struct vm_list_done {
    bool ok{false};
    std::vector<vm_entry> vms;
};

/// Datagram between entry VMs, about twice a second, to every live entry VM of the own failure
/// domain and a few of each other one.
struct peer_heartbeat {
    vm_id from;
    failure_domain_id failure_domain;
    /// Changes with each start of the process.
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    bool leaving{false};
    config_version version;
    /// Age of the sender's confirmation of that version.
    millis confirmed_age;
    /// VMs that the sender knows to be leaving; spreads what the platform's list shows late.
    std::vector<vm_id> leaving_vms;
    /// Requests waiting at the sender, for sharing out slots.
    std::uint32_t waiting_requests{0};
    /// Holder and epoch of the lease of the sender's failure domain, as last seen.
    vm_id lease_holder;
    lease_epoch epoch;
    /// Whether the sender is that holder; the counts below are valid only then.
    bool is_holder{false};
    std::uint32_t assigned_tasks{0};
    std::uint32_t waiting_tasks{0};
};

/// Datagram: steps of the configuration that the receiver may lack.
struct peer_changes {
    vm_id from;
    std::vector<versioned_change> changes;
};

/// Datagram: something was put into the inbox of the receiver's failure domain.
struct peer_inbox_hint {
    vm_id from;
    failure_domain_id failure_domain;
};

using peer_message = std::variant<peer_heartbeat, peer_changes, peer_inbox_hint>;

/// Effect: send a datagram to another entry VM.
struct peer_send {
    vm_id to;
    peer_message message;
};

/// Event: a datagram arrived.
struct peer_received {
    peer_message message;
};

/// Another entry VM, as heard of.
struct peer_state {
    peer_heartbeat last;
    instant heard_at;
};

struct membership_state {
    /// Newest list, `gone` entries included until nothing refers to them.
    std::map<vm_id, vm_entry> vms;
    std::map<vm_id, peer_state> peers;
    /// Leaving according to the list or to any peer; never taken back while the VM is listed.
    std::set<vm_id> leaving;
    bool has_list{false};
    instant next_list_poll;
    bool list_in_flight{false};
    instant next_heartbeat;
    std::uint64_t heartbeat_sequence{0};
    /// Since when a listed VM has been missing from the list.
    std::map<vm_id, instant> missing_since;
};

/// \return true when the peer was heard lately, in the same or another failure domain, and is not
/// leaving.
bool is_peer_reachable(const membership_state& m, const vm_id& peer,
                       const failure_domain_id& own_domain, instant now);

/// \return every failure domain that a listed VM belongs to.
std::set<failure_domain_id> known_failure_domains(const membership_state& m);

} // namespace cuminmoor
