/// \file
/// Internal functions of command processing, shared among its source files.
#pragma once

#include <string>
#include <vector>

#include "context.h"
#include "cuminmoor/commands.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

// Command lifecycle. `answer_ok` and `answer_error` erase the command.

/// Commits `body`; the result is passed to the handler of the command's type.
void send_commit(context& c, open_command& cmd, transaction body);
/// Sends a read; the command is in stage `stage` until the result arrives.
void send_read(context& c, open_command& cmd, store_read read, command_stage stage);
/// Resumes the command after `config::command_retry` plus a random part.
void retry_later(context& c, open_command& cmd);
void answer_ok(context& c, const open_command& cmd, const nlohmann::json& body);
void answer_error(context& c, const open_command& cmd, result_code code,
                  const std::string& message);

// Handlers, one group for each command type.

void resume_change(context& c, open_command& cmd);
void on_change_committed(context& c, open_command& cmd, const store_committed& done);
void on_change_read_back(context& c, open_command& cmd, const std::vector<row>& rows);

void resume_submit(context& c, open_command& cmd);
void on_submit_committed(context& c, open_command& cmd, const store_committed& done);
void on_submit_read_back(context& c, open_command& cmd, const std::vector<row>& rows);

void resume_cancel(context& c, open_command& cmd);
void on_cancel_read(context& c, open_command& cmd, const std::vector<row>& rows);
void on_cancel_committed(context& c, open_command& cmd, const store_committed& done);

void resume_show_job(context& c, open_command& cmd);
void on_show_job_read(context& c, open_command& cmd, const std::vector<row>& rows);
void resume_list_jobs(context& c, open_command& cmd);
void on_list_jobs_read(context& c, open_command& cmd, const std::vector<row>& rows);
void resume_audit(context& c, open_command& cmd);
void on_audit_read(context& c, open_command& cmd, const std::vector<row>& rows);

nlohmann::json configuration_view(const context& c);
nlohmann::json status_view(const context& c);
nlohmann::json vms_view(const context& c);

} // namespace cuminmoor
