/// \file
/// Executes effects, one function per kind.
#include "effect_executor.h"

#include <utility>

#include "answers.h"
#include "logging.h"

namespace cuminmoor::io {

effect_executor::effect_executor(const effect_targets& targets, clock_source& clock,
                                 event_sink& sink)
    : targets_{targets}, clock_{clock}, sink_{sink}
{
}

bool effect_executor::execute(const effect& e, state& s)
{
    state_ = &s;
    not_after_ = e.not_after;
    is_complete_ = false;
    if (clock_.now() > e.not_after) {
        report_expired(e, s);
    }
    else {
        std::visit([this](const auto& body) { run(body); }, e.body);
    }
    return is_complete_;
}

void effect_executor::report_expired(const effect& e, state& s)
{
    s.counters.add("effect_expired");
    std::visit(
        [this](const auto& body) {
            if constexpr (requires { this->report_not_executed(body); }) {
                report_not_executed(body);
            }
        },
        e.body);
}

std::string effect_executor::http_address_of(const vm_id& vm) const
{
    const auto found = state_->membership.vms.find(vm);
    return found == state_->membership.vms.end() ? std::string{} : found->second.http_address;
}

void effect_executor::run(const store_commit& body)
{
    targets_.platform.commit(body, not_after_);
}

void effect_executor::run(const store_read& body)
{
    targets_.platform.read(body, not_after_);
}

void effect_executor::run(const object_put& body)
{
    targets_.platform.put(body, not_after_);
}

void effect_executor::run(const object_get& body)
{
    targets_.platform.get(body, not_after_);
}

void effect_executor::run(const vm_list_read& /*body*/)
{
    targets_.platform.read_vms(not_after_);
}

void effect_executor::run(const peer_send& body)
{
    const auto found = state_->membership.vms.find(body.to);
    if (found != state_->membership.vms.end()) {
        targets_.peers.send(body.message, found->second.peer_address);
    }
}

void effect_executor::run(const worker_sync& body)
{
    const std::string address = http_address_of(body.worker);
    if (address.empty()) {
        report_not_executed(body);
        return;
    }
    targets_.workers.sync(body, address, not_after_);
}

void effect_executor::run(const request_dispatch& body)
{
    const std::string address = http_address_of(body.to);
    if (address.empty()) {
        report_not_executed(body);
        return;
    }
    targets_.runners.dispatch(body, address, not_after_);
}

void effect_executor::run(const request_drop_dispatch& body)
{
    targets_.runners.drop(body.dispatch);
}

void effect_executor::run(const request_answer& body)
{
    auto call = targets_.calls.take(body.handle);
    if (!call) {
        return; // the caller closed its connection
    }
    const auto total_time = measuring_clock::now() - call->arrived_at;
    targets_.process_metrics.request_overhead.add(total_time - call->backend_time);
    if (body.code != result_code::ok) {
        log_outcome("request_not_answered", *call, body.code);
    }
    call->respond(make_response(body, call->request_id));
}

void effect_executor::run(const command_answer& body)
{
    if (auto call = targets_.calls.take(body.handle)) {
        log_outcome("command_answered", *call, body.code);
        call->respond(make_response(body));
    }
}

void effect_executor::log_outcome(const char* event_name, const open_call& call, result_code code)
{
    const auto suppressed = outcome_log_limiter_.admit(clock_.now());
    if (!suppressed) {
        return;
    }
    std::vector<log_field> fields{{"request", call.request_id},
                                  {"caller", call.caller},
                                  {"target", call.target},
                                  {"code", std::string{name_of(code)}}};
    if (*suppressed > 0) {
        fields.push_back({"suppressed", std::to_string(*suppressed)});
    }
    log_info(event_name, std::move(fields));
}

void effect_executor::run(const log_event& body)
{
    log_info(body.name, body.fields);
}

void effect_executor::run(const shutdown_complete& /*body*/)
{
    is_complete_ = true;
}

void effect_executor::report_not_executed(const store_commit& body)
{
    sink_.post(store_committed{body.token, store_outcome::unavailable, 0});
}

void effect_executor::report_not_executed(const store_read& body)
{
    sink_.post(store_read_done{body.token, false, clock_.now(), {}});
}

void effect_executor::report_not_executed(const object_put& body)
{
    sink_.post(object_done{body.token, false, {}});
}

void effect_executor::report_not_executed(const object_get& body)
{
    sink_.post(object_done{body.token, false, {}});
}

void effect_executor::report_not_executed(const vm_list_read& /*body*/)
{
    sink_.post(vm_list_done{});
}

void effect_executor::report_not_executed(const worker_sync& body)
{
    sink_.post(worker_synced{body.worker, false, clock_.now(), {}});
}

void effect_executor::report_not_executed(const request_dispatch& body)
{
    dispatch_ended ended;
    ended.handle = body.handle;
    ended.dispatch = body.dispatch;
    ended.outcome = dispatch_outcome::not_sent;
    sink_.post(std::move(ended));
}

} // namespace cuminmoor::io
