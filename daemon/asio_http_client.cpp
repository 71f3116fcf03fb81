/// \file
/// HTTP client on an event loop of its owner: Asio's sockets, and the parser that the server uses.
///
/// docs/design/platform.md has the figure that speaks against libcurl here.
#include "asio_http_client.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <http_parser.h>

#include "address.h"
#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr std::size_t read_bytes{16'384};
/// Deadlines are kept to this accuracy.
constexpr millis deadline_slack{5};

/// A call on its way.
struct pending_call {
    call_number number{0};
    http_call call;
    http_callback done;
    http_result result;
    /// True from immediately before the first byte goes.
    bool sent{false};
    bool resent{false};
    /// The connection's proof is under way.
    bool is_proving{false};
};

using call_ptr = std::unique_ptr<pending_call>;

std::string format_request(const http_call& call, const std::string& target, const body_text& body,
                           instant now)
{
    std::string text;
    const std::size_t body_bytes = body ? body->size() : 0;
    constexpr std::size_t head_bytes{256};
    text.reserve(head_bytes + target.size() + body_bytes);
    text += call.method + " " + target + " HTTP/1.1\r\nHost: " + call.address + "\r\n";
    for (const http_header& h : call.headers) {
        text += h.name + ": " + h.value + "\r\n";
    }
    if (call.sends_deadline) {
        text += "X-Deadline-Ms: " + std::to_string((call.deadline - now).count) + "\r\n";
    }
    if (body || call.method == "POST") {
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body_bytes) +
                "\r\n";
    }
    text += "\r\n";
    if (body) {
        text += *body;
    }
    return text;
}

/// What a connection tells the client.
class connection_owner {
public:
    connection_owner() = default;
    connection_owner(const connection_owner&) = delete;
    connection_owner& operator=(const connection_owner&) = delete;
    connection_owner(connection_owner&&) = delete;
    connection_owner& operator=(connection_owner&&) = delete;

    /// The answer is whole; the connection may be used again.
    virtual void on_answered(std::uint64_t connection) = 0;
    /// The connection is of no use any more; a call on it has failed.
    virtual void on_broken(std::uint64_t connection, const std::string& reason) = 0;

protected:
    ~connection_owner() = default;
};

/// One connection; carries one call at a time. Lives as long as an operation on it is under way.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& context, connection_owner& owner, std::uint64_t number,
               std::string address)
        : owner_{&owner}, number_{number}, address_{std::move(address)}, socket_{context}
    {
        http_parser_settings_init(&settings_);
        settings_.on_header_field = &connection::on_header_field;
        settings_.on_header_value = &connection::on_header_value;
        settings_.on_headers_complete = &connection::on_headers_complete;
        settings_.on_body = &connection::on_body;
        settings_.on_message_complete = &connection::on_message_complete;
    }

    [[nodiscard]] std::uint64_t number() const { return number_; }
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] bool is_open() const { return is_open_; }
    /// It has carried an answer before.
    [[nodiscard]] bool was_used() const { return was_used_; }
    [[nodiscard]] bool has_answer_bytes() const { return has_answer_bytes_; }
    [[nodiscard]] bool is_reusable() const { return is_reusable_; }
    [[nodiscard]] instant opened_at() const { return opened_at_; }
    void set_opened_at(instant at) { opened_at_ = at; }
    [[nodiscard]] instant answered_at() const { return answered_at_; }
    void set_answered_at(instant at) { answered_at_ = at; }
    /// The life of the other process that it leads to, if that was proved.
    [[nodiscard]] std::optional<std::int64_t> proved_life() const { return proved_life_; }
    void set_proved_life(std::int64_t life) { proved_life_ = life; }
    [[nodiscard]] pending_call* current() const { return call_.get(); }
    call_ptr take_call() { return std::move(call_); }

    void connect(const ip_address& to, call_ptr call)
    {
        call_ = std::move(call);
        asio::error_code error;
        const auto ip = asio::ip::make_address(to.ip, error);
        socket_.async_connect({ip, to.port}, [self = shared_from_this()](asio::error_code failed) {
            self->on_connected(failed);
        });
    }

    /// Sends a call on an open connection.
    void send(call_ptr call, const std::string& text)
    {
        call_ = std::move(call);
        has_answer_bytes_ = false;
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        output_ = text;
        asio::async_write(socket_, asio::buffer(output_),
                          [self = shared_from_this()](asio::error_code failed, std::size_t) {
                              if (failed) {
                                  self->fail("sending failed: " + failed.message());
                              }
                          });
    }

    /// Set by the owner: makes the bytes of the call that waits for the connection.
    std::function<void(connection&)> on_open;

    void close()
    {
        owner_ = nullptr;
        is_open_ = false;
        asio::error_code ignored;
        socket_.close(ignored);
    }

