/// \file
/// The virtual-clock driver of the benchmarks.
#include "cluster.h"

#include <time.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "cuminmoor/config.h"
#include "cuminmoor/inbox.h"

namespace cuminmoor::bench {

namespace {

std::int64_t thread_time_ns()
{
    timespec t{};
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return std::int64_t{t.tv_sec} * 1'000'000'000 + t.tv_nsec;
}

std::uint64_t size_of(const transaction& t)
{
    std::uint64_t bytes = 0;
    for (const auto& p : t.preconditions) {
        bytes += p.key.size();
    }
    for (const auto& w : t.writes) {
        bytes += w.key.size() + (w.value ? w.value->size() : 0);
    }
    return bytes;
}

} // namespace

cluster::cluster(const deployment& d, const workload& load, const cluster_script& script,
                 const policy_set& policies)
    : deployment_{d}, load_{load}, script_{script}, reducer_{policies}
{
    for (std::size_t i = 0; i < d.failure_domains.size(); ++i) {
        states_.push_back(std::make_unique<state>());
        states_.back()->self = {{absl::StrCat("entry-", i)}, {d.failure_domains[i]}, i + 1};
        vms_.push_back({states_.back()->self.vm,
                        vm_role::entry,
                        vm_phase::live,
                        states_.back()->self.failure_domain,
                        "h",
                        "p",
                        {}});
    }
    for (int w = 0; w < d.workers; ++w) {
        const vm_id id{absl::StrCat("worker-", 1'000 + w)};
        const auto fd = static_cast<std::size_t>(w) % d.failure_domains.size();
        auto& worker = workers_.try_emplace(id, load_, work).first->second;
        worker.rack = {absl::StrCat("rack-", w / 8)};
        worker.fails_everything = w < script.broken_workers;
        vms_.push_back({id, vm_role::worker, vm_phase::live, {d.failure_domains[fd]}, "h", "", {}});
    }
}

std::vector<vm_entry> cluster::list_vms() const
{
    return vms_;
}

bool cluster::is_store_up() const
{
    return now_ < script_.store_down_at || now_ >= script_.store_up_at;
}

void cluster::answer(std::size_t domain, event e)
{
    delayed_.push({now_ + script_.latency, next_order_++, domain, std::move(e)});
}

void cluster::step(std::size_t domain, const event& e)
{
    ++traffic.steps;
    const std::int64_t before = thread_time_ns();
    const auto effects = reducer_.step(*states_[domain], e, now_);
    traffic.reducer_ns += thread_time_ns() - before;
    for (const auto& f : effects) {
        if (now_ < f.not_after) {
            if (observer != nullptr) {
                observer->observe(f.body);
            }
            std::visit([&](const auto& body) { execute(domain, body); }, f.body);
        }
    }
}

void cluster::deliver_due()
{
    while (!delayed_.empty() && delayed_.top().at <= now_) {
        const delayed next = delayed_.top();
        delayed_.pop();
        step(next.domain, next.body);
    }
}

void cluster::change_configuration(const configuration_change& change)
{
    step(0, command_arrived{{next_order_++}, cuminmoor::change_configuration{change, {}}});
}

void cluster::apply_script()
{
    const failure_domain_id last{deployment_.failure_domains.back()};
    if (script_.takes_domain_out && !went_out_ && now_ >= script_.out_at) {
        went_out_ = true;
        change_configuration(take_domain_out{last});
    }
    if (went_out_ && !came_in_ && now_ >= script_.in_at) {
        came_in_ = true;
        change_configuration(bring_domain_in{last});
    }
    if (!cancelled_ && now_ >= load_.cancelled_at) {
        cancelled_ = true;
        for (const auto& job : load_.cancelled) {
            for (const auto& s : states_) {
                const auto& fd = s->self.failure_domain;
                (void)table.commit(
                    {{}, {{inbox_cancel_key(fd, job), encode_inbox_cancel({job, {"bench"}})}}});
            }
        }
    }
}

void cluster::submit_due()
{
    for (; next_submission_ < load_.submissions.size() &&
           load_.submissions[next_submission_].at <= now_;
         ++next_submission_) {
        const auto& spec = load_.submissions[next_submission_].spec;
        // As the entry VMs do: to a failure domain that is in service, in turn.
        auto fd = next_submission_ % states_.size();
        if (went_out_ && !came_in_ && fd + 1 == states_.size()) {
            fd = next_submission_ % (states_.size() - 1);
        }
        const inbox_job submission{spec, now_.ms / 1'000, {"bench"}};
        (void)table.commit({{},
                            {{inbox_job_key(states_[fd]->self.failure_domain, spec.id),
                              encode_inbox_job(submission)}}});
    }
}

void cluster::run()
{
    run_until({script_.length.count});
}

void cluster::run_until(instant end)
{
    for (; now_ < end; now_ = now_ + millis{1}) {
        deliver_due();
        if (now_.ms % config::tick_period.count != 0) {
            continue;
        }
        submit_due();
        apply_script();
        for (std::size_t i = 0; i < states_.size(); ++i) {
            step(i, tick{});
        }
    }
}

void cluster::execute(std::size_t domain, const store_commit& f)
{
    if (!is_store_up()) {
        answer(domain, store_committed{f.token, store_outcome::unavailable, 0});
        return;
    }
    ++traffic.commits;
    traffic.rows_written += f.body.writes.size();
    traffic.commit_bytes += size_of(f.body);
    const auto revision = table.commit(f.body);
    answer(domain, store_committed{f.token, revision ? store_outcome::ok : store_outcome::conflict,
                                   revision.value_or(0)});
}

void cluster::execute(std::size_t domain, const store_read& f)
{
    ++traffic.reads;
    traffic.keys_read += f.keys.size() + f.ranges.size();
    const bool up = is_store_up();
    answer(domain, store_read_done{f.token, up, now_, up ? table.read(f) : std::vector<row>{}});
}

void cluster::execute(std::size_t domain, const object_put& f)
{
    table.objects[f.key] = f.body;
    answer(domain, object_done{f.token, true, {}});
}

void cluster::execute(std::size_t domain, const object_get& f)
{
    const auto found = table.objects.find(f.key);
    answer(domain,
           object_done{f.token, true,
                       found == table.objects.end() ? std::nullopt : std::optional{found->second}});
}

void cluster::execute(std::size_t domain, const vm_list_read& /*f*/)
{
    answer(domain, vm_list_done{true, list_vms()});
}

void cluster::execute(std::size_t domain, const worker_sync& f)
{
    ++traffic.syncs;
    traffic.orders += f.orders.size();
    auto& worker = workers_.at(f.worker);
    answer(domain, worker_synced{f.worker, true, now_, worker.handle(f, now_)});
}

} // namespace cuminmoor::bench
