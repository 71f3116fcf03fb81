/// \file
/// Configuration synchronization: polls the head row, applies changes and relays them to peers.
///
/// The version never decreases: a change is applied only if it is the next one, and a snapshot only
/// if it is newer.
#include "configuration_sync.h"

#include <algorithm>

#include "cuminmoor/config.h"
#include "cuminmoor/json_reader.h"

namespace cuminmoor {

namespace {

constexpr store_token poll_token{store_user::configuration, 1};
constexpr store_token bootstrap_token{store_user::configuration, 2};
constexpr config_version first_version{1};

void append_recent_change(configuration_state& config_state, const versioned_change& change)
{
    config_state.recent_changes.push_back(change);
    if (config_state.recent_changes.size() > config::max_recent_changes) {
        config_state.recent_changes.erase(config_state.recent_changes.begin());
    }
}

void poll(context& c)
{
    auto& config_state = c.s.configuration;
    store_read read{poll_token, {config_head_key}, {}};
    if (config_state.needs_snapshot) {
        read.keys.emplace_back(config_snapshot_key);
    }
    const config_version next{config_state.current.version.value + 1};
    read.ranges.push_back({config_change_prefix, change_key(next), config::max_changes_per_read});
    config_state.poll_in_flight = true;
    c.out.add(std::move(read), c.now + config::store_timeout);
}

void on_tick(context& c)
{
    auto& config_state = c.s.configuration;
    if (config_state.poll_in_flight || c.now < config_state.next_poll) {
        return;
    }
    const auto spread = static_cast<std::uint64_t>(config::configuration_poll.count / 5);
    const millis early{static_cast<std::int64_t>(jitter(c.s, spread))};
    config_state.next_poll = c.now + config::configuration_poll - early;
    poll(c);
}

/// Writes version 1 to an empty table. If several entry VMs try, the precondition lets one succeed.
void write_first_version(context& c)
{
    configuration first;
    first.version = first_version;
    transaction body;
    body.preconditions.push_back({config_head_key, 0});
    body.writes.push_back({config_head_key, encode_config_head(first.version)});
    body.writes.push_back({config_snapshot_key, dump_json(configuration_to_json(first))});
    c.out.add(store_commit{bootstrap_token, std::move(body)}, c.now + config::store_timeout);
}

const row* find_row(const std::vector<row>& rows, const std::string& key)
{
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const row& r) { return r.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

void adopt_snapshot(context& c, const std::vector<row>& rows)
{
    const row* const found = find_row(rows, config_snapshot_key);
    if (found == nullptr) {
        return;
    }
    const auto value = parse_json(found->value, "configuration snapshot");
    if (!value.ok()) {
        c.s.counters.add("configuration_row_unreadable");
        return;
    }
    auto snapshot = configuration_from_json(*value);
    if (!snapshot.ok()) {
        c.s.counters.add("configuration_row_unreadable");
        return;
    }
    auto& config_state = c.s.configuration;
    if (snapshot->version > config_state.current.version) {
        config_state.current = *std::move(snapshot);
        config_state.recent_changes.clear();
        config_state.head_row_version = 0;
    }
}

void adopt_changes(context& c, const std::vector<row>& rows)
{
    for (const row& r : rows) {
        const config_version next{c.s.configuration.current.version.value + 1};
        if (r.key != change_key(next)) {
            continue;
        }
        const auto content = decode_change_row(r.value);
        if (!content.ok()) {
            c.s.counters.add("configuration_row_unreadable");
            return;
        }
        adopt_change(c, {next, content->change}, 0);
    }
}

/// Compares the current version with the head row, after all changes read with it were applied.
void confirm_against_head(context& c, const row& head, instant sent_at)
{
    auto& config_state = c.s.configuration;
    const auto version = decode_config_head(head.value);
    if (!version.ok()) {
        c.s.counters.add("configuration_row_unreadable");
        return;
    }
    if (*version < config_state.current.version) {
        // A relayed change arrived during the read; the next read will confirm it.
        c.s.counters.add("configuration_read_overtaken");
        request_configuration_poll(c);
        return;
    }
    if (*version > config_state.current.version) {
        config_state.needs_snapshot = true;
        request_configuration_poll(c);
        return;
    }
    config_state.needs_snapshot = false;
    config_state.head_row_version = head.version;
    config_state.confirmed_at = std::max(config_state.confirmed_at, sent_at);
}

void on_read(context& c, const store_read_done& done)
{
    auto& config_state = c.s.configuration;
    config_state.poll_in_flight = false;
    if (!done.ok) {
        c.s.counters.add("configuration_poll_failed");
        return;
    }
    const row* const head = find_row(done.rows, config_head_key);
    if (head == nullptr) {
        write_first_version(c);
        return;
    }
    adopt_snapshot(c, done.rows);
    adopt_changes(c, done.rows);
    confirm_against_head(c, *head, done.sent_at);
}

/// Applies changes from a peer. They are committed, because peers relay only changes that they
/// wrote to or read from the store.
void on_peer_changes(context& c, const peer_changes& message)
{
    for (const auto& change : message.changes) {
        if (adopt_change(c, change, 0)) {
            c.s.counters.add("configuration_step_from_peer");
            request_configuration_poll(c);
        }
    }
}

} // namespace

bool adopt_change(context& c, const versioned_change& change, row_version head_row_version)
{
    auto& config_state = c.s.configuration;
    if (!apply_change(config_state.current, change)) {
        return false;
    }
    config_state.head_row_version = head_row_version;
    append_recent_change(config_state, change);
    c.s.counters.add("configuration_step_adopted");
    return true;
}

void request_configuration_poll(context& c)
{
    c.s.configuration.next_poll = c.now;
}

void relay_changes(context& c, const std::vector<versioned_change>& changes)
{
    for (const auto& [id, vm] : c.s.membership.vms) {
        if (vm.role == vm_role::entry && vm.phase != vm_phase::gone && id != c.s.self.vm) {
            c.out.add(peer_send{id, peer_changes{c.s.self.vm, changes}},
                      c.now + config::peer_timeout);
        }
    }
}

void relay_to_lagging_peer(context& c, const vm_id& peer, config_version peer_version)
{
    const auto& config_state = c.s.configuration;
    peer_changes message{c.s.self.vm, {}};
    for (const auto& change : config_state.recent_changes) {
        if (change.version > peer_version &&
            message.changes.size() < config::max_changes_per_datagram) {
            message.changes.push_back(change);
        }
    }
    const bool is_contiguous =
        !message.changes.empty() && message.changes.front().version.value == peer_version.value + 1;
    if (is_contiguous) {
        c.out.add(peer_send{peer, std::move(message)}, c.now + config::peer_timeout);
    }
}

void handle_configuration(context& c, const event& e)
{
    if (std::holds_alternative<tick>(e)) {
        on_tick(c);
    }
    if (const auto* done = std::get_if<store_read_done>(&e); done && done->token == poll_token) {
        on_read(c, *done);
    }
    if (const auto* done = std::get_if<store_committed>(&e);
        done && done->token == bootstrap_token) {
        request_configuration_poll(c);
    }
    if (const auto* received = std::get_if<peer_received>(&e)) {
        if (const auto* changes = std::get_if<peer_changes>(&received->message)) {
            on_peer_changes(c, *changes);
        }
    }
}

} // namespace cuminmoor