private:
    void on_connected(const asio::error_code& failed)
    {
        if (owner_ == nullptr) {
            return;
        }
        if (failed) {
            fail("connecting failed: " + failed.message());
            return;
        }
        asio::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay{true}, ignored);
        is_open_ = true;
        on_open(*this);
        read();
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(input_),
            [self = shared_from_this()](asio::error_code failed, std::size_t bytes) {
                self->on_read(failed, bytes);
            });
    }

    void on_read(const asio::error_code& failed, std::size_t bytes)
    {
        if (owner_ == nullptr) {
            return;
        }
        if (failed || call_ == nullptr) {
            fail(failed ? "reading failed: " + failed.message() : "bytes without a call");
            return;
        }
        has_answer_bytes_ = true;
        const std::size_t parsed = http_parser_execute(&parser_, &settings_, input_.data(), bytes);
        if (owner_ == nullptr) {
            return;
        }
        if (parsed != bytes || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
            fail("the answer cannot be read");
            return;
        }
        if (is_complete_) {
            is_complete_ = false;
            was_used_ = true;
            owner_->on_answered(number_);
        }
        if (owner_ != nullptr) {
            read();
        }
    }

    void fail(const std::string& reason)
    {
        if (owner_ != nullptr) {
            owner_->on_broken(number_, reason);
        }
    }

    static connection& self(http_parser* parser) { return *static_cast<connection*>(parser->data); }
    static int on_header_field(http_parser* parser, const char* at, std::size_t length)
    {
        auto& c = self(parser);
        auto& headers = c.call_->result.headers;
        if (headers.empty() || c.in_value_) {
            headers.emplace_back();
            c.in_value_ = false;
        }
        headers.back().name.append(at, length);
        return 0;
    }
    static int on_header_value(http_parser* parser, const char* at, std::size_t length)
    {
        auto& c = self(parser);
        c.in_value_ = true;
        c.call_->result.headers.back().value.append(at, length);
        return 0;
    }
    /// An answer that ends with its connection cannot be told from a truncated one.
    static int on_headers_complete(http_parser* parser)
    {
        self(parser).in_value_ = false;
        constexpr unsigned http_no_content{204};
        constexpr unsigned http_not_modified{304};
        const bool has_length =
            parser->content_length != UINT64_MAX || (parser->flags & F_CHUNKED) != 0;
        const bool has_no_body =
            parser->status_code == http_no_content || parser->status_code == http_not_modified;
        return has_length || has_no_body ? 0 : -1;
    }
    static int on_body(http_parser* parser, const char* at, std::size_t length)
    {
        pending_call& call = *self(parser).call_;
        if (call.result.body.size() + length > call.call.max_answer_bytes) {
            return -1;
        }
        call.result.body.append(at, length);
        return 0;
    }
    static int on_message_complete(http_parser* parser)
    {
        auto& c = self(parser);
        c.call_->result.status = static_cast<int>(parser->status_code);
        c.is_complete_ = true;
        c.is_reusable_ = http_should_keep_alive(parser) != 0;
        return 0;
    }

    connection_owner* owner_;
    std::uint64_t number_;
    std::string address_;
    asio::ip::tcp::socket socket_;
    http_parser parser_{};
    http_parser_settings settings_{};
    call_ptr call_;
    std::string output_;
    std::array<char, read_bytes> input_{};
    bool is_open_{false};
    bool was_used_{false};
    bool has_answer_bytes_{false};
    bool in_value_{false};
    bool is_complete_{false};
    bool is_reusable_{true};
    instant opened_at_;
    /// When the last whole answer arrived; it proves that the connection worked then.
    instant answered_at_;
    std::optional<std::int64_t> proved_life_;
};

