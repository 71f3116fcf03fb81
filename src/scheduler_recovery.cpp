/// \file
/// Recovery of the ledger from the checkpoint and the log after the lease was acquired.
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "cuminmoor/json_reader.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

job_id job_of(const ledger_record& record)
{
    return std::visit(overloaded{
                          [](const job_admitted& r) { return r.spec.id; },
                          [](const service_sized& r) { return r.spec.id; },
                          [](const job_cancelled& r) { return r.job; },
                          [](const job_forgotten& r) { return r.job; },
                          [](const auto& r) { return r.task.job; },
                      },
                      record);
}

void retry_recovery(context& c, const char* reason)
{
    auto& r = c.s.scheduler.recovery;
    c.s.counters.add(absl::StrCat("scheduler.recovery_retry.", reason));
    const std::uint32_t tries = r.tries + 1;
    r = {};
    r.tries = tries;
    r.retry_at = c.now + backoff_delay(c, tries);
}

void read_log_page(context& c, bool with_pointer)
{
    auto& s = c.s.scheduler;
    const auto& fd = c.s.self.failure_domain;
    s.recovery.token = s.next_token++;
    store_read read{{store_user::scheduler, s.recovery.token}, {}, {}};
    if (with_pointer) {
        read.keys.push_back(ledger_pointer_key(fd));
    }
    const log_index first{s.recovery.partial.applied.value + 1};
    read.ranges.push_back({log_prefix(fd), log_key(fd, first), config::log_page_rows});
    c.out.add(std::move(read));
}

void finish_recovery(context& c)
{
    auto& s = c.s.scheduler;
    s.job_ledger = std::move(s.recovery.partial);
    s.recovery = {};
    s.recovered = true;
    s.recovered_at = c.now;
    s.inbox.next_scan = c.now;
    c.s.counters.add("scheduler.recovered");
    for (auto& [id, worker] : s.workers) {
        worker.next_sync = c.now;
        s.unreconciled_workers.insert(id);
    }
    for (const auto& [id, job] : s.job_ledger.jobs) {
        if (job.has_ended()) {
            s.ended_jobs.emplace(id, c.now);
        }
    }
}

/// \return the index in the key of a log row, or nothing if it is not a log row.
std::optional<std::uint64_t> index_of(const context& c, const row& r)
{
    const std::string prefix = log_prefix(c.s.self.failure_domain);
    std::uint64_t index = 0;
    if (!r.key.starts_with(prefix) || !absl::SimpleAtoi(r.key.substr(prefix.size()), &index)) {
        return std::nullopt;
    }
    return index;
}

std::optional<std::uint64_t> first_log_row(const context& c, const std::vector<row>& rows)
{
    for (const auto& row : rows) {
        if (const auto index = index_of(c, row)) {
            return index;
        }
    }
    return std::nullopt;
}

/// Applies the log rows that were read.
/// \return an error at the first gap or unreadable row; the rows before it are applied.
absl::Status apply_log_rows(context& c)
{
    auto& r = c.s.scheduler.recovery;
    for (const auto& row : r.rows) {
        const auto index = index_of(c, row);
        if (!index || *index <= r.partial.applied.value) {
            continue;
        }
        if (*index != r.partial.applied.value + 1) {
            return absl::DataLossError(absl::StrCat("log row missing before ", row.key));
        }
        const auto records = decode_records(row.value);
        if (!records.ok()) {
            return records.status();
        }
        apply_records(c, r.partial, *records);
        c.s.scheduler.checkpoint.log_bytes += row.value.size();
        r.partial.applied.value = *index;
    }
    return absl::OkStatus();
}

void apply_rows_and_continue(context& c)
{
    auto& s = c.s.scheduler;
    const auto status = apply_log_rows(c);
    if (!status.ok()) {
        retry_recovery(c, "log_gap");
        return;
    }
    s.recovery.rows.clear();
    if (s.recovery.partial.applied >= s.lease.seen.last) {
        finish_recovery(c);
        return;
    }
    if (!s.recovery.truncated) {
        retry_recovery(c, "log_short");
        return;
    }
    read_log_page(c, false);
}

