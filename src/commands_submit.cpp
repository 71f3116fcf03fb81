/// \file
/// Job submission: one transaction registers the id and adds the job to a failure domain's inbox.
#include "commands_internal.h"
#include "cuminmoor/config.h"
#include "job_registration.h"

namespace cuminmoor {

namespace {

const submit_job& body_of(const open_command& cmd)
{
    return std::get<submit_job>(cmd.arrived.body);
}

/// \return the requested failure domain, else this one if it is in service, else the first in
/// service.
failure_domain_id choose_failure_domain(const context& c, const submit_job& body)
{
    if (!body.failure_domain.empty()) {
        return body.failure_domain;
    }
    const auto& current = c.s.configuration.current;
    if (current.is_in_service(c.s.self.failure_domain)) {
        return c.s.self.failure_domain;
    }
    for (const auto& fd : known_failure_domains(c.s.membership)) {
        if (current.is_in_service(fd)) {
            return fd;
        }
    }
    return c.s.self.failure_domain;
}

job_registration registration_of(const open_command& cmd, const failure_domain_id& fd)
{
    const auto& body = body_of(cmd);
    return {fd, {body.spec, body.submitted_at_s, cmd.written_by}};
}

transaction make_submission(const job_registration& registration)
{
    const auto& job = registration.submission.spec.id;
    const std::string inbox = inbox_job_key(registration.failure_domain, job);
    transaction body;
    body.preconditions.push_back({registration_key(job), 0});
    body.preconditions.push_back({inbox, 0});
    body.writes.push_back({registration_key(job), encode_registration(registration)});
    body.writes.push_back({inbox, encode_inbox_job(registration.submission)});
    return body;
}

/// Notifies the failure domain's entry VMs, so that its scheduler reads the inbox without delay.
void send_inbox_hints(context& c, const failure_domain_id& fd)
{
    for (const auto& [id, vm] : c.s.membership.vms) {
        if (vm.role == vm_role::entry && vm.failure_domain == fd && id != c.s.self.vm) {
            c.out.add(peer_send{id, peer_inbox_hint{c.s.self.vm, fd}},
                      c.now + config::peer_timeout);
        }
    }
}

void answer_submitted(context& c, open_command& cmd, const failure_domain_id& fd, bool is_repeat)
{
    send_inbox_hints(c, fd);
    answer_ok(c, cmd,
              {{"job", body_of(cmd).spec.id.value},
               {"failure_domain", fd.value},
               {"repeated", is_repeat}});
}

bool is_same_job(const job_registration& stored, const open_command& cmd)
{
    return encode_job(stored.submission.spec) == encode_job(body_of(cmd).spec);
}

} // namespace

void resume_submit(context& c, open_command& cmd)
{
    if (c.s.configuration.head_row_version == 0 || !c.s.membership.has_list) {
        retry_later(c, cmd);
        return;
    }
    const auto& body = body_of(cmd);
    if (!body.failure_domain.empty() &&
        !known_failure_domains(c.s.membership).contains(body.failure_domain)) {
        answer_error(c, cmd, result_code::unknown_failure_domain,
                     "failure domain '" + body.failure_domain.value + "' is not known");
        return;
    }
    const auto fd = choose_failure_domain(c, body);
    if (!c.s.configuration.current.is_in_service(fd)) {
        answer_error(c, cmd, result_code::failure_domain_out,
                     "failure domain '" + fd.value + "' is out of service");
        return;
    }
    send_commit(c, cmd, make_submission(registration_of(cmd, fd)));
}

void on_submit_committed(context& c, open_command& cmd, const store_committed& done)
{
    if (done.outcome == store_outcome::ok) {
        const auto fd = decode_registration(*cmd.sent->writes.front().value);
        answer_submitted(c, cmd, fd.ok() ? fd->failure_domain : c.s.self.failure_domain, false);
        return;
    }
    store_read read;
    read.keys.push_back(registration_key(body_of(cmd).spec.id));
    send_read(c, cmd, std::move(read), command_stage::reading_back);
}

void on_submit_read_back(context& c, open_command& cmd, const std::vector<row>& rows)
{
    const auto stored = rows.empty() ? absl::StatusOr<job_registration>{absl::NotFoundError("")}
                                     : decode_registration(rows.front().value);
    if (!stored.ok()) {
        // The conflicting registration was deleted in the meantime.
        cmd.sent.reset();
        cmd.may_have_applied = false;
        retry_later(c, cmd);
        return;
    }
    if (stored->submission.written_by == cmd.written_by) {
        answer_submitted(c, cmd, stored->failure_domain, false);
        return;
    }
    if (is_same_job(*stored, cmd)) {
        answer_submitted(c, cmd, stored->failure_domain, true);
        return;
    }
    answer_error(c, cmd, result_code::duplicate_id,
                 "job id '" + body_of(cmd).spec.id.value +
                     "' is already used by a different job; choose another id");
}

} // namespace cuminmoor