using connection_ptr = std::shared_ptr<connection>;

/// Connections to one address, and the calls that wait for one.
struct host_pool {
    std::vector<connection_ptr> idle;
    /// Carried the last answer to a bound call; in no other list. Null: none.
    connection_ptr bound;
    /// The call that it answered.
    call_number bound_by{0};
    std::size_t open{0};
    /// Calls that have a connection and are not urgent; mirrors `on_connection_`.
    std::size_t ordinary{0};
    /// It has had an urgent call: other calls leave one connection free.
    bool keeps_one{false};
    /// They go first.
    std::deque<call_ptr> urgent;
    std::deque<call_ptr> waiting;
};

class asio_client final : public http_client, private connection_owner {
public:
    asio_client(asio::io_context& context, clock_source& clock, long connections)
        : context_{context}, clock_{clock}, timer_{context},
          most_connections_{static_cast<std::size_t>(connections)}
    {
    }

    ~asio_client() override
    {
        for (auto& [number, c] : connections_) {
            c->close();
        }
    }
    asio_client(const asio_client&) = delete;
    asio_client& operator=(const asio_client&) = delete;
    asio_client(asio_client&&) = delete;
    asio_client& operator=(asio_client&&) = delete;

    call_number start(http_call call, http_callback done) override
    {
        auto pending = std::make_unique<pending_call>();
        pending->number = ++last_number_;
        pending->call = std::move(call);
        pending->done = std::move(done);
        const call_number number = pending->number;
        if (const char* const reason = reason_not_to_send(pending->call); reason != nullptr) {
            asio::post(context_,
                       [reason, unsent = std::shared_ptr<pending_call>(std::move(pending))] {
                           unsent->result.outcome = http_outcome::not_sent;
                           unsent->result.error = reason;
                           unsent->done(std::move(unsent->result));
                       });
            return number;
        }
        deadlines_.emplace(pending->call.deadline, number);
        arm_timer();
        dispatch(std::move(pending));
        return number;
    }

    void drop(call_number call) override { give_up(call, nullptr); }

private:
    /// \return why a call is not sent at all, or null.
    [[nodiscard]] const char* reason_not_to_send(const http_call& call) const
    {
        if (clock_.now() >= call.deadline) {
            return "the deadline passed before sending";
        }
        const bool is_sendable =
            is_target(call.target) &&
            std::all_of(call.headers.begin(), call.headers.end(),
                        [](const auto& h) { return is_header_value(h.value); });
        return is_sendable ? nullptr : "target or headers hold characters that cannot be sent";
    }

    static bool is_bound(const http_call& call) { return call.unbound_body != nullptr; }

    void dispatch(call_ptr call)
    {
        host_pool& pool = hosts_[call->call.address];
        if (is_bound(call->call)) {
            const bool is_kept = pool.bound != nullptr && pool.bound->current() == nullptr;
            if (is_kept && !call->call.fresh_connection && !call->resent) {
                send(pool.bound, std::move(call));
                return;
            }
            call->result.was_unbound = true;
            if (is_kept) {
                close(connection_ptr{pool.bound});
            }
        }
        pool.keeps_one = pool.keeps_one || call->call.is_urgent;
        if (!call->call.is_urgent && !takes_ordinary(pool)) {
            pool.waiting.push_back(std::move(call));
            return;
        }
        if (!pool.idle.empty() && !call->call.fresh_connection) {
            const connection_ptr c = take_idle(pool, call->call);
            send(c, std::move(call));
            return;
        }
        if (pool.open >= most_connections_ && !pool.idle.empty()) {
            close_oldest_idle(pool);
        }
        if (pool.open < most_connections_) {
            open(pool, std::move(call));
            return;
        }
        (call->call.is_urgent ? pool.urgent : pool.waiting).push_back(std::move(call));
    }

