/// \file
/// What the files of the commands part share.
#pragma once

#include <string>
#include <vector>

#include "context.h"
#include "cuminmoor/commands.h"
#include "nlohmann/json.hpp"

namespace cuminmoor {

// Life of a command. After `answer` the command no longer exists.

/// Sends `body`; the answer comes back to the handler of the command's kind.
void send_commit(context& c, open_command& cmd, transaction body);
/// Reads; the answer comes back with the command in stage `stage`.
void send_read(context& c, open_command& cmd, store_read read, command_stage stage);
/// Goes on after `config::command_retry`.
void retry_later(context& c, open_command& cmd);
void answer_ok(context& c, const open_command& cmd, const nlohmann::json& body);
void answer_error(context& c, const open_command& cmd, result_code code,
                  const std::string& message);

// One group of functions for each kind of command.

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
