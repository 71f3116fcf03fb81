/// \file
/// Mapping between the store's types and the platform's JSON.
#include "platform_json.h"

#include <utility>

#include "cuminmoor/json_reader.h"
#include "cuminmoor/status.h"

namespace cuminmoor::io {

namespace {

using nlohmann::json;

constexpr number_range version_range{1, INT64_MAX};
constexpr std::size_t max_address_bytes{64};
constexpr std::size_t max_key_bytes{1'024};
constexpr std::size_t max_value_bytes{std::size_t{16} << 20U};

vm_role parse_role(const std::string& text, json_reader& r)
{
    if (text == "entry") {
        return vm_role::entry;
    }
    if (text == "runner") {
        return vm_role::runner;
    }
    if (text != "worker") {
        r.fail(malformed_error("vm: role '" + text + "' is not entry, worker or runner"));
    }
    return vm_role::worker;
}

vm_phase parse_phase(const std::string& text, json_reader& r)
{
    if (text == "leaving") {
        return vm_phase::leaving;
    }
    if (text != "live") {
        r.fail(malformed_error("vm: phase '" + text + "' is not live or leaving"));
    }
    return vm_phase::live;
}

absl::StatusOr<vm_entry> decode_vm(const json& item)
{
    json_reader r{item, "vm"};
    vm_entry vm;
    std::string role;
    std::string phase;
    r.name("id", vm.id.value);
    r.name("role", role);
    r.name("phase", phase);
    r.name("failure_domain", vm.failure_domain.value);
    r.optional_text("http", vm.http_address, max_address_bytes);
    r.optional_text("peer", vm.peer_address, max_address_bytes);
    r.optional_name("service", vm.service.value);
    vm.role = parse_role(role, r);
    vm.phase = parse_phase(phase, r);
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return vm;
}

absl::StatusOr<row> decode_row(const json& item)
{
    json_reader r{item, "row"};
    row decoded;
    r.required("key");
    r.required("value");
    r.optional_text("key", decoded.key, max_key_bytes);
    r.optional_text("value", decoded.value, max_value_bytes);
    r.number("version", decoded.version, version_range);
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return decoded;
}

/// Decodes every item of the list `name`; one bad item fails the whole list.
template <typename T, typename Decode>
absl::StatusOr<std::vector<T>> decode_list(const std::string& text, const char* name, Decode decode)
{
    const auto document = parse_json(text, "answer");
    if (!document.ok()) {
        return document.status();
    }
    json_reader r{*document, "answer"};
    const json* const list = r.required(name);
    if (list == nullptr || !list->is_array()) {
        return malformed_error(std::string{"answer: field '"} + name + "' must be a list");
    }
    std::vector<T> items;
    for (const json& item : *list) {
        auto decoded = decode(item);
        if (!decoded.ok()) {
            return decoded.status();
        }
        items.push_back(*std::move(decoded));
    }
    return items;
}

} // namespace

std::string encode_commit(const transaction& t)
{
    json preconditions = json::array();
    for (const precondition& p : t.preconditions) {
        preconditions.push_back({{"key", p.key}, {"version", p.version}});
    }
    json writes = json::array();
    for (const row_write& w : t.writes) {
        writes.push_back({{"key", w.key}, {"value", w.value ? json(*w.value) : json(nullptr)}});
    }
    return dump_json({{"preconditions", std::move(preconditions)}, {"writes", std::move(writes)}});
}

std::string encode_read(const store_read& r)
{
    json ranges = json::array();
    for (const key_range& k : r.ranges) {
        ranges.push_back({{"prefix", k.prefix}, {"from", k.from}, {"limit", k.limit}});
    }
    return dump_json({{"keys", r.keys}, {"ranges", std::move(ranges)}});
}

absl::StatusOr<row_version> decode_commit_answer(const std::string& text)
{
    const auto document = parse_json(text, "answer");
    if (!document.ok()) {
        return document.status();
    }
    json_reader r{*document, "answer"};
    row_version revision{0};
    r.number("revision", revision, version_range);
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return revision;
}

absl::StatusOr<std::vector<row>> decode_rows(const std::string& text)
{
    return decode_list<row>(text, "rows", decode_row);
}

absl::StatusOr<std::vector<vm_entry>> decode_vm_list(const std::string& text)
{
    return decode_list<vm_entry>(text, "vms", decode_vm);
}

} // namespace cuminmoor::io
