/// \file
/// The HTTP server on threads of its own, by RESTinio; the only file that includes it.
#include "http_server.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>

#include <restinio/all.hpp>

#include "io_limits.h"
#include "loop_http_server.h"

namespace cuminmoor::io {

namespace {

/// Counts answers between `http_responder` and the end of their writing.
class flush_counter {
public:
    void begin()
    {
        const std::lock_guard lock{mutex_};
        ++open_;
    }
    void end()
    {
        const std::lock_guard lock{mutex_};
        --open_;
        none_open_.notify_all();
    }
    bool wait(millis limit)
    {
        std::unique_lock lock{mutex_};
        return none_open_.wait_for(lock, std::chrono::milliseconds{limit.count},
                                   [this] { return open_ == 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable none_open_;
    std::size_t open_{0};
};

/// Counts open connections and tells the handler about closed ones.
class connection_listener {
public:
    connection_listener(http_handler& handler, std::atomic<std::size_t>& open_connections)
        : handler_{handler}, open_connections_{open_connections}
    {
    }

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        using namespace restinio::connection_state;
        if (restinio::holds_alternative<accepted_t>(notice.cause())) {
            ++open_connections_;
        }
        else if (restinio::holds_alternative<closed_t>(notice.cause())) {
            --open_connections_;
            handler_.on_connection_closed(notice.connection_id());
        }
    }

private:
    http_handler& handler_;
    std::atomic<std::size_t>& open_connections_;
};

struct server_traits : public restinio::default_traits_t {
    using connection_state_listener_t = connection_listener;
    static constexpr bool use_connection_count_limiter = true;
};

std::vector<http_header> read_headers(const restinio::http_header_fields_t& fields)
{
    std::vector<http_header> headers;
    headers.reserve(fields.fields_count());
    fields.for_each_field([&headers](const restinio::http_header_field_t& field) {
        headers.push_back({field.name(), field.value()});
    });
    return headers;
}

std::map<std::string, std::string> read_query(restinio::string_view_t text)
{
    std::map<std::string, std::string> query;
    const auto parsed =
        restinio::try_parse_query<restinio::parse_query_traits::x_www_form_urlencoded>(text);
    if (parsed) {
        for (const auto& [name, value] : *parsed) {
            query.emplace(std::string{name}, std::string{value});
        }
    }
    return query;
}

http_request read_request(const restinio::request_t& r)
{
    http_request request;
    request.connection = r.connection_id();
    request.method = r.header().method().c_str();
    request.path = std::string{r.header().path()};
    request.query = read_query(r.header().query());
    request.headers = read_headers(r.header());
    request.body = std::make_shared<const std::string>(r.body());
    return request;
}

restinio::http_status_line_t status_line(int status)
{
    const auto code = static_cast<std::uint16_t>(status);
    return {restinio::http_status_code_t{code}, status < 400 ? "OK" : "Error"};
}

void write_response(const restinio::request_handle_t& to, const http_response& response,
                    const std::shared_ptr<flush_counter>& unflushed)
{
    auto builder = to->create_response(status_line(response.status));
    if (response.close || !to->header().should_keep_alive()) {
        builder.connection_close();
    }
    else {
        builder.connection_keep_alive();
    }
    if (!response.content_type.empty()) {
        builder.append_header(restinio::http_field::content_type, response.content_type);
    }
    for (const http_header& h : response.headers) {
        builder.append_header(h.name, h.value);
    }
    if (response.body) {
        builder.set_body(response.body);
    }
    unflushed->begin();
    builder.done([unflushed](const asio::error_code& /*error*/) { unflushed->end(); });
}

using running_server = restinio::running_server_handle_t<server_traits>;

class restinio_server final : public http_server {
public:
    explicit restinio_server(http_handler& handler) : handler_{handler} {}
    ~restinio_server() override { stop(); }
    restinio_server(const restinio_server&) = delete;
    restinio_server& operator=(const restinio_server&) = delete;
    restinio_server(restinio_server&&) = delete;
    restinio_server& operator=(restinio_server&&) = delete;

    /// Throws what the library throws when the address cannot be bound.
    void start(const http_server_options& options)
    {
        auto settings = make_settings(options);
        server_ = restinio::run_async<server_traits>(restinio::own_io_context(),
                                                     std::move(settings), options.threads);
    }

    [[nodiscard]] std::uint16_t port() const override { return port_; }
    [[nodiscard]] bool wait_until_flushed(millis limit) override { return unflushed_->wait(limit); }
    [[nodiscard]] bool is_flushed() override { return unflushed_->wait(millis{0}); }
    [[nodiscard]] std::size_t open_connections() const override { return open_connections_; }
    void stop() override
    {
        if (server_) {
            server_->stop();
            server_->wait();
            server_.reset();
        }
    }

private:
    restinio::server_settings_t<server_traits> make_settings(const http_server_options& options)
    {
        restinio::server_settings_t<server_traits> settings;
        settings.address(options.ip)
            .port(options.port)
            .max_pipelined_requests(max_pipelined_requests)
            .max_parallel_connections(max_server_connections)
            .read_next_http_message_timelimit(std::chrono::milliseconds{keep_alive_timeout.count})
            .handle_request_timeout(
                std::chrono::milliseconds{(config::max_request_deadline * 2).count})
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_url_size(max_url_bytes)
                                          .max_field_name_size(max_header_bytes)
                                          .max_field_value_size(max_header_bytes)
                                          .max_field_count(max_header_count)
                                          .max_body_size(max_read_body_bytes))
            .connection_state_listener(
                std::make_shared<connection_listener>(handler_, open_connections_))
            .acceptor_options_setter([](restinio::acceptor_options_t& o) {
                o.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter(
                [](restinio::socket_options_t& o) { o.set_option(asio::ip::tcp::no_delay{true}); })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
                port_ = acceptor.local_endpoint().port();
            })
            .request_handler([this](const restinio::request_handle_t& r) { return accept(r); });
        return settings;
    }

    restinio::request_handling_status_t accept(const restinio::request_handle_t& r)
    {
        auto respond = [r, unflushed = unflushed_](const http_response& response) {
            write_response(r, response, unflushed);
        };
        handler_.on_request(read_request(*r), std::move(respond));
        return restinio::request_accepted();
    }

    http_handler& handler_;
    std::shared_ptr<flush_counter> unflushed_{std::make_shared<flush_counter>()};
    std::atomic<std::uint16_t> port_{0};
    std::atomic<std::size_t> open_connections_{0};
    /// Set while the server runs.
    running_server server_;
};

} // namespace

absl::StatusOr<std::unique_ptr<http_server>> start_http_server(const http_server_options& options,
                                                               http_handler& handler)
{
    if (options.context != nullptr) {
        return start_loop_http_server(options, handler);
    }
    auto server = std::make_unique<restinio_server>(handler);
    try {
        server->start(options);
    }
    catch (const std::exception& e) {
        return absl::UnavailableError("cannot listen on " + options.ip + ":" +
                                      std::to_string(options.port) + ": " + e.what() +
                                      "; choose another --http-address or end what uses it");
    }
    return server;
}

} // namespace cuminmoor::io
