/// \file
/// JSON encoding of the configuration and its changes.
#include "context.h"
#include "cuminmoor/configuration.h"
#include "cuminmoor/json_reader.h"
#include "cuminmoor/json_units.h"
#include "cuminmoor/status.h"

namespace cuminmoor {

namespace {

using nlohmann::json;

constexpr number_range task_count_range{0, 100'000};
constexpr number_range latency_range_us{0, 3'600'000'000};
constexpr number_range weight_range{1, 1'000'000};

/// Reads an optional `resources` object into `out`.
void read_resources(json_reader& reader, const char* field, resources& out)
{
    const json* const found = reader.find(field);
    if (found == nullptr) {
        return;
    }
    auto read = resources_from_json(*found, field);
    if (read.ok()) {
        out = *read;
    }
    else {
        reader.fail(read.status());
    }
}

json service_to_json(const service_spec& s)
{
    return {{"id", s.id.value},
            {"team", s.team.value},
            {"tasks", s.tasks},
            {"task_size", resources_to_json(s.task_size)},
            {"p99_target_us", s.p99_target_us}};
}

absl::StatusOr<service_spec> service_from_json(const json& value)
{
    service_spec s;
    json_reader reader{value, "service"};
    reader.name("id", s.id.value);
    reader.optional_name("team", s.team.value);
    reader.optional_number("tasks", s.tasks, task_count_range);
    read_resources(reader, "task_size", s.task_size);
    reader.optional_number("p99_target_us", s.p99_target_us, latency_range_us);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    return s;
}

json team_to_json(const team_spec& t)
{
    return {{"id", t.id.value}, {"weight", t.weight}, {"quota", resources_to_json(t.quota)}};
}

absl::StatusOr<team_spec> team_from_json(const json& value)
{
    team_spec t;
    json_reader reader{value, "team"};
    reader.name("id", t.id.value);
    reader.optional_number("weight", t.weight, weight_range);
    read_resources(reader, "quota", t.quota);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    return t;
}

absl::StatusOr<configuration_change> preset_change(json_reader& reader)
{
    std::string name;
    reader.name("preset", name);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    auto parsed = parse_preset(name);
    if (!parsed.ok()) {
        return parsed.status();
    }
    return use_preset{*parsed};
}

/// Parses a change whose only field is a name.
template <typename Change>
absl::StatusOr<configuration_change> named_change(json_reader& reader, const char* field)
{
    std::string name;
    reader.name(field, name);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    return Change{{name}};
}

/// Parses a change whose only field is an object.
template <typename Change, typename Parse>
absl::StatusOr<configuration_change> object_change(json_reader& reader, const char* field,
                                                   Parse parse)
{
    const json* const found = reader.required(field);
    if (auto fault = reader.finish(); !fault.ok()) {
        return fault;
    }
    auto parsed = parse(*found);
    if (!parsed.ok()) {
        return parsed.status();
    }
    return Change{*std::move(parsed)};
}

/// Reads the array `field` and calls `take` for each element; `take` returns a status.
template <typename Take>
void read_array(json_reader& reader, const char* field, Take take)
{
    const json* const found = reader.required(field);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        reader.fail(malformed_error(std::string{"field '"} + field + "' must be an array"));
        return;
    }
    for (const json& element : *found) {
        reader.fail(take(element));
    }
}

} // namespace

json change_to_json(const configuration_change& change)
{
    return std::visit(
        overloaded{
            [](const use_preset& c) {
                return json{{"kind", "use_preset"}, {"preset", name_of(c.name)}};
            },
            [](const take_domain_out& c) {
                return json{{"kind", "take_domain_out"},
                            {"failure_domain", c.failure_domain.value}};
            },
            [](const bring_domain_in& c) {
                return json{{"kind", "bring_domain_in"},
                            {"failure_domain", c.failure_domain.value}};
            },
            [](const put_service& c) {
                return json{{"kind", "put_service"}, {"service", service_to_json(c.service)}};
            },
            [](const remove_service& c) {
                return json{{"kind", "remove_service"}, {"service", c.service.value}};
            },
            [](const put_team& c) {
                return json{{"kind", "put_team"}, {"team", team_to_json(c.team)}};
            },
        },
        change);
}

absl::StatusOr<configuration_change> change_from_json(const json& value)
{
    json_reader reader{value, "change"};
    std::string kind;
    reader.name("kind", kind);
    if (auto fault = reader.finish_lenient(); !fault.ok()) {
        return fault;
    }
    if (kind == "use_preset") {
        return preset_change(reader);
    }
    if (kind == "take_domain_out") {
        return named_change<take_domain_out>(reader, "failure_domain");
    }
    if (kind == "bring_domain_in") {
        return named_change<bring_domain_in>(reader, "failure_domain");
    }
    if (kind == "put_service") {
        return object_change<put_service>(reader, "service", service_from_json);
    }
    if (kind == "remove_service") {
        return named_change<remove_service>(reader, "service");
    }
    if (kind == "put_team") {
        return object_change<put_team>(reader, "team", team_from_json);
    }
    return out_of_range_error("change: kind '" + kind +
                              "' is not known; use one of use_preset, take_domain_out, "
                              "bring_domain_in, put_service, remove_service, put_team");
}

std::string encode_change_row(const change_row& content)
{
    return dump_json(
        {{"change", change_to_json(content.change)}, {"nonce", content.written_by.value}});
}

absl::StatusOr<change_row> decode_change_row(const std::string& text)
{
    auto value = parse_json(text, "configuration change row");
    if (!value.ok()) {
        return value.status();
    }
    change_row content;
    json_reader reader{*value, "configuration change row"};
    reader.name("nonce", content.written_by.value);
    const json* const body = reader.required("change");
    if (auto fault = reader.finish_lenient(); !fault.ok()) {
        return fault;
    }
    auto change = change_from_json(*body);
    if (!change.ok()) {
        return change.status();
    }
    content.change = *std::move(change);
    return content;
}

std::string encode_config_head(config_version version)
{
    return dump_json({{"version", version.value}});
}

absl::StatusOr<config_version> decode_config_head(const std::string& text)
{
    auto value = parse_json(text, "configuration head row");
    if (!value.ok()) {
        return value.status();
    }
    config_version version;
    json_reader reader{*value, "configuration head row"};
    reader.number("version", version.value, {1});
    if (auto fault = reader.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return version;
}

json configuration_to_json(const configuration& snapshot)
{
    json domains_out = json::array();
    for (const auto& fd : snapshot.domains_out) {
        domains_out.push_back(fd.value);
    }
    json services = json::array();
    for (const auto& [id, spec] : snapshot.services) {
        services.push_back(service_to_json(spec));
    }
    json teams = json::array();
    for (const auto& [id, spec] : snapshot.teams) {
        teams.push_back(team_to_json(spec));
    }
    return {{"version", snapshot.version.value},
            {"preset", name_of(snapshot.active_preset)},
            {"domains_out", std::move(domains_out)},
            {"services", std::move(services)},
            {"teams", std::move(teams)}};
}

absl::StatusOr<configuration> configuration_from_json(const json& value)
{
    configuration snapshot;
    json_reader reader{value, "configuration"};
    reader.number("version", snapshot.version.value, {1});
    std::string preset_name;
    reader.name("preset", preset_name);
    read_array(reader, "domains_out", [&](const json& element) -> absl::Status {
        if (!element.is_string()) {
            return malformed_error("configuration: a failure domain must be a string");
        }
        snapshot.domains_out.insert({element.get<std::string>()});
        return absl::OkStatus();
    });
    read_array(reader, "services", [&](const json& element) -> absl::Status {
        auto spec = service_from_json(element);
        if (spec.ok()) {
            snapshot.services[spec->id] = *spec;
        }
        return spec.status();
    });
    read_array(reader, "teams", [&](const json& element) -> absl::Status {
        auto spec = team_from_json(element);
        if (spec.ok()) {
            snapshot.teams[spec->id] = *spec;
        }
        return spec.status();
    });
    if (auto fault = reader.finish_lenient(); !fault.ok()) {
        return fault;
    }
    auto active = parse_preset(preset_name);
    if (!active.ok()) {
        return active.status();
    }
    snapshot.active_preset = *active;
    return snapshot;
}

} // namespace cuminmoor
