/// \file
/// Membership: the known entry VMs, workers and runners. The sources are the platform's list, which
/// lags behind, and heartbeats of peers.
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

/// Lifecycle phase of a VM according to the platform's list. A VM that was listed becomes `gone`
/// after it has been missing from the list for `config::gone_confirmation`.
enum class vm_phase : std::uint8_t { live, leaving, gone };

/// One entry of the platform's list.
struct vm_entry {
    vm_id id;
    vm_role role{vm_role::worker};
    vm_phase phase{vm_phase::live};
    failure_domain_id failure_domain;
    /// Address of its HTTP interface, "a.b.c.d:port".
    std::string http_address;
    /// Address for datagrams between entry VMs, "a.b.c.d:port"; empty for other roles.
    std::string peer_address;
    /// Service that a runner serves; empty for other roles.
    service_id service;
};

/// Effect: read the platform's list.
struct vm_list_read {};

/// Event: the read of the platform's list completed or failed.
struct vm_list_done {
    bool ok{false};
    std::vector<vm_entry> vms;
};

/// Datagram that an entry VM sends about twice a second to all other entry VMs of its own failure
/// domain and to one entry VM of each other failure domain, in rotation.
struct peer_heartbeat {
    vm_id from;
    failure_domain_id failure_domain;
    /// Changes with each start of the process.
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    bool leaving{false};
    config_version version;
    /// Time since the sender sent the read that last confirmed `version`.
    millis confirmed_age;
    /// VMs that the sender knows to be leaving. Peers learn of them before the platform's list,
    /// which lags, shows them as leaving.
    std::vector<vm_id> leaving_vms;
    /// Requests queued at the sender; weights the distribution of slots among entry VMs.
    std::uint32_t waiting_requests{0};
    /// Holder and epoch of the lease of the sender's failure domain, as last read by the sender.
    vm_id lease_holder;
    lease_epoch epoch;
    /// Whether the sender holds the lease and has recovered; otherwise the counts below are
    /// invalid.
    bool is_holder{false};
    std::uint32_t assigned_tasks{0};
    std::uint32_t waiting_tasks{0};
};

/// Datagram: configuration changes that the receiver may not have yet.
struct peer_changes {
    vm_id from;
    std::vector<versioned_change> changes;
};

/// Datagram: a row was added to the inbox of the receiver's failure domain.
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

/// Last heartbeat of another entry VM and when it arrived.
struct peer_state {
    peer_heartbeat last;
    instant heard_at;
};

struct membership_state {
    /// Entries of the newest list, and the last entries of VMs that are missing from it, which
    /// become `gone`.
    std::map<vm_id, vm_entry> vms;
    std::map<vm_id, peer_state> peers;
    /// VMs that are leaving according to the list or any peer. A VM is never removed from this set
    /// while it is listed.
    std::set<vm_id> leaving;
    bool has_list{false};
    instant next_list_poll;
    bool list_in_flight{false};
    instant next_heartbeat;
    std::uint64_t heartbeat_sequence{0};
    /// For each VM missing from the newest list but not yet `gone`: when it was first missing.
    std::map<vm_id, instant> missing_since;
};

/// \return true if the peer is not leaving and its last heartbeat is recent: not older than
/// `config::peer_timeout` in the own failure domain, `config::remote_peer_timeout` in others.
bool is_peer_reachable(const membership_state& m, const vm_id& peer,
                       const failure_domain_id& own_domain, instant now);

/// \return the failure domains of all entries in `m.vms`.
std::set<failure_domain_id> known_failure_domains(const membership_state& m);

} // namespace cuminmoor
