/// \file
/// Command processing; each command gets exactly one answer.
#include "commands_internal.h"
#include "cuminmoor/config.h"
#include "cuminmoor/json_reader.h"

namespace cuminmoor {

namespace {

std::uint64_t allocate_token(context& c, open_command& cmd)
{
    cmd.token = c.s.commands.next_token++;
    c.s.commands.waiting[cmd.token] = cmd.arrived.handle;
    return cmd.token;
}

void finish(context& c, const open_command& cmd, result_code code, std::string message,
            std::string json)
{
    const auto handle = cmd.arrived.handle;
    c.s.commands.waiting.erase(cmd.token);
    c.out.add(command_answer{handle, code, std::move(message), std::move(json)});
    c.s.commands.open.erase(handle);
}

void resume(context& c, open_command& cmd)
{
    cmd.stage = command_stage::ready;
    cmd.next_try = never;
    std::visit(overloaded{
                   [&](const change_configuration&) { resume_change(c, cmd); },
                   [&](const submit_job&) { resume_submit(c, cmd); },
                   [&](const cancel_jobs&) { resume_cancel(c, cmd); },
                   [&](const show_job&) { resume_show_job(c, cmd); },
                   [&](const list_jobs&) { resume_list_jobs(c, cmd); },
                   [&](const show_audit&) { resume_audit(c, cmd); },
                   [&](const show_configuration&) { answer_ok(c, cmd, configuration_view(c)); },
                   [&](const show_status&) { answer_ok(c, cmd, status_view(c)); },
                   [&](const list_vms&) { answer_ok(c, cmd, vms_view(c)); },
               },
               cmd.arrived.body);
}

void start_command(context& c, const command_arrived& arrived)
{
    open_command created;
    created.arrived = arrived;
    created.started_at = c.now;
    created.written_by = {c.s.self.vm.value + "." + std::to_string(c.s.self.incarnation) + ".c" +
                          std::to_string(arrived.handle.value)};
    const auto [found, is_new] = c.s.commands.open.emplace(arrived.handle, std::move(created));
    if (is_new) {
        resume(c, found->second);
    }
}

/// Resends the same transaction if it may have been applied; otherwise resumes the command.
void resume_or_resend(context& c, open_command& cmd)
{
    if (cmd.sent && cmd.may_have_applied) {
        send_commit(c, cmd, *cmd.sent);
        return;
    }
    resume(c, cmd);
}

void fail_timed_out(context& c, const open_command& cmd)
{
    if (cmd.may_have_applied || cmd.stage == command_stage::committing) {
        c.s.counters.add("command_outcome_unknown");
        answer_error(c, cmd, result_code::outcome_unknown,
                     "the store did not confirm the command within " +
                         std::to_string(config::command_timeout.count) +
                         " ms; it may still take effect");
        return;
    }
    c.s.counters.add("command_refused_store_unavailable");
    answer_error(c, cmd, result_code::store_unavailable,
                 "the store did not answer within " +
                     std::to_string(config::command_timeout.count) + " ms; nothing was done");
}

void on_tick(context& c)
{
    std::vector<traffic_handle> handles;
    for (const auto& [handle, cmd] : c.s.commands.open) {
        handles.push_back(handle);
    }
    for (const auto handle : handles) {
        open_command& cmd = c.s.commands.open.at(handle);
        if (c.now - cmd.started_at > config::command_timeout) {
            fail_timed_out(c, cmd);
        }
        else if (cmd.stage == command_stage::ready && c.now >= cmd.next_try) {
            resume_or_resend(c, cmd);
        }
    }
}

/// Removes the token from the waiting ones.
/// \return the command that waits for it, or null if there is none.
open_command* take_waiting_command(context& c, store_token token)
{
    if (token.user != store_user::commands) {
        return nullptr;
    }
    const auto found = c.s.commands.waiting.find(token.number);
    if (found == c.s.commands.waiting.end()) {
        return nullptr;
    }
    const auto handle = found->second;
    c.s.commands.waiting.erase(found);
    return &c.s.commands.open.at(handle);
}

void on_committed(context& c, open_command& cmd, const store_committed& done)
{
    if (done.outcome == store_outcome::unknown) {
        cmd.may_have_applied = true;
        c.s.counters.add("command_retry_outcome_unknown");
        retry_later(c, cmd);
        return;
    }
    if (done.outcome == store_outcome::unavailable) {
        c.s.counters.add("command_retry_store_unavailable");
        retry_later(c, cmd);
        return;
    }
    std::visit(overloaded{
                   [&](const change_configuration&) { on_change_committed(c, cmd, done); },
                   [&](const submit_job&) { on_submit_committed(c, cmd, done); },
                   [&](const cancel_jobs&) { on_cancel_committed(c, cmd, done); },
                   [](const auto&) {},
               },
               cmd.arrived.body);
}

void on_read(context& c, open_command& cmd, const store_read_done& done)
{
    if (!done.ok) {
        c.s.counters.add("command_retry_read_failed");
        retry_later(c, cmd);
        return;
    }
    const auto& rows = done.rows;
    std::visit(overloaded{
                   [&](const change_configuration&) { on_change_read_back(c, cmd, rows); },
                   [&](const submit_job&) { on_submit_read_back(c, cmd, rows); },
                   [&](const cancel_jobs&) { on_cancel_read(c, cmd, rows); },
                   [&](const show_job&) { on_show_job_read(c, cmd, rows); },
                   [&](const list_jobs&) { on_list_jobs_read(c, cmd, rows); },
                   [&](const show_audit&) { on_audit_read(c, cmd, rows); },
                   [](const auto&) {},
               },
               cmd.arrived.body);
}

} // namespace

void send_commit(context& c, open_command& cmd, transaction body)
{
    cmd.stage = command_stage::committing;
    cmd.sent = std::move(body);
    const store_token token{store_user::commands, allocate_token(c, cmd)};
    c.out.add(store_commit{token, *cmd.sent}, c.now + config::store_timeout);
}

void send_read(context& c, open_command& cmd, store_read read, command_stage stage)
{
    cmd.stage = stage;
    read.token = {store_user::commands, allocate_token(c, cmd)};
    c.out.add(std::move(read), c.now + config::store_timeout);
}

void retry_later(context& c, open_command& cmd)
{
    const auto spread = static_cast<std::uint64_t>(config::command_retry.count);
    const millis extra{static_cast<std::int64_t>(jitter(c.s, spread))};
    cmd.stage = command_stage::ready;
    cmd.next_try = c.now + config::command_retry + extra;
}

void answer_ok(context& c, const open_command& cmd, const nlohmann::json& body)
{
    finish(c, cmd, result_code::ok, "", dump_json(body));
}

void answer_error(context& c, const open_command& cmd, result_code code, const std::string& message)
{
    const nlohmann::json body{{"code", static_cast<int>(code)},
                              {"name", name_of(code)},
                              {"message", message},
                              {"not_run", is_certainly_not_run(code)}};
    c.s.counters.add("command_refused_" + std::string{name_of(code)});
    finish(c, cmd, code, message, dump_json(body));
}

void handle_commands(context& c, const event& e)
{
    if (const auto* arrived = std::get_if<command_arrived>(&e)) {
        start_command(c, *arrived);
    }
    if (std::holds_alternative<tick>(e)) {
        on_tick(c);
    }
    if (const auto* done = std::get_if<store_committed>(&e)) {
        if (auto* cmd = take_waiting_command(c, done->token)) {
            on_committed(c, *cmd, *done);
        }
    }
    if (const auto* done = std::get_if<store_read_done>(&e)) {
        if (auto* cmd = take_waiting_command(c, done->token)) {
            on_read(c, *cmd, *done);
        }
    }
}

} // namespace cuminmoor
