/// \file
/// Shares of the room among organisations.
#include "central/organisations/shares.h"

#include <unordered_set>

#include "absl/strings/str_cat.h"
#include "central/organisations/quota.h"
#include "dominant_share.h"

namespace cuminmoor::central {

namespace {

/// Logs that an organisation's steps wait for the others', one line at most in each period.
void note_postponed(const context& c, organisation_use& use, const ready_key& key, double share)
{
    if (!count_wait(c, use.share)) {
        return;
    }
    c.log("share_reached", {{"organisation", use.settings.name.value},
                            {"job", key.job.value},
                            {"weight", absl::StrCat(use.settings.weight)},
                            {"running_milli_cores", absl::StrCat(use.running.milli_cores)},
                            {"share", absl::StrCat(share)},
                            {"waits", absl::StrCat(use.share.waits)}});
}

} // namespace

step_turns::step_turns(const context& c, const resources& total,
                       const std::vector<ready_key>& steps)
    : c_{c}, total_{total}, steps_{steps}
{
    if (!c.s.scheduler.organisations.empty()) {
        count_weights();
    }
}

organisation_use* step_turns::owner_of_step(const ready_key& key) const
{
    scheduler_state& s = c_.s.scheduler;
    if (s.organisations.empty()) {
        return nullptr;
    }
    const auto job = s.jobs.find(key.job);
    return job == s.jobs.end() ? nullptr : find_use(c_, job->second);
}

void step_turns::count_weights()
{
    std::unordered_set<const organisation_use*> counted;
    const auto count = [&](const organisation_use& use) {
        if (counted.insert(&use).second) {
            active_weight_ += use.settings.weight;
        }
    };
    for (const auto& [name, use] : c_.s.scheduler.organisations) {
        if (use.running != resources{}) {
            count(use);
        }
    }
    for (const ready_key& key : steps_) {
        if (const organisation_use* const use = owner_of_step(key)) {
            count(*use);
        }
    }
}

double step_turns::weighted_share(const organisation_use& use) const
{
    return dominant_share(use.running, total_) / use.settings.weight;
}

bool step_turns::has_excess(const organisation_use& use) const
{
    return weighted_share(use) * active_weight_ >= 1;
}

void step_turns::postpone(const ready_key& key, organisation_use& use)
{
    const auto [found, is_new] = excess_of_.try_emplace(&use, excess_.size());
    if (is_new) {
        excess_.push_back({&use, {}});
        turns_.emplace(weighted_share(use), found->second);
        note_postponed(c_, use, key, dominant_share(use.running, total_));
    }
    excess_[found->second].steps.push(&key);
}

const ready_key* step_turns::next_within_share()
{
    while (position_ < steps_.size()) {
        const ready_key& key = steps_[position_];
        const bool ends_priority =
            !turns_.empty() && steps_[position_ - 1].priority != key.priority;
        if (ends_priority) {
            return nullptr;
        }
        ++position_;
        organisation_use* const use = owner_of_step(key);
        if (use == nullptr || !has_excess(*use)) {
            current_owner_ = use;
            return &key;
        }
        postpone(key, *use);
    }
    return nullptr;
}

const ready_key* step_turns::next_excess()
{
    if (turns_.empty()) {
        return nullptr;
    }
    const std::size_t index = turns_.top().second;
    turns_.pop();
    excess& owner = excess_[index];
    const ready_key* const key = owner.steps.front();
    owner.steps.pop();
    if (!owner.steps.empty()) {
        // Its turn is found once this step was placed.
        last_excess_ = index;
    }
    return key;
}

const ready_key* step_turns::next()
{
    if (last_excess_) {
        turns_.emplace(weighted_share(*excess_[*last_excess_].use), *last_excess_);
        last_excess_.reset();
    }
    if (turns_.empty()) {
        excess_.clear();
        excess_of_.clear();
    }
    current_owner_ = nullptr;
    current_ = next_within_share();
    return current_ != nullptr ? current_ : next_excess();
}

bool step_turns::yields()
{
    const bool must_wait = current_owner_ != nullptr && has_excess(*current_owner_);
    if (must_wait) {
        postpone(*current_, *current_owner_);
        current_owner_ = nullptr;
    }
    return must_wait;
}

} // namespace cuminmoor::central
