/// \file
/// Order of queued requests and fairness among callers.
#include <criterion/criterion.h>

#include "cuminmoor/config.h"
#include "cuminmoor/fair_queue.h"

namespace cm = cuminmoor;

namespace {

constexpr cm::instant no_urgent_deadline{-1};

/// Queues `count` requests of `caller`, with handles and deadlines that ascend from `first`.
void push_range(cm::fair_queue& q, const char* caller, std::uint64_t first, std::uint64_t count)
{
    for (std::uint64_t n = first; n < first + count; ++n) {
        q.push({{caller}, {static_cast<std::int64_t>(n)}, {n}});
    }
}

} // namespace

Test(fair_queue, callers_alternate_regardless_of_deadlines)
{
    cm::fair_queue q;
    push_range(q, "carver", 1, 100);
    push_range(q, "buyer", 1'000, 10);
    int of_buyer = 0;
    for (int n = 0; n < 20; ++n) {
        of_buyer += q.pop(no_urgent_deadline)->value >= 1'000 ? 1 : 0;
    }
    cr_assert_eq(of_buyer, 10);
}

Test(fair_queue, serves_earliest_deadline_of_caller_first)
{
    cm::fair_queue q;
    q.push({{"carver"}, {30}, {1}});
    q.push({{"carver"}, {10}, {2}});
    q.push({{"carver"}, {20}, {3}});
    cr_assert_eq(q.pop(no_urgent_deadline)->value, 2U);
    cr_assert_eq(q.pop(no_urgent_deadline)->value, 3U);
}

Test(fair_queue, urgent_request_is_charged_to_its_caller)
{
    cm::fair_queue q;
    push_range(q, "carver", 1, 100);
    push_range(q, "buyer", 1'000, 100);
    std::uint64_t of_carver = 0;
    for (int n = 0; n < 60; ++n) {
        of_carver += q.pop({500})->value < 1'000 ? 1 : 0;
    }
    cr_assert_leq(of_carver, 30U + cm::config::urgent_turns);
    cr_assert_geq(of_carver, 30U);
}

Test(fair_queue, removed_request_is_not_popped)
{
    cm::fair_queue q;
    push_range(q, "carver", 1, 2);
    q.remove({{"carver"}, {1}, {1}});
    cr_assert_eq(q.pop(no_urgent_deadline)->value, 2U);
    cr_assert(q.empty());
    cr_assert_eq(q.callers(), 0U);
    cr_assert(!q.pop(no_urgent_deadline));
}

Test(fair_queue, count_ahead_includes_other_callers)
{
    cm::fair_queue q;
    push_range(q, "carver", 1, 50);
    push_range(q, "buyer", 1'000, 2);
    cr_assert_eq(q.count_ahead({"buyer"}, {2'000}), 5U);
    cr_assert_eq(q.count_ahead({"buyer"}, {0}), 1U);
    cr_assert_eq(q.latest_of_largest_queue().value, 50U);
}
