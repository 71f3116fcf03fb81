/// \file
/// The platform over HTTP: at most `max_store_calls` at once, reads shed first.
#include <atomic>
#include <functional>
#include <utility>

#include "cuminmoor/config.h"
#include "io_limits.h"
#include "platform_client.h"
#include "platform_json.h"
#include "url.h"

namespace cuminmoor::io {

namespace {

constexpr int http_ok{200};
constexpr int http_not_found{404};
constexpr int http_conflict{409};
constexpr int http_unavailable{503};

bool is_ok(const http_result& r)
{
    return r.outcome == http_outcome::answered && r.status == http_ok;
}

store_committed read_commit_result(const store_token& token, const http_result& r)
{
    store_committed done{token, store_outcome::unknown, 0};
    const bool was_refused = r.outcome == http_outcome::answered && r.status == http_unavailable;
    if (r.outcome == http_outcome::not_sent || was_refused) {
        done.outcome = store_outcome::unavailable;
    }
    else if (r.outcome == http_outcome::answered && r.status == http_conflict) {
        done.outcome = store_outcome::conflict;
    }
    else if (is_ok(r)) {
        const auto revision = decode_commit_answer(r.body);
        done.outcome = revision.ok() ? store_outcome::ok : store_outcome::unknown;
        done.revision = revision.value_or(0);
    }
    return done;
}

store_read_done read_rows_result(const store_token& token, instant sent_at, const http_result& r)
{
    store_read_done done{token, false, sent_at, {}};
    if (is_ok(r)) {
        auto rows = decode_rows(r.body);
        done.ok = rows.ok();
        if (rows.ok()) {
            done.rows = *std::move(rows);
        }
    }
    return done;
}

class http_platform_client final : public platform_client {
public:
    http_platform_client(std::string address, http_client& http, clock_source& clock,
                         event_sink& sink)
        : address_{std::move(address)}, http_{http}, clock_{clock}, sink_{sink}
    {
    }

    void commit(const store_commit& what, instant not_after) override
    {
        if (!enter(max_store_calls)) {
            sink_.post(store_committed{what.token, store_outcome::unavailable, 0});
            return;
        }
        http_call call = make_call("POST", "/v1/table/commit", not_after);
        call.body = std::make_shared<const std::string>(encode_commit(what.body));
        start(std::move(call),
              [this, token = what.token](const http_result& r, instant /*sent_at*/) {
                  sink_.post(read_commit_result(token, r));
              });
    }

    void read(const store_read& what, instant not_after) override
    {
        if (!enter(max_store_reads)) {
            sink_.post(store_read_done{what.token, false, clock_.now(), {}});
            return;
        }
        http_call call = make_call("POST", "/v1/table/read", not_after);
        call.body = std::make_shared<const std::string>(encode_read(what));
        call.resendable = true;
        start(std::move(call), [this, token = what.token](const http_result& r, instant sent_at) {
            sink_.post(read_rows_result(token, sent_at, r));
        });
    }

    void put(const object_put& what, instant not_after) override
    {
        if (!enter(max_store_calls)) {
            sink_.post(object_done{what.token, false, {}});
            return;
        }
        http_call call = make_call("PUT", "/v1/objects/" + escape_path(what.key), not_after);
        call.body = std::make_shared<const std::string>(what.body);
        call.resendable = true;
        start(std::move(call),
              [this, token = what.token](const http_result& r, instant /*sent_at*/) {
                  sink_.post(object_done{token, is_ok(r), {}});
              });
    }

    void get(const object_get& what, instant not_after) override
    {
        if (!enter(max_store_reads)) {
            sink_.post(object_done{what.token, false, {}});
            return;
        }
        http_call call = make_call("GET", "/v1/objects/" + escape_path(what.key), not_after);
        call.resendable = true;
        start(std::move(call), [this, token = what.token](http_result r, instant /*sent_at*/) {
            object_done done{token, is_ok(r), {}};
            if (done.ok) {
                done.body = std::move(r.body);
            }
            // A missing object is an answer as well, without a body.
            done.ok =
                done.ok || (r.outcome == http_outcome::answered && r.status == http_not_found);
            sink_.post(std::move(done));
        });
    }

    void read_vms(instant not_after) override
    {
        if (!enter(max_store_reads)) {
            sink_.post(vm_list_done{});
            return;
        }
        http_call call = make_call("GET", "/v1/vms", not_after);
        call.resendable = true;
        start(std::move(call), [this](const http_result& r, instant /*sent_at*/) {
            vm_list_done done;
            if (is_ok(r)) {
                auto vms = decode_vm_list(r.body);
                done.ok = vms.ok();
                if (vms.ok()) {
                    done.vms = *std::move(vms);
                }
            }
            sink_.post(std::move(done));
        });
    }

private:
    http_call make_call(const char* method, std::string target, instant not_after)
    {
        http_call call;
        call.method = method;
        call.address = address_;
        call.target = std::move(target);
        call.deadline = clock_.now() + config::store_timeout;
        call.not_after = not_after;
        call.max_answer_bytes = max_document_bytes;
        return call;
    }

    /// Counts a call in. \return false when `limit` calls are under way.
    bool enter(std::size_t limit)
    {
        if (in_flight_.fetch_add(1) < limit) {
            return true;
        }
        --in_flight_;
        return false;
    }

    using result_handler = std::function<void(http_result r, instant sent_at)>;

    void start(http_call call, result_handler done)
    {
        // Taken before the bytes go, so that what was read is at least as new.
        const instant started = clock_.now();
        http_.start(std::move(call), [this, started, done = std::move(done)](http_result r) {
            --in_flight_;
            done(std::move(r), started);
        });
    }

    std::string address_;
    http_client& http_;
    clock_source& clock_;
    event_sink& sink_;
    std::atomic<std::size_t> in_flight_{0};
};

} // namespace

std::unique_ptr<platform_client> make_http_platform_client(std::string address, http_client& http,
                                                           clock_source& clock, event_sink& sink)
{
    return std::make_unique<http_platform_client>(std::move(address), http, clock, sink);
}

} // namespace cuminmoor::io
