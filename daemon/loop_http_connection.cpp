/// \file
/// Implementation of a connection of the HTTP server on its owner's loop.
#include "loop_http_connection.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr int http_bad_request{400};
constexpr int http_timeout{408};
constexpr int http_too_large{413};
constexpr int http_fields_too_large{431};
constexpr int http_unavailable{503};
constexpr int first_error{400};

std::string format_head(const http_response& response, bool is_last)
{
    std::string head =
        "HTTP/1.1 " + std::to_string(response.status) +
        (response.status < first_error ? " OK" : " Error") +
        (is_last ? "\r\nConnection: close" : "\r\nConnection: keep-alive") +
        "\r\nContent-Length: " + std::to_string(response.body ? response.body->size() : 0) + "\r\n";
    if (!response.content_type.empty()) {
        head += "Content-Type: " + response.content_type + "\r\n";
    }
    for (const http_header& h : response.headers) {
        head += h.name + ": " + h.value + "\r\n";
    }
    return head + "\r\n";
}

/// \return the answer to a request that was not run.
http_response make_refusal(int status, client_limit limit)
{
    http_response response;
    response.status = status;
    response.content_type = "application/json";
    response.body = std::make_shared<const std::string>(
        std::string{R"({"not_run":true,"limit":")"} + name_of(limit) + "\"}");
    if (status == http_unavailable) {
        response.headers.push_back({"Retry-After", "1"});
    }
    return response;
}

} // namespace

bool connection_group::make_room(connection_number kept)
{
    while (budget.is_overspent(at)) {
        if (!close_first(kept)) {
            return false;
        }
        budget.count_refusal(client_limit::memory);
    }
    return true;
}

bool connection_group::close_first(std::optional<connection_number> kept)
{
    const auto first = budget.first_to_close(at, clock.now());
    const auto found = first && first != kept ? connections.find(*first) : connections.end();
    if (found == connections.end()) {
        return false;
    }
    const auto closed = found->second;
    closed->give_way();
    return true;
}

loop_http_connection::loop_http_connection(asio::ip::tcp::socket socket, connection_group& group,
                                           connection_number number)
    : socket_{std::move(socket)}, group_{group}, number_{number}, parser_{{max_head_bytes,
                                                                           config::max_body_bytes}},
      progress_at_{group.clock.now()}, begun_at_{progress_at_}
{
}

bool loop_http_connection::is_reading() const
{
    return is_ending_ ? !is_input_over_ : slots_.size() < max_pipelined_requests;
}

void loop_http_connection::wait_for_input()
{
    if (is_waiting_ || is_closed_ || !is_reading()) {
        return;
    }
    is_waiting_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](asio::error_code failed) {
                           self->is_waiting_ = false;
                           if (!self->is_closed_ && !failed) {
                               self->read_input();
                           }
                       });
}

void loop_http_connection::read_input()
{
    asio::error_code failed;
    const std::size_t bytes = socket_.read_some(asio::buffer(group_.input), failed);
    if (failed == asio::error::would_block || failed == asio::error::try_again) {
        wait_for_input();
    }
    else if (failed == asio::error::eof && is_ending_ && !slots_.empty()) {
        // The client may have ended its side only.
        is_input_over_ = true;
    }
    else if (failed) {
        close();
    }
    else if (is_ending_) {
        discard(bytes);
    }
    else {
        process({group_.input.data(), bytes});
    }
}

void loop_http_connection::discard(std::size_t bytes)
{
    discarded_ += bytes;
    if (discarded_ > max_discarded_bytes) {
        close();
        return;
    }
    wait_for_input();
}

void loop_http_connection::process(std::string_view input)
{
    if (parser_.is_idle()) {
        begun_at_ = group_.clock.now();
    }
    bytes_since_progress_ += input.size();
    while (!input.empty() && !is_closed_ && !is_ending_ && is_reading()) {
        const parse_outcome outcome = parser_.consume(input);
        if (outcome == parse_outcome::complete) {
            deliver();
        }
        else if (outcome != parse_outcome::needs_more) {
            refuse_unread(outcome);
        }
    }
    if (is_closed_) {
        return;
    }
    unparsed_ = is_ending_ ? std::string{} : std::string{input};
    update_budget();
    if (!is_ending_ && !group_.make_room(number_)) {
        end_for_lack_of_room();
    }
    wait_for_input();
}

void loop_http_connection::deliver()
{
    const std::size_t held = parser_.held_bytes();
    http_request request = parser_.take();
    request.connection = number_;
    auto call = group_.budget.hold_call(group_.at, call_bytes + 2 * held);
    update_budget();
    if (!group_.make_room(number_) && !is_trusted_) {
        call.reset();
        refuse(http_unavailable, client_limit::memory);
        return;
    }
    progress_at_ = group_.clock.now();
    begun_at_ = progress_at_;
    group_.budget.record_progress(number_, progress_at_);
    const std::uint64_t slot = first_slot_ + slots_.size();
    slots_.push_back({.is_last = !parser_.keeps_alive(), .requested_at = progress_at_});
    is_ending_ = !parser_.keeps_alive();
    group_.handler.on_request(
        std::move(request),
        [weak = weak_from_this(), slot, call = std::move(call)](const http_response& response) {
            if (const auto self = weak.lock()) {
                self->answer(slot, response);
            }
        });
}

void loop_http_connection::end_for_lack_of_room()
{
    if (is_trusted_) {
        return;
    }
    if (!parser_.is_idle()) {
        refuse(http_unavailable, client_limit::memory);
    }
    else if (held_bytes() > 0) {
        group_.budget.count_refusal(client_limit::memory);
        close();
    }
}

