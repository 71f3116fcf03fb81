/// \file
/// Stand-in for the platform: table service, object store and VM list in memory.
#include <iostream>
#include <map>
#include <string>
#include <utility>

#include "faults.h"
#include "json_fields.h"
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
            return reply_with(list_vms());
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

    [[nodiscard]] json list_vms() const
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
            change_vms(body);
            return reply_with(list_vms());
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

    void change_vms(const json& body)
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

    inline static const std::string objects_prefix = "/v1/objects/";

    http_host& host_;
    platform_table table_;
    std::map<std::string, std::string> objects_;
    std::map<std::string, json> vms_;
    fault_switch faults_;
};

int serve_platform(const endpoint& at)
{
    http_host host;
    platform service{host};
    host.listen(at, [&service](const http_call& call, const reply_sender& send) {
        return service.handle(call, send);
    });
    host.when_ready([&at] { std::cout << "event=ready http=" << to_string(at) << std::endl; });
    return host.run();
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    if (argc != 3 || std::string{argv[1]} != "--http") {
        std::cerr << "usage: standin_platform --http a.b.c.d:port\n";
        return 2;
    }
    const auto at = standin::parse_endpoint(argv[2]);
    if (!at.ok()) {
        std::cerr << at.status().message() << "\n";
        return 2;
    }
    return standin::serve_platform(*at);
}
