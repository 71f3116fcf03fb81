/// \file
/// Answers of the daemon as HTTP messages.
#pragma once

#include <string>

#include "cuminmoor/command.h"
#include "cuminmoor/request.h"
#include "cuminmoor/result.h"
#include "http_message.h"

namespace cuminmoor::io {

/// \return {"code","name","message","not_run"} with the headers that repeat it.
http_response make_error_response(result_code code, const std::string& message);
http_response make_text_response(int status, std::string text);
http_response make_json_response(std::string json);

/// A runner's answer, or an error. \param request_id repeated in X-Request-Id.
http_response make_response(const request_answer& answer, const std::string& request_id);
http_response make_response(const command_answer& answer);

} // namespace cuminmoor::io
