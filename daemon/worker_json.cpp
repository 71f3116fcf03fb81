/// \file
/// Mapping between what passes to and from workers and JSON.
#include "worker_json.h"

#include <array>
#include <utility>

#include "cuminmoor/json_reader.h"
#include "cuminmoor/json_units.h"
#include "cuminmoor/status.h"

namespace cuminmoor::io {

namespace {

using nlohmann::json;

constexpr number_range attempt_range{1, UINT32_MAX};
constexpr number_range clock_range{0, 1'000'000'000'000'000};
constexpr number_range latency_range{0, 1'000'000'000'000};
constexpr std::size_t max_checkpoint_bytes{1'024};

json encode_order(const start_order& o)
{
    return {{"kind", "start"},
            {"task", to_string(o.task)},
            {"attempt", o.attempt},
            {"size", resources_to_json(o.size)},
            {"checkpoint", o.checkpoint},
            {"start_before_ms", o.start_before.ms},
            {"command", o.command}};
}

json encode_order(const stop_order& o)
{
    return {{"kind", "stop"},
            {"task", to_string(o.task)},
            {"attempt", o.attempt},
            {"checkpoint", o.checkpoint}};
}

json encode_order(const throttle_order& o)
{
    return {{"kind", "throttle"},
            {"task", to_string(o.task)},
            {"attempt", o.attempt},
            {"permille", o.permille}};
}

json encode_order(const acknowledge_order& o)
{
    return {{"kind", "acknowledge"}, {"task", to_string(o.task)}, {"attempt", o.attempt}};
}

struct status_name {
    const char* name;
    task_status status;
};

constexpr std::array status_names{
    status_name{"running", task_status::running}, status_name{"finished", task_status::finished},
    status_name{"failed", task_status::failed},   status_name{"stopped", task_status::stopped},
    status_name{"lapsed", task_status::lapsed},
};

task_status parse_status(const std::string& text, json_reader& r)
{
    for (const status_name& known : status_names) {
        if (text == known.name) {
            return known.status;
        }
    }
    r.fail(malformed_error("task: status '" + text + "' is not known"));
    return task_status::running;
}

void read_size(json_reader& r, const char* field, resources& out)
{
    if (const json* const found = r.find(field)) {
        const auto size = resources_from_json(*found, field);
        r.fail(size.status());
        out = size.value_or(resources{});
    }
}

absl::StatusOr<task_report> decode_task(const json& item)
{
    json_reader r{item, "task"};
    task_report task;
    std::string id;
    std::string status;
    r.required("task");
    r.optional_text("task", id, 2 * max_name_bytes);
    r.number("attempt", task.attempt, attempt_range);
    r.name("status", status);
    r.optional_text("checkpoint", task.checkpoint, max_checkpoint_bytes);
    read_size(r, "usage", task.usage);
    r.optional_number("p99_us", task.p99_us, latency_range);
    task.status = parse_status(status, r);
    const auto parsed = parse_task_id(id);
    r.fail(parsed.status());
    task.task = parsed.value_or(task_id{});
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return task;
}

absl::Status read_tasks(json_reader& r, std::vector<task_report>& out)
{
    const json* const list = r.required("tasks");
    if (list == nullptr) {
        return r.finish_lenient();
    }
    if (!list->is_array()) {
        return malformed_error("report: field 'tasks' must be a list");
    }
    for (const json& item : *list) {
        auto task = decode_task(item);
        if (!task.ok()) {
            return task.status();
        }
        out.push_back(*std::move(task));
    }
    return absl::OkStatus();
}

} // namespace

std::string encode_sync(const worker_sync& sync)
{
    json orders = json::array();
    for (const worker_order& order : sync.orders) {
        orders.push_back(std::visit([](const auto& o) { return encode_order(o); }, order));
    }
    const json document{{"incarnation", sync.incarnation},
                        {"renew_for_ms", sync.renew_for.count},
                        {"orders", std::move(orders)}};
    return dump_json(document);
}

absl::StatusOr<worker_report> decode_report(const std::string& text)
{
    const auto document = parse_json(text, "report");
    if (!document.ok()) {
        return document.status();
    }
    json_reader r{*document, "report"};
    worker_report report;
    r.name("incarnation", report.incarnation);
    r.number("clock_ms", report.clock.ms, clock_range);
    r.required("capacity");
    read_size(r, "capacity", report.capacity);
    r.optional_name("rack", report.rack.value);
    r.fail(read_tasks(r, report.tasks));
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return report;
}

} // namespace cuminmoor::io
