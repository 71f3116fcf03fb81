/// \file
/// Expected run times: the owner's estimate, corrected by the ends that were seen.
///
/// Answers the load of owners whose estimates are off by half and more, as tasks of one step are
/// alike and tasks of one image and size are estimated alike: who waits for room, moves a task or
/// asks whether a job can still end in time counts on what such tasks took.
#include "central/placement/run_times.h"

#include <algorithm>
#include <bit>

#include "central/runs/run_parts.h"

namespace cuminmoor::central {

namespace {

/// Seen runs that weigh as much as what is known without them.
constexpr double prior_runs{2};
/// A single run counts as at most this multiple of its estimate: some tasks are much longer than
/// the others of their step, and tell nothing about these.
constexpr double max_ratio{8};
/// Older runs count less once there are this many.
constexpr std::uint32_t max_counted_runs{64};
/// Tasks of further images are expected to take what their owners estimate.
constexpr std::size_t max_keys{1'024};

run_time_key key_of(const task_ref& ref)
{
    const auto milli_cores = static_cast<std::uint64_t>(ref.step->task_size.milli_cores);
    return {ref.image, static_cast<std::uint32_t>(std::bit_width(milli_cores))};
}

void add_ratio(seen_run_times& seen, double ratio)
{
    if (seen.runs == max_counted_runs) {
        seen.runs /= 2;
        seen.ratio_sum /= 2;
    }
    ++seen.runs;
    seen.ratio_sum += ratio;
}

/// \return the mean of what was seen, drawn to `prior` while little was.
double mean_ratio(const seen_run_times& seen, double prior)
{
    return (seen.ratio_sum + prior_runs * prior) / (static_cast<double>(seen.runs) + prior_runs);
}

millis estimate_of(const task_ref& ref)
{
    return std::max(millis{1}, ref.step->run_time);
}

} // namespace

void record_run_time(const context& c, const task_ref& ref)
{
    const run& ended = *ref.task->current_run;
    const bool was_paced = ended.paced_at >= ended.ordered_at;
    const bool is_comparable =
        ended.is_fresh && !was_paced && !ref.step->is_service && ref.step->run_time.count > 0;
    if (!c.s.self.options.run_time_correction || !is_comparable) {
        return;
    }
    const auto seen = static_cast<double>((c.now - ended.ordered_at).count);
    const double ratio = std::min(seen / static_cast<double>(ref.step->run_time.count), max_ratio);
    add_ratio(ref.progress->seen, ratio);
    auto& by_key = c.s.scheduler.run_times;
    if (by_key.size() < max_keys || by_key.contains(key_of(ref))) {
        add_ratio(by_key[key_of(ref)], ratio);
    }
}

millis expected_run_time(const central_state& s, const task_ref& ref)
{
    const millis estimate = estimate_of(ref);
    if (!s.self.options.run_time_correction || ref.step->is_service) {
        return estimate;
    }
    const auto known = s.scheduler.run_times.find(key_of(ref));
    const double of_key = known == s.scheduler.run_times.end() ? 1 : mean_ratio(known->second, 1);
    // A step that has not begun has no record.
    const double ratio = ref.progress == nullptr ? of_key : mean_ratio(ref.progress->seen, of_key);
    const auto corrected = static_cast<std::int64_t>(static_cast<double>(estimate.count) * ratio);
    return std::max(millis{1}, millis{corrected});
}

} // namespace cuminmoor::central