void loop_http_connection::refuse_unread(parse_outcome outcome)
{
    if (outcome == parse_outcome::head_too_large) {
        refuse(http_fields_too_large, client_limit::head);
    }
    else if (outcome == parse_outcome::body_too_large) {
        refuse(http_too_large, client_limit::body);
    }
    else {
        refuse(http_bad_request, client_limit::head);
    }
}

void loop_http_connection::refuse(int status, client_limit limit)
{
    group_.budget.count_refusal(limit);
    is_ending_ = true;
    unparsed_ = {};
    (void)parser_.take();
    slots_.push_back({.is_last = true, .is_refusal = true, .requested_at = group_.clock.now()});
    answer(first_slot_ + slots_.size() - 1, make_refusal(status, limit));
}

void loop_http_connection::answer(std::uint64_t slot, const http_response& response)
{
    if (is_closed_) {
        return;
    }
    answer_slot& s = slots_.at(slot - first_slot_);
    s.is_ready = true;
    s.is_last = s.is_last || response.close;
    is_ending_ = is_ending_ || s.is_last;
    s.head = format_head(response, s.is_last);
    s.body = response.body;
    ++group_.unflushed;
    if (response.trusts_client) {
        is_trusted_ = true;
        group_.budget.trust(number_);
    }
    write_answers();
    update_budget();
}

void loop_http_connection::write_answers()
{
    std::vector<asio::const_buffer> buffers;
    std::size_t answers{0};
    for (const answer_slot& s : slots_) {
        if (!s.is_ready || is_writing_) {
            break;
        }
        ++answers;
        buffers.emplace_back(asio::buffer(s.head));
        if (s.body) {
            buffers.emplace_back(asio::buffer(*s.body));
        }
        if (s.is_last) {
            break;
        }
    }
    if (answers == 0) {
        return;
    }
    is_writing_ = true;
    progress_at_ = group_.clock.now();
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), answers](asio::error_code failed, std::size_t) {
                          self->on_written(failed, answers);
                      });
}

void loop_http_connection::on_written(const asio::error_code& failed, std::size_t answers)
{
    is_writing_ = false;
    if (is_closed_) {
        return;
    }
    if (failed) {
        close();
        return;
    }
    const answer_slot last = slots_.at(answers - 1);
    slots_.erase(slots_.begin(), slots_.begin() + static_cast<std::ptrdiff_t>(answers));
    first_slot_ += answers;
    group_.unflushed -= answers;
    progress_at_ = group_.clock.now();
    group_.budget.record_progress(number_, progress_at_);
    if (last.is_refusal) {
        end_after_refusal();
    }
    else if (last.is_last) {
        close();
    }
    else {
        write_answers();
        process(std::exchange(unparsed_, {}));
    }
}

void loop_http_connection::end_after_refusal()
{
    is_lingering_ = true;
    update_budget();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    wait_for_input();
}

std::size_t loop_http_connection::held_bytes() const
{
    std::size_t bytes = parser_.held_bytes() + unparsed_.size();
    for (const answer_slot& s : slots_) {
        bytes += s.head.size() + (s.body ? s.body->size() : 0);
    }
    return bytes;
}

void loop_http_connection::update_budget()
{
    const std::size_t held = held_bytes();
    // What it does not read fills the system's buffer.
    const std::size_t unread = is_reading() ? 0 : receive_buffer_bytes;
    group_.budget.set_held(number_, held + unread);
    group_.budget.set_awaits_answer(number_, !slots_.empty() && held == 0);
    if (bytes_since_progress_ >= useful_bytes) {
        bytes_since_progress_ = 0;
        group_.budget.record_progress(number_, group_.clock.now());
    }
}

void loop_http_connection::check_times(instant now)
{
    if (is_over(now)) {
        if (is_writing_) {
            group_.budget.count_refusal(client_limit::time);
        }
        close();
        return;
    }
    const millis limit = parser_.has_head() ? body_timeout : head_timeout;
    if (!is_ending_ && !parser_.is_idle() && now - begun_at_ > limit) {
        refuse(http_timeout, client_limit::time);
    }
}

bool loop_http_connection::is_over(instant now) const
{
    const millis idle = now - progress_at_;
    if (is_lingering_) {
        return idle > linger_time;
    }
    if (is_writing_) {
        return idle > write_timeout;
    }
    if (!slots_.empty()) {
        return now - slots_.front().requested_at > config::max_request_deadline * 2;
    }
    return parser_.is_idle() && idle > keep_alive_timeout;
}

void loop_http_connection::give_way()
{
    if (slots_.empty() && !is_lingering_ && !parser_.is_idle()) {
        // As much as the operating system takes at once: it must not be waited for.
        const http_response refusal = make_refusal(http_unavailable, client_limit::memory);
        const std::string text = format_head(refusal, true) + *refusal.body;
        asio::error_code ignored;
        socket_.write_some(asio::buffer(text), ignored);
    }
    close();
}

void loop_http_connection::close()
{
    if (is_closed_) {
        return;
    }
    const auto self = shared_from_this();
    for (const answer_slot& s : slots_) {
        group_.unflushed -= s.is_ready ? 1 : 0;
    }
    group_.budget.remove(number_);
    group_.connections.erase(number_);
    abandon();
    group_.handler.on_connection_closed(number_);
}

void loop_http_connection::abandon()
{
    is_closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    if (!is_writing_) {
        slots_.clear();
    }
}

} // namespace cuminmoor::io
