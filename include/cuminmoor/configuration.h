/// \file
/// The cluster's configuration: one version at a time, changed step by step.
///
/// In the store: `config/head` holds the version, `config/change/<version>` each step and
/// `config/snapshot` the whole at some version. The head moves by compare-and-set together with the
/// step, so versions never fork and never go back.
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

/// Named set of policy weights; exactly one is in force.
enum class preset : std::uint8_t { ordinary, peak, maintenance };

/// A service: requests to it go to runners, its latency-critical tasks to workers.
struct service_spec {
    service_id id;
    team_id team;
    /// Number of latency-critical tasks kept running on workers; 0 when it only has runners.
    std::uint32_t tasks{0};
    resources task_size;
    /// Target for its tail latency, in microseconds.
    std::int64_t p99_target_us{0};
};

/// A team's share. A team without an entry has weight 1 and no quota.
struct team_spec {
    team_id id;
    std::int64_t weight{1};
    /// Upper bound for what its tasks hold at once; zero in a dimension: no bound.
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

/// One step of the configuration.
using configuration_change = std::variant<use_preset, take_domain_out, bring_domain_in, put_service,
                                          remove_service, put_team>;

/// A step together with the version that it leads to.
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

/// Applies one step. The version becomes `step.version`.
/// \return false when `step.version` is not the next one; nothing is changed then.
bool apply_change(configuration& current, const versioned_change& change);

/// \return the preset's name, e.g. "peak".
std::string name_of(preset p);
/// \return the preset of that name, or an error that lists the known ones.
absl::StatusOr<preset> parse_preset(const std::string& name);

/// \return key of the row that holds the step to `version`.
std::string change_key(config_version version);

/// JSON form of a step, the same for operators and in rows: {"kind":"use_preset","preset":"peak"}.
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

/// What an entry VM knows of the configuration.
struct configuration_state {
    configuration current;
    /// Version of the row `config/head` that belongs to `current`; the precondition of a change and
    /// of every transaction that starts tasks. 0: not read yet.
    row_version head_row_version{0};
    /// When the newest read that confirmed `current` was sent.
    instant confirmed_at{-1'000'000'000};
    instant next_poll;
    bool poll_in_flight{false};
    /// The next poll reads the snapshot too: the steps since `current` are no longer all there.
    bool needs_snapshot{true};
    /// Newest steps, oldest first, at most `config::max_recent_changes`; for peers that lag.
    std::vector<versioned_change> recent_changes;
};

} // namespace cuminmoor
