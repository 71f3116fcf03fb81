/// \file
/// Execution of effects, one function a kind.
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
        drop(e, s);
    }
    else {
        std::visit([this](const auto& what) { run(what); }, e.body);
    }
    return is_complete_;
}

void effect_executor::drop(const effect& e, state& s)
{
    s.counters.add("effect_expired");
    std::visit(
        [this](const auto& what) {
            if constexpr (requires { this->refuse(what); }) {
                refuse(what);
            }
        },
        e.body);
}

std::string effect_executor::http_address_of(const vm_id& vm) const
{
    const auto found = state_->membership.vms.find(vm);
    return found == state_->membership.vms.end() ? std::string{} : found->second.http_address;
}

void effect_executor::run(const store_commit& what)
{
    targets_.platform.commit(what, not_after_);
}

void effect_executor::run(const store_read& what)
{
    targets_.platform.read(what, not_after_);
}

void effect_executor::run(const object_put& what)
{
    targets_.platform.put(what, not_after_);
}

void effect_executor::run(const object_get& what)
{
    targets_.platform.get(what, not_after_);
}

void effect_executor::run(const vm_list_read& /*what*/)
{
    targets_.platform.read_vms(not_after_);
}

void effect_executor::run(const peer_send& what)
{
    const auto found = state_->membership.vms.find(what.to);
    if (found != state_->membership.vms.end()) {
        targets_.peers.send(what.message, found->second.peer_address);
    }
}

void effect_executor::run(const worker_sync& what)
{
    const std::string address = http_address_of(what.worker);
    if (address.empty()) {
        refuse(what);
        return;
    }
    targets_.workers.sync(what, address, not_after_);
}

void effect_executor::run(const request_dispatch& what)
{
    const std::string address = http_address_of(what.to);
    if (address.empty()) {
        refuse(what);
        return;
    }
    targets_.runners.dispatch(what, address, not_after_);
}

void effect_executor::run(const request_drop_dispatch& what)
{
    targets_.runners.drop(what.dispatch);
}

void effect_executor::run(const request_answer& what)
{
    auto call = targets_.calls.take(what.handle);
    if (!call) {
        return; // its caller has gone
    }
    const auto whole = measuring_clock::now() - call->arrived_at;
    targets_.measured.request_added.add(whole - call->at_backend);
    if (what.code != result_code::ok) {
        log_end("request_not_answered", *call, what.code);
    }
    call->respond(make_response(what, call->request_id));
}

void effect_executor::run(const command_answer& what)
{
    if (auto call = targets_.calls.take(what.handle)) {
        log_end("command_answered", *call, what.code);
        call->respond(make_response(what));
    }
}

void effect_executor::log_end(const char* event_name, const open_call& call, result_code code)
{
    const auto suppressed = refusal_log_.admit(clock_.now());
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

void effect_executor::run(const log_event& what)
{
    log_info(what.name, what.fields);
}

void effect_executor::run(const shutdown_complete& /*what*/)
{
    is_complete_ = true;
}

void effect_executor::refuse(const store_commit& what)
{
    sink_.post(store_committed{what.token, store_outcome::unavailable, 0});
}

void effect_executor::refuse(const store_read& what)
{
    sink_.post(store_read_done{what.token, false, clock_.now(), {}});
}

void effect_executor::refuse(const object_put& what)
{
    sink_.post(object_done{what.token, false, {}});
}

void effect_executor::refuse(const object_get& what)
{
    sink_.post(object_done{what.token, false, {}});
}

void effect_executor::refuse(const vm_list_read& /*what*/)
{
    sink_.post(vm_list_done{});
}

void effect_executor::refuse(const worker_sync& what)
{
    sink_.post(worker_synced{what.worker, false, clock_.now(), {}});
}

void effect_executor::refuse(const request_dispatch& what)
{
    dispatch_ended ended;
    ended.handle = what.handle;
    ended.dispatch = what.dispatch;
    ended.outcome = dispatch_outcome::not_sent;
    sink_.post(std::move(ended));
}

} // namespace cuminmoor::io
