/// \file
/// Builds the daemon's HTTP responses.
#pragma once

#include <string>

#include "cuminmoor/command.h"
#include "cuminmoor/request.h"
#include "cuminmoor/result.h"
#include "http_message.h"

namespace cuminmoor::io {

/// \return a response with the body {"code","name","message","not_run"} and the headers
/// X-Result-Code and, if the request certainly did not run, X-Not-Run.
http_response make_error_response(result_code code, const std::string& message);
http_response make_text_response(int status, std::string text);
http_response make_json_response(std::string json);

/// \return the runner's response, or an error response.
/// \param request_id returned in X-Request-Id.
http_response make_response(const request_answer& answer, const std::string& request_id);
http_response make_response(const command_answer& answer);

} // namespace cuminmoor::io
