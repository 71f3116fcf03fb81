/// \file
/// Configuration changes: compare-and-set of the head row, in one transaction with the change row.
#include <algorithm>

#include "commands_internal.h"
#include "configuration_sync.h"
#include "cuminmoor/config.h"
#include "cuminmoor/json_reader.h"

namespace cuminmoor {

namespace {

const change_configuration& body_of(const open_command& cmd)
{
    return std::get<change_configuration>(cmd.arrived.body);
}

std::string version_text(config_version v)
{
    return std::to_string(v.value);
}

/// \return the unknown failure domain or service that the change names, with its result code, or
/// `result_code::ok` if all names are known.
std::pair<result_code, std::string> find_unknown_name(const context& c,
                                                      const configuration_change& change)
{
    const auto known = known_failure_domains(c.s.membership);
    const auto& current = c.s.configuration.current;
    if (const auto* out = std::get_if<take_domain_out>(&change)) {
        if (!known.contains(out->failure_domain)) {
            return {result_code::unknown_failure_domain, out->failure_domain.value};
        }
    }
    if (const auto* in = std::get_if<bring_domain_in>(&change)) {
        if (!known.contains(in->failure_domain) && current.is_in_service(in->failure_domain)) {
            return {result_code::unknown_failure_domain, in->failure_domain.value};
        }
    }
    if (const auto* removed = std::get_if<remove_service>(&change)) {
        if (!current.services.contains(removed->service)) {
            return {result_code::unknown_service, removed->service.value};
        }
    }
    return {result_code::ok, ""};
}

void add_snapshot(transaction& body, const configuration& after)
{
    const auto version = after.version.value;
    if (version % config::changes_per_snapshot != 0) {
        return;
    }
    body.writes.push_back({config_snapshot_key, dump_json(configuration_to_json(after))});
    if (version <= config::changes_kept + config::changes_per_snapshot) {
        return;
    }
    const auto last = version - config::changes_kept;
    for (auto v = last - config::changes_per_snapshot; v < last; ++v) {
        body.writes.push_back({change_key({v}), std::nullopt});
    }
}

transaction make_change_transaction(const context& c, const open_command& cmd)
{
    const auto& config_state = c.s.configuration;
    const configuration_change& change = body_of(cmd).change;
    configuration after = config_state.current;
    apply_change(after, {cmd.target, change});
    transaction body;
    body.preconditions.push_back({config_head_key, config_state.head_row_version});
    body.writes.push_back({config_head_key, encode_config_head(cmd.target)});
    body.writes.push_back({change_key(cmd.target), encode_change_row({change, cmd.written_by})});
    add_snapshot(body, after);
    return body;
}

void answer_version_conflict(context& c, open_command& cmd)
{
    const auto expected = body_of(cmd).expected.value_or(config_version{});
    answer_error(c, cmd, result_code::version_conflict,
                 "the change expects version " + version_text(expected) + ", but version " +
                     version_text(c.s.configuration.current.version) +
                     " is in force; read it and decide again");
}

void answer_changed(context& c, open_command& cmd)
{
    answer_ok(c, cmd,
              {{"version", cmd.target.value}, {"change", change_to_json(body_of(cmd).change)}});
}

void on_change_applied(context& c, open_command& cmd, row_version head_row_version)
{
    const versioned_change change{cmd.target, body_of(cmd).change};
    adopt_change(c, change, head_row_version);
    request_configuration_poll(c);
    relay_changes(c, {change});
    answer_changed(c, cmd);
}

/// Another change was committed first: polls it, then retries the command.
void retry_after_conflict(context& c, open_command& cmd)
{
    c.s.counters.add("configuration_change_lost_race");
    c.s.configuration.head_row_version = 0;
    request_configuration_poll(c);
    cmd.sent.reset();
    cmd.may_have_applied = false;
    retry_later(c, cmd);
}

} // namespace

void resume_change(context& c, open_command& cmd)
{
    const auto& config_state = c.s.configuration;
    const auto& body = body_of(cmd);
    if (config_state.head_row_version == 0 || !c.s.membership.has_list) {
        request_configuration_poll(c);
        retry_later(c, cmd);
        return;
    }
    if (body.expected && *body.expected < config_state.current.version) {
        answer_version_conflict(c, cmd);
        return;
    }
    if (body.expected && config_state.current.version < *body.expected) {
        request_configuration_poll(c);
        retry_later(c, cmd);
        return;
    }
    if (const auto [code, name] = find_unknown_name(c, body.change); code != result_code::ok) {
        answer_error(c, cmd, code, "'" + name + "' is not known");
        return;
    }
    cmd.target = {config_state.current.version.value + 1};
    send_commit(c, cmd, make_change_transaction(c, cmd));
}

void on_change_committed(context& c, open_command& cmd, const store_committed& done)
{
    if (done.outcome == store_outcome::ok) {
        on_change_applied(c, cmd, done.revision);
        return;
    }
    if (cmd.may_have_applied) {
        store_read read;
        read.keys.push_back(change_key(cmd.target));
        send_read(c, cmd, std::move(read), command_stage::reading_back);
        return;
    }
    retry_after_conflict(c, cmd);
}

void on_change_read_back(context& c, open_command& cmd, const std::vector<row>& rows)
{
    const bool is_ours = std::any_of(rows.begin(), rows.end(), [&](const row& r) {
        const auto content = decode_change_row(r.value);
        return content.ok() && content->written_by == cmd.written_by;
    });
    if (is_ours) {
        c.s.counters.add("configuration_change_read_back");
        on_change_applied(c, cmd, 0);
        return;
    }
    retry_after_conflict(c, cmd);
}

} // namespace cuminmoor