    static bool is_proved_for(const connection& c, const http_call& call)
    {
        return call.proof == nullptr || c.proved_life() == call.proof->life;
    }

    /// \return an idle connection, if possible one that needs no proof for the call.
    static connection_ptr take_idle(host_pool& pool, const http_call& call)
    {
        auto found = std::find_if(pool.idle.rbegin(), pool.idle.rend(),
                                  [&call](const auto& c) { return is_proved_for(*c, call); });
        if (found == pool.idle.rend()) {
            found = pool.idle.rbegin();
        }
        connection_ptr taken = *found;
        pool.idle.erase(std::next(found).base());
        return taken;
    }

    /// \return true while a call that is not urgent may have a connection.
    [[nodiscard]] bool takes_ordinary(const host_pool& pool) const
    {
        const std::size_t kept = pool.keeps_one && most_connections_ > 1 ? 1 : 0;
        return pool.ordinary < most_connections_ - kept;
    }

    /// \return the waiting call that goes next, or null.
    call_ptr take_next(host_pool& pool)
    {
        const bool is_urgent = !pool.urgent.empty();
        auto& from = is_urgent ? pool.urgent : pool.waiting;
        if (from.empty() || (!is_urgent && !takes_ordinary(pool))) {
            return nullptr;
        }
        call_ptr next = std::move(from.front());
        from.pop_front();
        return next;
    }

    void book(const pending_call& call, std::uint64_t connection)
    {
        const bool is_new = on_connection_.insert_or_assign(call.number, connection).second;
        hosts_[call.call.address].ordinary += is_new && !call.call.is_urgent ? 1 : 0;
    }

    void unbook(const pending_call& call)
    {
        const bool was_booked = on_connection_.erase(call.number) > 0;
        hosts_[call.call.address].ordinary -= was_booked && !call.call.is_urgent ? 1 : 0;
    }

    void open(host_pool& pool, call_ptr call)
    {
        const std::string address = call->call.address;
        const auto to = parse_address(address);
        if (!to.ok()) {
            finish(std::move(call), http_outcome::not_sent, "not an address");
            return;
        }
        ++pool.open;
        connection_owner& self = *this;
        auto c = std::make_shared<connection>(context_, self, ++last_connection_, address);
        connections_.emplace(c->number(), c);
        book(*call, c->number());
        connect_deadlines_.emplace(clock_.now() + quick_connect_timeout, c->number());
        arm_timer();
        c->on_open = [this](connection& opened) {
            opened.set_opened_at(clock_.now());
            send(opened.shared_from_this(), opened.take_call());
        };
        c->connect(*to, std::move(call));
    }

    void send(const connection_ptr& c, call_ptr call)
    {
        const instant now = clock_.now();
        if (now > call->call.not_after) {
            finish(std::move(call), http_outcome::not_sent, "not_after passed before sending");
            c->take_call();
            put_back(c);
            return;
        }
        call->is_proving = !is_proved_for(*c, call->call);
        call->sent = !call->is_proving;
        call->result.sent_at = now;
        call->result.connected_at = c->opened_at();
        book(*call, c->number());
        const std::string text = text_of(*call, now);
        c->send(std::move(call), text);
    }

    static std::string text_of(const pending_call& pending, instant now)
    {
        const http_call& call = pending.call;
        if (pending.is_proving) {
            return format_request(call, call.proof->target, call.proof->body, now);
        }
        const body_text& body = pending.result.was_unbound ? call.unbound_body : call.body;
        return format_request(call, call.target, body, now);
    }

    void on_answered(std::uint64_t number) override
    {
        const connection_ptr c = connections_.at(number);
        c->set_answered_at(clock_.now());
        call_ptr call = c->take_call();
        if (call->is_proving) {
            on_proof_answered(c, std::move(call));
            return;
        }
        unbook(*call);
        if (binds(*call)) {
            bind(c, call->number);
        }
        else {
            put_back(c);
        }
        finish(std::move(call), http_outcome::answered, "");
    }

