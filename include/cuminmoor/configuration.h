/// \file
/// Versioned cluster configuration and its changes.
///
/// Store layout: `config/head` holds the current version, `config/change/<version>` the change that
/// created a version, and `config/snapshot` the complete configuration at some version. The head is
/// updated by compare-and-set in the same transaction as the change row, so versions never fork or
/// decrease.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "cuminmoor/clock.h"
#include "cuminmoor/ids.h"
#include "cuminmoor/store.h"
#include "cuminmoor/units.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

/// Named set of policy weights; exactly one is active.
enum class preset : std::uint8_t { ordinary, peak, maintenance };

/// A service. Its requests run on runners, its latency-critical tasks on workers.
struct service_spec {
    service_id id;
    team_id team;
    /// Number of latency-critical tasks kept running on workers; 0 if the service only has runners.
    std::uint32_t tasks{0};
    resources task_size;
    /// 99th percentile latency target, in microseconds.
    std::int64_t p99_target_us{0};
};

/// A team's fair-share weight and quota. A team without an entry has weight 1 and no quota.
struct team_spec {
    team_id id;
    std::int64_t weight{1};
    /// Upper bound on the resources held by its tasks; 0 in a dimension means no bound.
    resources quota;
};

struct use_preset {
    preset name{preset::ordinary};
};
struct take_domain_out {
    failure_domain_id failure_domain;
};
struct bring_domain_in {
    failure_domain_id failure_domain;
};
struct put_service {
    service_spec service;
};
struct remove_service {
    service_id service;
};
struct put_team {
    team_spec team;
};

/// One change of the configuration.
using configuration_change = std::variant<use_preset, take_domain_out, bring_domain_in, put_service,
                                          remove_service, put_team>;

/// A change and the version that it creates.
struct versioned_change {
    config_version version;
    configuration_change change;
};

struct configuration {
    config_version version;
    preset active_preset{preset::ordinary};
    std::set<failure_domain_id> domains_out;
    std::map<service_id, service_spec> services;
    std::map<team_id, team_spec> teams;

    [[nodiscard]] bool is_in_service(const failure_domain_id& fd) const
    {
        return !domains_out.contains(fd);
    }
};

/// Applies one change and sets the version to `change.version`.
/// \return false, with `current` unmodified, if `change.version` is not the next version.
bool apply_change(configuration& current, const versioned_change& change);

/// \return the preset's name, e.g. "peak".
std::string name_of(preset p);
/// \return the preset with that name, or an error that lists the valid names.
absl::StatusOr<preset> parse_preset(const std::string& name);

/// \return key of the row that holds the change to `version`.
std::string change_key(config_version version);

/// JSON form of a change, used both in the operator API and in stored rows, e.g.
/// {"kind":"use_preset","preset":"peak"}.
nlohmann::json change_to_json(const configuration_change& change);
absl::StatusOr<configuration_change> change_from_json(const nlohmann::json& value);

/// Content of a `config/change/N` row.
struct change_row {
    configuration_change change;
    nonce written_by;
};
std::string encode_change_row(const change_row& content);
absl::StatusOr<change_row> decode_change_row(const std::string& text);

/// Content of `config/head`.
std::string encode_config_head(config_version version);
absl::StatusOr<config_version> decode_config_head(const std::string& text);

nlohmann::json configuration_to_json(const configuration& snapshot);
absl::StatusOr<configuration> configuration_from_json(const nlohmann::json& value);

inline constexpr const char* config_head_key = "config/head";
inline constexpr const char* config_snapshot_key = "config/snapshot";
inline constexpr const char* config_change_prefix = "config/change/";

/// Configuration state of one entry VM.
struct configuration_state {
    configuration current;
    /// Row version of `config/head` that matches `current`. It is the precondition of configuration
    /// changes and of every transaction that starts tasks. 0 if it has not been read yet.
    row_version head_row_version{0};
    /// Send time of the newest read that confirmed `current`.
    instant confirmed_at{-1'000'000'000};
    instant next_poll;
    bool poll_in_flight{false};
    /// True if the next poll must read the snapshot too, because some changes after `current` have
    /// been deleted.
    bool needs_snapshot{true};
    /// Newest changes, oldest first, at most `config::max_recent_changes`; sent to lagging peers.
    std::vector<versioned_change> recent_changes;
};

} // namespace cuminmoor
