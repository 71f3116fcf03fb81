/// \file
/// Applying configuration changes; preset names and row keys.
#include "cuminmoor/configuration.h"

#include <array>
#include <utility>

#include "absl/strings/str_format.h"
#include "context.h"
#include "cuminmoor/status.h"

namespace cuminmoor {

namespace {

constexpr std::array preset_names{std::pair{preset::ordinary, "ordinary"},
                                  std::pair{preset::peak, "peak"},
                                  std::pair{preset::maintenance, "maintenance"}};

void apply(configuration& current, const configuration_change& change)
{
    std::visit(overloaded{
                   [&](const use_preset& c) { current.active_preset = c.name; },
                   [&](const take_domain_out& c) { current.domains_out.insert(c.failure_domain); },
                   [&](const bring_domain_in& c) { current.domains_out.erase(c.failure_domain); },
                   [&](const put_service& c) { current.services[c.service.id] = c.service; },
                   [&](const remove_service& c) { current.services.erase(c.service); },
                   [&](const put_team& c) { current.teams[c.team.id] = c.team; },
               },
               change);
}

} // namespace

bool apply_change(configuration& current, const versioned_change& change)
{
    if (change.version.value != current.version.value + 1) {
        return false;
    }
    apply(current, change.change);
    current.version = change.version;
    return true;
}

std::string name_of(preset p)
{
    for (const auto& [value, name] : preset_names) {
        if (value == p) {
            return name;
        }
    }
    return "unknown";
}

absl::StatusOr<preset> parse_preset(const std::string& name)
{
    std::string known;
    for (const auto& [value, known_name] : preset_names) {
        if (name == known_name) {
            return value;
        }
        known += (known.empty() ? "" : ", ") + std::string{known_name};
    }
    return unknown_preset_error("preset '" + name + "' is not known; use one of " + known);
}

std::string change_key(config_version version)
{
    return absl::StrFormat("%s%012d", config_change_prefix, version.value);
}

} // namespace cuminmoor