    /// Sends the call if the connection leads to the life that it is meant for.
    void on_proof_answered(const connection_ptr& c, call_ptr call)
    {
        constexpr int http_ok{200};
        call->is_proving = false;
        const bool is_refused = call->result.status != http_ok;
        const auto life = is_refused ? std::nullopt : call->call.proof->life_of(call->result);
        if (life) {
            c->set_proved_life(*life);
        }
        if (life == call->call.proof->life && c->is_reusable()) {
            call->result = {};
            send(c, std::move(call));
            return;
        }
        unbook(*call);
        put_back(c);
        call->result.is_other_life = life && *life != call->call.proof->life;
        finish(std::move(call), is_refused ? http_outcome::answered : http_outcome::not_sent,
               "the connection is not proved");
    }

    /// \return true if the connection that answered the call is for the next bound one. An answer
    /// to an earlier call may come later, and a refusal may come from another process.
    [[nodiscard]] bool binds(const pending_call& call)
    {
        constexpr int http_ok{200};
        return is_bound(call.call) && call.result.status == http_ok &&
               call.number > hosts_[call.call.address].bound_by;
    }

    /// Keeps a connection for the next bound call.
    void bind(const connection_ptr& c, call_number by)
    {
        if (!c->is_reusable()) {
            close(c);
            return;
        }
        host_pool& pool = hosts_[c->address()];
        pool.bound_by = by;
        const connection_ptr before = std::exchange(pool.bound, c);
        if (before != nullptr && before != c && before->current() == nullptr) {
            close(before);
        }
    }

    void put_back(const connection_ptr& c)
    {
        if (!c->is_reusable()) {
            close(c);
            return;
        }
        host_pool& pool = hosts_[c->address()];
        if (pool.bound == c) {
            return;
        }
        call_ptr next = take_next(pool);
        if (next == nullptr) {
            pool.idle.push_back(c);
            return;
        }
        send(c, std::move(next));
    }

    void on_broken(std::uint64_t number, const std::string& reason) override
    {
        const connection_ptr c = connections_.at(number);
        call_ptr call = c->take_call();
        const bool is_harmless =
            call != nullptr && (call->call.resendable || call->is_proving) && !call->resent;
        const bool may_resend = is_harmless && c->was_used() && !c->has_answer_bytes();
        if (call != nullptr) {
            unbook(*call);
        }
        close(c);
        if (call == nullptr) {
            return;
        }
        if (may_resend) {
            call->resent = true;
            dispatch(std::move(call));
            return;
        }
        const auto outcome = call->sent ? http_outcome::lost : http_outcome::not_sent;
        finish(std::move(call), outcome, reason);
    }

    /// Closes a connection; a call that waits for one gets a new one.
    void close(const connection_ptr& c)
    {
        c->close();
        connections_.erase(c->number());
        host_pool& pool = hosts_[c->address()];
        std::erase(pool.idle, c);
        if (pool.bound == c) {
            pool.bound.reset();
        }
        --pool.open;
        if (pool.open >= most_connections_) {
            return;
        }
        if (call_ptr next = take_next(pool); next != nullptr) {
            open(pool, std::move(next));
        }
    }

    /// Makes room for a new connection.
    void close_oldest_idle(const host_pool& pool)
    {
        const auto oldest = std::min_element(pool.idle.begin(), pool.idle.end(),
                                             [](const connection_ptr& a, const connection_ptr& b) {
                                                 return a->answered_at() < b->answered_at();
                                             });
        close(connection_ptr{*oldest});
    }

    /// Closes the idle connections to an address that have carried no answer since `since`:
    /// whatever silenced one connection may have silenced them too, and nothing else would show it.
    void close_unproven(const std::string& address, instant since)
    {
        std::vector<connection_ptr> unproven;
        for (const connection_ptr& c : hosts_[address].idle) {
            if (c->answered_at() < since) {
                unproven.push_back(c);
            }
        }
        for (const connection_ptr& c : unproven) {
            close(c);
        }
    }

