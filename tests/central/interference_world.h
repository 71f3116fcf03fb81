/// \file
/// The simulation of entry VMs with runners on which leftover tasks raise the tail latency of
/// services. Measures for how long services miss their targets because of their neighbours.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "expectations.h"

namespace cuminmoor::central::test {

class interference_world {
public:
    /// Latency that a service has by itself, in ms.
    std::function<double(instant)> own_latency = [](instant) { return 15.0; };
    /// Latency that a leftover task of an image adds at full speed, in ms per core.
    std::function<double(const std::string& image, instant)> added_latency =
        [](const std::string&, instant) { return 0.0; };
    /// Factor by which a reported latency differs from the true one.
    std::function<double()> report_error = [] { return 1.0; };

    static constexpr millis target{50};

    explicit interference_world(const world_options& options) : world{options}
    {
        for (std::size_t i{0}; i < options.runners; ++i) {
            world.runner(i).load_of = [this, i](const graph_task_id& id) { return load(i, id); };
        }
        world.run_for(warm_up);
    }

    void submit_service(std::uint64_t number, std::uint32_t tasks)
    {
        graph_job job = central_world::make_job(id_of(number), 1, tasks, {1'000});
        job.steps[0].is_service = true;
        job.steps[0].latency_target = target;
        job.steps[0].image = "service";
        job.steps[0].max_per_runner = 1;
        submit(job);
    }

    void submit_leftover(std::uint64_t number, std::uint32_t tasks, const std::string& image,
                         millis run_time)
    {
        graph_job job = central_world::make_job(id_of(number), 1, tasks, run_time);
        job.steps[0].uses_leftover = true;
        job.steps[0].saves_checkpoints = true;
        job.steps[0].image = image;
        job.steps[0].max_per_runner = 1;
        submit(job);
    }

    void run_for(millis time)
    {
        const instant end = world.now() + time;
        while (world.now() < end) {
            world.run_for(step);
            measure();
        }
    }

    /// \return the longest time for which a service has missed its target on end, would have met it
    /// by itself, and leftover tasks worked beside it.
    [[nodiscard]] millis longest_harm() const { return longest_harm_; }

    /// \return true if leftover tasks work beside a service that misses its target because of them.
    [[nodiscard]] bool is_harmed() const { return !harmed_since_.empty(); }

    /// \return the lowest pace of the leftover tasks, 100 if there are none.
    std::uint32_t lowest_pace(std::size_t runner)
    {
        std::uint32_t lowest{100};
        for (const auto& [id, run] : world.runner(runner).running) {
            lowest = run.behaviour.uses_leftover ? std::min(lowest, run.pace) : lowest;
        }
        return lowest;
    }

    central_world world;

private:
    static constexpr millis step{10};
    /// Time constant with which the reported latency follows the true one.
    static constexpr double smoothing_ms{300};

    void submit(const graph_job& job)
    {
        jobs_[job.id.value] = job;
        world.submit(0, job);
    }

    [[nodiscard]] const graph_step& step_of(const graph_task_id& id) const
    {
        return jobs_.at(id.job.value).steps[id.step];
    }

    std::int64_t load(std::size_t runner, const graph_task_id& id)
    {
        const graph_step& s = step_of(id);
        if (s.is_service) {
            return static_cast<std::int64_t>(latency_[{runner, id}] * report_error());
        }
        return s.task_size.milli_cores * world.runner(runner).running.at(id).pace / 100;
    }

    double added_on(std::size_t runner)
    {
        constexpr double milli{1'000};
        double added{0};
        for (const auto& [id, run] : world.runner(runner).running) {
            const graph_step& s = step_of(id);
            if (s.uses_leftover) {
                added += added_latency(s.image, world.now()) *
                         static_cast<double>(s.task_size.milli_cores) / milli * run.pace / 100;
            }
        }
        return added;
    }

    void measure()
    {
        std::map<std::pair<std::size_t, graph_task_id>, instant> harmed;
        const double own = own_latency(world.now());
        for (std::size_t i{0}; i < world.runners(); ++i) {
            const double added = added_on(i);
            for (const auto& [id, run] : world.runner(i).running) {
                if (!step_of(id).is_service) {
                    continue;
                }
                double& latency = latency_[{i, id}];
                latency += (own + added - latency) * static_cast<double>(step.count) / smoothing_ms;
                const auto limit = static_cast<double>(target.count);
                if (latency > limit && own <= limit && added > 0) {
                    const auto before = harmed_since_.find({i, id});
                    const instant since =
                        before == harmed_since_.end() ? world.now() : before->second;
                    harmed[{i, id}] = since;
                    longest_harm_ = std::max(longest_harm_, world.now() - since);
                }
            }
        }
        harmed_since_ = std::move(harmed);
    }

    std::map<std::string, graph_job> jobs_;
    std::map<std::pair<std::size_t, graph_task_id>, double> latency_;
    std::map<std::pair<std::size_t, graph_task_id>, instant> harmed_since_;
    millis longest_harm_;
};

} // namespace cuminmoor::central::test
