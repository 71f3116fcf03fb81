/// \file
/// Workers over HTTP.
#include <utility>

#include "io_limits.h"
#include "worker_client.h"
#include "worker_json.h"

namespace cuminmoor::io {

namespace {

constexpr int http_ok{200};

worker_synced read_result(const vm_id& worker, instant sent_at, const http_result& r)
{
    worker_synced done{worker, false, sent_at, {}};
    if (r.outcome == http_outcome::answered && r.status == http_ok) {
        auto report = decode_report(r.body);
        done.ok = report.ok();
        if (report.ok()) {
            done.report = *std::move(report);
        }
    }
    return done;
}

class http_worker_client final : public worker_client {
public:
    http_worker_client(http_client& http, clock_source& clock, event_sink& sink)
        : http_{http}, clock_{clock}, sink_{sink}
    {
    }

    void sync(const worker_sync& what, const std::string& address, instant not_after) override
    {
        const instant sent_at = clock_.now();
        http_call call;
        call.method = "POST";
        call.address = address;
        call.target = "/v1/sync";
        call.body = std::make_shared<const std::string>(encode_sync(what));
        call.deadline = sent_at + worker_sync_timeout;
        call.not_after = not_after;
        call.max_answer_bytes = max_document_bytes;
        // Orders are idempotent, so a second sending does no harm.
        call.resendable = true;
        http_.start(std::move(call), [this, worker = what.worker, sent_at](const http_result& r) {
            sink_.post(read_result(worker, sent_at, r));
        });
    }

private:
    http_client& http_;
    clock_source& clock_;
    event_sink& sink_;
};

} // namespace

std::unique_ptr<worker_client> make_http_worker_client(http_client& http, clock_source& clock,
                                                       event_sink& sink)
{
    return std::make_unique<http_worker_client>(http, clock, sink);
}

} // namespace cuminmoor::io
