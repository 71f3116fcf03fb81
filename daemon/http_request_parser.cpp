/// \file
/// Implementation of the parser of requests.
#include "http_request_parser.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace cuminmoor::io {

namespace {

/// Colon and end of the line of a field.
constexpr std::size_t field_overhead{3};
/// Cannot stand in a name or a value.
constexpr char separator{'\n'};

/// Removes a text and its separator from the front.
std::string take_text(std::string_view& from)
{
    const std::size_t size = std::min(from.find(separator), from.size());
    std::string text{from.substr(0, size)};
    from.remove_prefix(std::min(size + 1, from.size()));
    return text;
}

} // namespace

http_request_parser::http_request_parser(parser_limits limits) : limits_{limits}
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    http_parser_settings_init(&settings_);
    settings_.on_message_begin = &http_request_parser::on_message_begin;
    settings_.on_url = &http_request_parser::on_url;
    settings_.on_header_field = &http_request_parser::on_header_field;
    settings_.on_header_value = &http_request_parser::on_header_value;
    settings_.on_headers_complete = &http_request_parser::on_headers_complete;
    settings_.on_body = &http_request_parser::on_body;
    settings_.on_message_complete = &http_request_parser::on_message_complete;
}

parse_outcome http_request_parser::consume(std::string_view& input)
{
    const std::size_t parsed =
        http_parser_execute(&parser_, &settings_, input.data(), input.size());
    input.remove_prefix(std::min(parsed, input.size()));
    if (failure_) {
        return *failure_;
    }
    if (is_complete_) {
        http_parser_pause(&parser_, 0);
        return parse_outcome::complete;
    }
    if (HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW) {
        return parse_outcome::head_too_large;
    }
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? parse_outcome::needs_more
                                                 : parse_outcome::malformed;
}

http_request http_request_parser::take()
{
    http_request request;
    request.method = http_method_str(static_cast<http_method>(parser_.method));
    request.path = target_.substr(0, target_.find_first_of("?#"));
    for (std::string_view rest{fields_}; !rest.empty();) {
        std::string name = take_text(rest);
        request.headers.push_back({std::move(name), take_text(rest)});
    }
    request.body = std::make_shared<const std::string>(std::move(body_));
    reset();
    return request;
}

void http_request_parser::reset()
{
    // An assignment would keep the memory of a large text.
    std::string{}.swap(target_);
    std::string{}.swap(fields_);
    std::string{}.swap(body_);
    head_bytes_ = 0;
    in_value_ = false;
    has_begun_ = false;
    has_head_ = false;
    is_complete_ = false;
}

std::size_t http_request_parser::held_bytes() const
{
    // An empty text has a capacity, too, but holds nothing.
    return target_.size() + fields_.size() + (body_.empty() ? 0 : body_.capacity());
}

http_request_parser& http_request_parser::self(http_parser* parser)
{
    return *static_cast<http_request_parser*>(parser->data);
}

int http_request_parser::fail(parse_outcome why)
{
    failure_ = why;
    return -1;
}

int http_request_parser::count_head(std::size_t bytes)
{
    head_bytes_ += bytes;
    return head_bytes_ > limits_.max_head_bytes ? fail(parse_outcome::head_too_large) : 0;
}

int http_request_parser::on_message_begin(http_parser* parser)
{
    self(parser).has_begun_ = true;
    return 0;
}

int http_request_parser::on_url(http_parser* parser, const char* at, std::size_t length)
{
    http_request_parser& p = self(parser);
    p.target_.append(at, length);
    return p.count_head(length);
}

int http_request_parser::on_header_field(http_parser* parser, const char* at, std::size_t length)
{
    http_request_parser& p = self(parser);
    if (p.has_head_) {
        // Fields after the body are not used.
        return p.count_head(length);
    }
    const bool is_next = p.in_value_;
    if (is_next) {
        p.fields_ += separator;
        p.in_value_ = false;
    }
    p.fields_.append(at, length);
    return p.count_head(length + (is_next ? field_overhead : 0));
}

int http_request_parser::on_header_value(http_parser* parser, const char* at, std::size_t length)
{
    http_request_parser& p = self(parser);
    if (p.has_head_) {
        return p.count_head(length);
    }
    if (!p.in_value_) {
        p.fields_ += separator;
        p.in_value_ = true;
    }
    p.fields_.append(at, length);
    return p.count_head(length);
}

int http_request_parser::on_headers_complete(http_parser* parser)
{
    http_request_parser& p = self(parser);
    if (p.in_value_) {
        p.fields_ += separator;
    }
    p.has_head_ = true;
    if (parser->method == HTTP_CONNECT) {
        return p.fail(parse_outcome::malformed);
    }
    // No other protocol is offered: the request is answered as it is.
    parser->upgrade = 0;
    const bool has_length = parser->content_length != UINT64_MAX;
    if (has_length && parser->content_length > p.limits_.max_body_bytes) {
        return p.fail(parse_outcome::body_too_large);
    }
    return 0;
}

int http_request_parser::on_body(http_parser* parser, const char* at, std::size_t length)
{
    http_request_parser& p = self(parser);
    if (p.body_.size() + length > p.limits_.max_body_bytes) {
        return p.fail(parse_outcome::body_too_large);
    }
    p.body_.append(at, length);
    return 0;
}

int http_request_parser::on_message_complete(http_parser* parser)
{
    http_request_parser& p = self(parser);
    p.is_complete_ = true;
    p.keeps_alive_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace cuminmoor::io
