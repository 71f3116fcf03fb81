/// \file
/// Stand-in for the platform: table service, object store and VM list in memory.
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_split.h"
#include "faults.h"
#include "json_fields.h"
#include "machine_settings.h"
#include "platform_table.h"
#include "standin_http.h"

namespace standin {

namespace {

http_reply reply_with(const json& body, int status = 200)
{
    return {status, body.dump(), {}, false};
}

class platform {
public:
    explicit platform(http_host& host) : host_{host} {}

    connection_fate handle(const http_call& call, const reply_sender& send)
    {
        if (call.path.starts_with("/control/")) {
            send(control(call));
            return connection_fate::answered;
        }
        const auto fault = faults_.draw();
        if (fault == "down") {
            send(reply_with({{"error", "down"}}, 503));
            return connection_fate::answered;
        }
        if (fault == "unreachable") {
            return connection_fate::dropped;
        }
        if (fault == "lose_answers") {
            (void)serve(call);
            return connection_fate::dropped;
        }
        const auto delay = fault == "slow" ? faults_.delay() : std::chrono::milliseconds{0};
        host_.after(delay, [this, call, send] { send(serve(call)); });
        return connection_fate::answered;
    }

    /// Changes the list as POST /control/vms asks.
    void list_vms(const json& body)
    {
        for (const auto& vm : array_at(body, "put")) {
            vms_[text_at(vm, "id")] = vm;
        }
        for (const auto& id : array_at(body, "remove")) {
            if (id.is_string()) {
                vms_.erase(id.get<std::string>());
            }
        }
    }

    [[nodiscard]] json counts() const
    {
        const auto& c = table_.counts();
        return {{"commits", c.commits},           {"conflicts", c.conflicts},
                {"rows_written", c.rows_written}, {"reads", c.reads},
                {"rows_read", c.rows_read},       {"revision", table_.revision()}};
    }

private:
    http_reply serve(const http_call& call)
    {
        if (call.path == "/v1/table/commit") {
            return commit(parse_json(call.body));
        }
        if (call.path == "/v1/table/read") {
            return reply_with({{"rows", table_.read(parse_json(call.body))}});
        }
        if (call.path.starts_with(objects_prefix)) {
            return object(call);
        }
        if (call.path == "/v1/vms") {
            return reply_with(listed_vms());
        }
        return reply_with({{"error", "no such path"}}, 404);
    }

    http_reply commit(const json& body)
    {
        if (!body.is_object()) {
            return reply_with({{"error", "the body is not a JSON object"}}, 400);
        }
        const auto failed = table_.commit(body);
        if (failed) {
            return reply_with({{"failed", *failed}}, 409);
        }
        return reply_with({{"revision", table_.revision()}});
    }

    http_reply object(const http_call& call)
    {
        const auto key = call.path.substr(objects_prefix.size());
        if (call.method == "PUT") {
            objects_[key] = call.body;
            return reply_with(json::object());
        }
        const auto found = objects_.find(key);
        if (found == objects_.end()) {
            return reply_with({{"error", "no such object"}}, 404);
        }
        return {200, found->second, {}, false};
    }

    [[nodiscard]] json listed_vms() const
    {
        auto list = json::array();
        for (const auto& [id, vm] : vms_) {
            list.push_back(vm);
        }
        return {{"vms", list}};
    }

    http_reply control(const http_call& call)
    {
        const auto body = parse_json(call.body);
        if (call.path == "/control/fault") {
            faults_.set(parse_fault(body));
            return reply_with(json::object());
        }
        if (call.path == "/control/vms") {
            list_vms(body);
            return reply_with(listed_vms());
        }
        if (call.path == "/control/read") {
            // Tests look at rows here also while a fault is in force.
            return reply_with({{"rows", table_.read(body)}});
        }
        if (call.path == "/control/counts") {
            return reply_with(counts());
        }
        return reply_with({{"error", "no such path"}}, 404);
    }

    inline static const std::string objects_prefix = "/v1/objects/";

    http_host& host_;
    platform_table table_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, json> vms_;
    fault_switch faults_;
};

namespace po = boost::program_options;

po::options_description platform_flags()
{
    po::options_description flags{"standin_platform"};
    auto add = flags.add_options();
    add("http", po::value<std::string>()->default_value(""), "address, a.b.c.d:port");
    add("entry", po::value<std::vector<std::string>>()->default_value({}, ""),
        "an entry VM in the list: NAME,FAILURE_DOMAIN,HTTP,PEER; may be repeated");
    return flags;
}

/// Reads "NAME,FAILURE_DOMAIN,HTTP,PEER".
absl::StatusOr<json> parse_entry_vm(const std::string& text)
{
    constexpr std::size_t parts_of_entry = 4;
    const std::vector<std::string> parts = absl::StrSplit(text, ',');
    if (parts.size() != parts_of_entry) {
        return absl::InvalidArgumentError("--entry: \"" + text +
                                          "\": write it as NAME,FAILURE_DOMAIN,HTTP,PEER");
    }
    return json{
        {"id", parts[0]},   {"role", "entry"},  {"phase", "live"}, {"failure_domain", parts[1]},
        {"http", parts[2]}, {"peer", parts[3]}, {"service", ""}};
}

absl::StatusOr<json> parse_entry_vms(const po::variables_map& values)
{
    auto list = json::array();
    for (const auto& text : values["entry"].as<std::vector<std::string>>()) {
        auto vm = parse_entry_vm(text);
        if (!vm.ok()) {
            return vm.status();
        }
        list.push_back(*std::move(vm));
    }
    return list;
}

int serve_platform(const endpoint& at, const json& entry_vms)
{
    http_host host;
    platform service{host};
    service.list_vms({{"put", entry_vms}});
    host.listen(at, [&service](const http_call& call, const reply_sender& send) {
        return service.handle(call, send);
    });
    host.when_ready([&at] { std::cout << "event=ready http=" << to_string(at) << std::endl; });
    const int result = host.run();
    std::cout << "event=ended counts=" << service.counts().dump() << std::endl;
    return result;
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    const auto flags = standin::platform_flags();
    const auto values = standin::parse_flags(argc, argv, flags);
    const auto at = values.ok() ? standin::parse_endpoint((*values)["http"].as<std::string>())
                                : values.status();
    const auto entry_vms = at.ok() ? standin::parse_entry_vms(*values) : at.status();
    if (!entry_vms.ok()) {
        std::cerr << entry_vms.status().message() << "\n" << flags;
        return 2;
    }
    return standin::serve_platform(*at, *entry_vms);
}
