/// \file
/// Checkpoints of the ledger in the object store, and truncation of the log.
#include "absl/strings/str_cat.h"
#include "scheduler_parts.h"

namespace cuminmoor {

namespace {

/// A checkpoint is due when the log is large compared with the last checkpoint. This balances the
/// bytes written here against those that the next lease holder has to read. The number of commits
/// since the last checkpoint must reach `config::commits_per_checkpoint`; at
/// `config::max_commits_per_checkpoint` a checkpoint is due regardless of size.
bool is_checkpoint_due(const scheduler_state& s)
{
    const auto& k = s.checkpoint;
    const std::uint64_t commits = s.job_ledger.applied.value - k.uploaded.value;
    if (s.job_ledger.applied <= k.uploaded || commits < config::commits_per_checkpoint) {
        return false;
    }
    return commits >= config::max_commits_per_checkpoint ||
           k.log_bytes >= k.object_bytes * config::log_bytes_per_checkpoint_byte;
}

} // namespace

void drive_checkpoint(context& c)
{
    auto& s = c.s.scheduler;
    auto& k = s.checkpoint;
    if (!s.recovered || !is_lease_valid(c) || k.upload_token != 0 || c.now < k.retry_at ||
        !is_checkpoint_due(s)) {
        return;
    }
    k.upload_token = s.next_token++;
    k.uploading = s.job_ledger.applied;
    std::string text = encode_ledger(s.job_ledger);
    k.object_bytes = text.size();
    c.out.add(object_put{{store_user::scheduler, k.upload_token},
                         ledger_object_key(c.s.self.failure_domain, k.uploading),
                         std::move(text)});
}

void on_checkpoint_put(context& c, const object_done& e)
{
    auto& k = c.s.scheduler.checkpoint;
    if (k.upload_token == 0 || e.token.number != k.upload_token) {
        return;
    }
    k.upload_token = 0;
    if (!e.ok) {
        c.s.counters.add("scheduler.checkpoint_retry");
        k.retry_at = c.now + backoff_delay(c, 4);
        return;
    }
    k.uploaded = k.uploading;
    k.log_bytes = 0;
    c.s.counters.add("scheduler.checkpoint_stored");
}

void collect_checkpoint(context& c, commit_draft& d)
{
    auto& k = c.s.scheduler.checkpoint;
    const auto& fd = c.s.self.failure_domain;
    if (k.uploaded > k.published) {
        d.extra.writes.push_back(
            {ledger_pointer_key(fd), absl::StrCat("{\"index\":", k.uploaded.value, "}")});
    }
    d.checkpoint = k.uploaded;
    // This transaction sets the pointer row to `uploaded`, so it may also delete the log rows up to
    // it.
    const std::uint64_t last =
        std::min(k.uploaded.value, k.trimmed.value + config::max_log_rows_trimmed);
    for (std::uint64_t i = k.trimmed.value + 1; i <= last; ++i) {
        d.extra.writes.push_back({log_key(fd, {i}), std::nullopt});
    }
    d.trimmed_to.value = last;
}

} // namespace cuminmoor
