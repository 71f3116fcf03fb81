/// \file
/// Log lines and their limit.
#include <criterion/criterion.h>

#include "log_limiter.h"
#include "logging.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;

Test(logging, values_that_need_it_are_quoted)
{
    cr_assert_eq(io::format_event("e", {{"a", "1"}, {"b", "two words"}, {"c", ""}}),
                 R"(event=e a=1 b="two words" c="")");
    cr_assert_eq(io::format_event("e", {{"a", "x=\"y\"\nz"}}), R"(event=e a="x=\"y\" z")");
}

Test(log_limiter, flood_is_cut_and_counted)
{
    io::log_limiter limiter;
    for (std::uint32_t i = 0; i < io::log_limiter::lines_per_window; ++i) {
        cr_assert(limiter.admit(cm::instant{5'000}) == 0);
    }
    cr_assert(!limiter.admit(cm::instant{5'000}));
    cr_assert(!limiter.admit(cm::instant{5'999}));
    cr_assert(limiter.admit(cm::instant{6'000}) == 2);
    cr_assert(limiter.admit(cm::instant{6'000}) == 0);
}
