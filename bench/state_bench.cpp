/// \file
/// Measures what accepted jobs take at the scheduler: bytes of waiting tasks, of occurrences and of
/// images, and the processor time until waiting tasks are ready. Usage: state_bench
#include <chrono>
#include <cstdint>
#include <cstdio>

#include "absl/strings/str_cat.h"
#include "allocation_count.h"
#include "central/parts.h"

namespace cuminmoor::central::bench {

namespace {

using cuminmoor::bench::heap_size_of;

graph_job job_of(std::uint32_t steps, std::uint32_t tasks)
{
    graph_job job;
    job.id.value = "0123456789abcdef";
    job.steps.resize(steps);
    for (graph_step& step : job.steps) {
        step.tasks = tasks;
        step.task_size = {500, 64, 0};
        step.run_time = {100};
    }
    return job;
}

/// \return the record of a job whose tasks wait.
job_record waiting(const graph_job& spec)
{
    job_record job = make_job(spec, {}, instant{0});
    init_occurrence(job, 0);
    return job;
}

void print_bytes(const char* what, std::int64_t bytes)
{
    std::printf("%-40s %12lld bytes\n", what, static_cast<long long>(bytes));
}

void print_job_sizes()
{
    constexpr std::uint32_t few{10};
    constexpr std::uint32_t many{10'000};
    print_bytes("waiting step of 10 tasks", heap_size_of(waiting(job_of(1, few))));
    print_bytes("waiting step of 10,000 tasks", heap_size_of(waiting(job_of(1, many))));
    graph_job repeating = job_of(1, few);
    repeating.repeats.count = many;
    repeating.repeats.interval = {1'000};
    print_bytes("job of 10,000 occurrences, none begun",
                heap_size_of(make_job(repeating, {}, instant{0})));
}

/// \return the bytes of the disturbance model once jobs with so many images were accepted.
std::int64_t model_bytes(std::uint32_t images)
{
    central_state s;
    effects out;
    const context c{s, out, instant{0}, {}};
    graph_job spec = job_of(images, 1);
    for (std::uint32_t i{0}; i < images; ++i) {
        spec.steps[i].image = absl::StrCat("image-", i);
    }
    job_record job = waiting(spec);
    assign_image_numbers(c, job);
    return heap_size_of(s.scheduler.learned_disturbance);
}

/// \return the time until the tasks of so many jobs of one step are ready.
std::chrono::microseconds ready_time(std::uint32_t jobs, std::uint32_t tasks)
{
    central_state s;
    effects out;
    const context c{s, out, instant{0}, {}};
    graph_job spec = job_of(1, tasks);
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t n{0}; n < jobs; ++n) {
        spec.id.value = absl::StrCat("job-", n);
        job_record& job =
            s.scheduler.jobs.emplace(spec.id, make_job(spec, {}, instant{0})).first->second;
        start_due_occurrences(c, job);
    }
    const auto took = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration_cast<std::chrono::microseconds>(took);
}

void print_ready_time(std::uint32_t jobs, std::uint32_t tasks)
{
    std::printf("%3u jobs of %6u waiting tasks are ready after %8lld us\n", jobs, tasks,
                static_cast<long long>(ready_time(jobs, tasks).count()));
}

} // namespace

} // namespace cuminmoor::central::bench

int main()
{
    using namespace cuminmoor::central::bench;
    print_job_sizes();
    print_bytes("model of 100 images", model_bytes(100));
    print_bytes("model of 3,500 images", model_bytes(3'500));
    print_ready_time(10, 100);
    print_ready_time(10, 10'000);
    return 0;
}
