/// \file
/// Applying configuration changes; preset names and row keys.
#include "cuminmoor/configuration.h"

#include "absl/strings/str_format.h"
#include "context.h"
#include "cuminmoor/enumerators.h"
#include "cuminmoor/status.h"

namespace cuminmoor {

namespace {

const char* preset_name(preset p)
{
    switch (p) {
    case preset::ordinary:
        return "ordinary";
    case preset::peak:
        return "peak";
    case preset::maintenance:
        return "maintenance";
    }
    return "";
}

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
    const std::string name = preset_name(p);
    return name.empty() ? "unknown" : name;
}

absl::StatusOr<preset> parse_preset(const std::string& name)
{
    if (const auto found = find_enumerator<preset>(name, preset_name)) {
        return *found;
    }
    std::string known;
    for (std::size_t i = 0; i < count_enumerators<preset>(preset_name); ++i) {
        known += (known.empty() ? "" : ", ") + std::string{preset_name(static_cast<preset>(i))};
    }
    return unknown_preset_error("preset '" + name + "' is not known; use one of " + known);
}

std::string change_key(config_version version)
{
    return absl::StrFormat("%s%012d", config_change_prefix, version.value);
}

} // namespace cuminmoor
