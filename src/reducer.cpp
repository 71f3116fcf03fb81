/// \file
/// Passes each event to the parts of the reducer in a fixed order.
#include "cuminmoor/reducer.h"

#include "context.h"

namespace cuminmoor {

std::vector<effect> reducer::step(state& s, const event& e, instant now) const
{
    effect_buffer out;
    context c{s, now, policies_, out};
    handle_configuration(c, e);
    handle_membership(c, e);
    handle_scheduler(c, e);
    handle_requests(c, e);
    handle_commands(c, e);
    handle_shutdown(c, e);
    return out.take();
}

std::uint64_t jitter(state& s, std::uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    // SplitMix64: one addition and three mixing steps per number, and it accepts any seed.
    s.jitter_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = s.jitter_state ^ s.self.incarnation;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return (z ^ (z >> 31U)) % bound;
}

} // namespace cuminmoor