    void finish(call_ptr call, http_outcome outcome, std::string reason)
    {
        deadlines_.erase({call->call.deadline, call->number});
        unbook(*call);
        call->result.outcome = outcome;
        call->result.error = std::move(reason);
        call->done(std::move(call->result));
    }

    /// Ends a call wherever it is. \param reason null: nobody is told.
    void give_up(call_number number, const char* reason)
    {
        call_ptr call;
        const auto found = on_connection_.find(number);
        if (found != on_connection_.end()) {
            const connection_ptr c = connections_.at(found->second);
            call = c->take_call();
            unbook(*call);
            close(c);
            const bool has_request = call->sent || call->is_proving;
            if (reason != nullptr && has_request && !c->has_answer_bytes()) {
                close_unproven(c->address(), call->result.sent_at);
            }
        }
        else {
            call = take_waiting(number);
        }
        if (call == nullptr) {
            return;
        }
        if (reason == nullptr) {
            deadlines_.erase({call->call.deadline, number});
            return;
        }
        const auto outcome = call->sent ? http_outcome::lost : http_outcome::not_sent;
        finish(std::move(call), outcome, reason);
    }

    call_ptr take_waiting(call_number number)
    {
        for (auto& [address, pool] : hosts_) {
            for (auto* const from : {&pool.urgent, &pool.waiting}) {
                if (call_ptr call = take_from(*from, number); call != nullptr) {
                    return call;
                }
            }
        }
        return nullptr;
    }

    static call_ptr take_from(std::deque<call_ptr>& calls, call_number number)
    {
        const auto found = std::find_if(calls.begin(), calls.end(), [number](const call_ptr& each) {
            return each->number == number;
        });
        if (found == calls.end()) {
            return nullptr;
        }
        call_ptr call = std::move(*found);
        calls.erase(found);
        return call;
    }

    void arm_timer()
    {
        instant due = never;
        if (!deadlines_.empty()) {
            due = deadlines_.begin()->first;
        }
        if (!connect_deadlines_.empty()) {
            due = std::min(due, connect_deadlines_.begin()->first);
        }
        if (due == never) {
            return;
        }
        due = due + deadline_slack;
        if (is_armed_ && armed_for_ <= due) {
            return;
        }
        is_armed_ = true;
        armed_for_ = due;
        const millis left = std::max(millis{0}, due - clock_.now());
        timer_.expires_after(std::chrono::milliseconds{left.count});
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error) {
                is_armed_ = false;
                expire();
                arm_timer();
            }
        });
    }

    void expire()
    {
        const instant now = clock_.now();
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            give_up(deadlines_.begin()->second, "no whole answer in time");
        }
        while (!connect_deadlines_.empty() && connect_deadlines_.begin()->first <= now) {
            const std::uint64_t number = connect_deadlines_.begin()->second;
            connect_deadlines_.erase(connect_deadlines_.begin());
            const auto found = connections_.find(number);
            if (found != connections_.end() && !found->second->is_open()) {
                on_broken(number, "no connection in time");
            }
        }
    }

    asio::io_context& context_;
    clock_source& clock_;
    asio::steady_timer timer_;
    std::size_t most_connections_;
    std::unordered_map<std::string, host_pool> hosts_;
    std::unordered_map<std::uint64_t, connection_ptr> connections_;
    /// Calls that have a connection, by their number.
    std::unordered_map<call_number, std::uint64_t> on_connection_;
    std::set<std::pair<instant, call_number>> deadlines_;
    /// When attempts to connect are given up.
    std::set<std::pair<instant, std::uint64_t>> connect_deadlines_;
    bool is_armed_{false};
    instant armed_for_;
    call_number last_number_{0};
    std::uint64_t last_connection_{0};
};

} // namespace

std::unique_ptr<http_client> make_asio_http_client(asio::io_context& context, clock_source& clock,
                                                   long connections)
{
    return std::make_unique<asio_client>(context, clock, connections);
}

} // namespace cuminmoor::io