/// \return the checkpoint index in the pointer row; 0 if there is none.
std::uint64_t find_checkpoint(const context& c, const std::vector<row>& rows)
{
    for (const auto& row : rows) {
        if (row.key != ledger_pointer_key(c.s.self.failure_domain)) {
            continue;
        }
        const auto body = parse_json(row.value, "ledger pointer");
        if (body.ok()) {
            json_reader r{*body, "ledger pointer"};
            std::uint64_t index = 0;
            r.number("index", index, {});
            return index;
        }
    }
    return 0;
}

void fetch_checkpoint(context& c, std::uint64_t index)
{
    auto& s = c.s.scheduler;
    s.checkpoint = {};
    s.checkpoint.published.value = index;
    s.checkpoint.uploaded.value = index;
    // Each commit deletes a limited number of log rows, so rows older than the checkpoint may be
    // left.
    s.checkpoint.trimmed.value = first_log_row(c, s.recovery.rows).value_or(index + 1) - 1;
    s.recovery.token = s.next_token++;
    c.out.add(object_get{{store_user::scheduler, s.recovery.token},
                         ledger_object_key(c.s.self.failure_domain, {index})});
}

} // namespace

std::string log_prefix(const failure_domain_id& fd)
{
    return absl::StrCat("fd/", fd.value, "/log/");
}

std::string log_key(const failure_domain_id& fd, log_index index)
{
    return absl::StrCat(log_prefix(fd), absl::StrFormat("%012u", index.value));
}

std::string ledger_pointer_key(const failure_domain_id& fd)
{
    return absl::StrCat("fd/", fd.value, "/ledger");
}

std::string ledger_object_key(const failure_domain_id& fd, log_index index)
{
    return absl::StrCat("fd/", fd.value, "/ledger/", index.value);
}

void apply_records(context& c, ledger& job_ledger, const std::vector<ledger_record>& records)
{
    for (const auto& record : records) {
        const auto status = apply_record(job_ledger, record);
        if (!status.ok()) {
            c.s.counters.add("scheduler.record_skipped");
            continue;
        }
        schedule_summary(c, job_ledger, job_of(record));
    }
}

void drive_recovery(context& c)
{
    auto& s = c.s.scheduler;
    if (s.lease.role != lease_role::holder || s.recovered || s.recovery.token != 0 ||
        c.now < s.recovery.retry_at) {
        return;
    }
    read_log_page(c, true);
}

void on_recovery_rows(context& c, const store_read_done& e)
{
    auto& r = c.s.scheduler.recovery;
    if (r.token == 0 || e.token.number != r.token) {
        return;
    }
    if (!e.ok) {
        retry_recovery(c, "read_failed");
        return;
    }
    r.rows = e.rows;
    r.truncated = e.rows.size() >= config::log_page_rows;
    const std::uint64_t index = find_checkpoint(c, e.rows);
    if (index != 0 && r.partial.applied.value == 0) {
        fetch_checkpoint(c, index);
        return;
    }
    apply_rows_and_continue(c);
}

void on_recovery_object(context& c, const object_done& e)
{
    auto& s = c.s.scheduler;
    if (s.recovery.token == 0 || e.token.number != s.recovery.token) {
        return;
    }
    auto job_ledger = e.ok && e.body ? decode_ledger(*e.body)
                                     : absl::StatusOr<ledger>{absl::NotFoundError("no checkpoint")};
    if (!job_ledger.ok() || job_ledger->applied != s.checkpoint.published) {
        retry_recovery(c, "checkpoint_unreadable");
        return;
    }
    s.recovery.partial = *std::move(job_ledger);
    s.checkpoint.object_bytes = e.body->size();
    c.s.counters.add("scheduler.recovered_from_checkpoint");
    apply_rows_and_continue(c);
}

} // namespace cuminmoor
