/// \file
/// Maps the core's answers to HTTP responses.
#include "answers.h"

#include <utility>

#include "cuminmoor/json_reader.h"

namespace cuminmoor::io {

namespace {

constexpr const char* json_type = "application/json";

std::string code_text(result_code code)
{
    return std::to_string(static_cast<unsigned>(code));
}

} // namespace

http_response make_error_response(result_code code, const std::string& message)
{
    const bool not_run = is_certainly_not_run(code);
    http_response response;
    response.status = http_status_of(code);
    response.content_type = json_type;
    response.headers = {{"X-Result-Code", code_text(code)}};
    if (not_run) {
        response.headers.push_back({"X-Not-Run", "1"});
    }
    response.body =
        std::make_shared<const std::string>(dump_json({{"code", static_cast<unsigned>(code)},
                                                       {"name", name_of(code)},
                                                       {"message", message},
                                                       {"not_run", not_run}}));
    response.close = code == result_code::shutting_down;
    return response;
}

http_response make_text_response(int status, std::string text)
{
    http_response response;
    response.status = status;
    response.content_type = "text/plain; charset=utf-8";
    response.body = std::make_shared<const std::string>(std::move(text));
    return response;
}

http_response make_json_response(std::string json)
{
    http_response response;
    response.content_type = json_type;
    response.headers = {{"X-Result-Code", code_text(result_code::ok)}};
    response.body = std::make_shared<const std::string>(std::move(json));
    return response;
}

http_response make_response(const request_answer& answer, const std::string& request_id)
{
    http_response response;
    if (answer.code == result_code::ok) {
        response.status = answer.status;
        response.content_type = "application/octet-stream";
        response.headers = {{"X-Result-Code", code_text(result_code::ok)}};
        response.body = answer.body ? answer.body : std::make_shared<const std::string>();
    }
    else {
        response = make_error_response(answer.code, answer.message);
    }
    response.headers.push_back({"X-Request-Id", request_id});
    return response;
}

http_response make_response(const command_answer& answer)
{
    if (answer.code == result_code::ok) {
        return make_json_response(answer.json);
    }
    if (answer.json.empty()) {
        return make_error_response(answer.code, answer.message);
    }
    http_response response = make_json_response(answer.json);
    response.status = http_status_of(answer.code);
    response.headers = {{"X-Result-Code", code_text(answer.code)}};
    return response;
}

} // namespace cuminmoor::io
