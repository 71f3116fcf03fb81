/// \file
/// Runners and spill entry VMs over HTTP.
#include <cstdlib>
#include <map>
#include <mutex>
#include <utility>

#include "io_limits.h"
#include "runner_client.h"
#include "url.h"

namespace cuminmoor::io {

namespace {

constexpr int http_too_many_requests{429};
constexpr int http_unavailable{503};

bool says_not_run(const http_result& r)
{
    const std::string* const not_run = find_header(r.headers, "X-Not-Run");
    return not_run != nullptr && *not_run == "1";
}

dispatch_outcome runner_outcome(const http_result& r)
{
    const bool is_refusal = r.status == http_too_many_requests || r.status == http_unavailable;
    return is_refusal && says_not_run(r) ? dispatch_outcome::refused : dispatch_outcome::answered;
}

/// An entry VM passes a runner's answer on with code 0; any other code is its own.
dispatch_outcome entry_outcome(const http_result& r)
{
    const std::string* const text = find_header(r.headers, "X-Result-Code");
    if (text == nullptr) {
        return dispatch_outcome::lost;
    }
    if (*text == "0") {
        return dispatch_outcome::answered;
    }
    const auto code = static_cast<result_code>(std::atoi(text->c_str()));
    return is_certainly_not_run(code) && says_not_run(r) ? dispatch_outcome::refused
                                                         : dispatch_outcome::lost;
}

dispatch_ended read_result(const dispatch_ended& ids, bool from_entry_vm, http_result r)
{
    dispatch_ended done = ids;
    switch (r.outcome) {
    case http_outcome::answered:
        done.outcome = from_entry_vm ? entry_outcome(r) : runner_outcome(r);
        done.status = r.status;
        done.body = std::make_shared<const std::string>(std::move(r.body));
        break;
    case http_outcome::not_sent:
        done.outcome = dispatch_outcome::not_sent;
        break;
    case http_outcome::lost:
        done.outcome = dispatch_outcome::lost;
        break;
    }
    return done;
}

http_call make_call(const request_dispatch& what, const std::string& address, instant not_after)
{
    http_call call;
    call.method = "POST";
    call.address = address;
    const std::string service = escape_path(what.service.value);
    call.target = what.to_entry_vm ? "/v1/services/" + service + "/requests" : "/v1/run/" + service;
    call.headers = {{"X-Caller", what.caller.value}, {"X-Request-Id", what.id.value}};
    if (what.to_entry_vm) {
        call.headers.push_back({"X-Idempotent", what.idempotent ? "1" : "0"});
        call.headers.push_back({"X-Hops", std::to_string(what.hops)});
    }
    call.body = what.body;
    call.deadline = what.deadline;
    call.not_after = not_after;
    call.max_answer_bytes = max_answer_bytes;
    call.fresh_connection = !what.idempotent;
    call.sends_deadline = true;
    call.request_id = what.id.value;
    return call;
}

class http_runner_client final : public runner_client {
public:
    http_runner_client(http_client& http, event_sink& sink, dispatch_observer observer)
        : http_{http}, sink_{sink}, observer_{std::move(observer)}
    {
    }

    void dispatch(const request_dispatch& what, const std::string& address,
                  instant not_after) override
    {
        dispatch_ended ids;
        ids.handle = what.handle;
        ids.dispatch = what.dispatch;
        const auto began = measuring_clock::now();
        // Held during the start, so that the end cannot come before the entry.
        const std::lock_guard lock{mutex_};
        calls_[what.dispatch] =
            http_.start(make_call(what, address, not_after),
                        [this, ids, began, to_entry_vm = what.to_entry_vm](http_result r) {
                            end(read_result(ids, to_entry_vm, std::move(r)), began);
                        });
    }

    void drop(dispatch_handle dispatch) override
    {
        const std::lock_guard lock{mutex_};
        const auto found = calls_.find(dispatch);
        if (found != calls_.end()) {
            http_.drop(found->second);
            calls_.erase(found);
        }
    }

private:
    void end(dispatch_ended done, measuring_clock::time_point began)
    {
        {
            const std::lock_guard lock{mutex_};
            calls_.erase(done.dispatch);
        }
        observer_(done, measuring_clock::now() - began);
        sink_.post(std::move(done));
    }

    http_client& http_;
    event_sink& sink_;
    dispatch_observer observer_;
    std::mutex mutex_;
    std::map<dispatch_handle, call_number> calls_;
};

} // namespace

std::unique_ptr<runner_client> make_http_runner_client(http_client& http, event_sink& sink,
                                                       dispatch_observer observer)
{
    return std::make_unique<http_runner_client>(http, sink, std::move(observer));
}

} // namespace cuminmoor::io
