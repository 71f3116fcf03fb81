/// \file
/// Lookup of queues, services and organisations.
#include "cuminmoor/central/manifest.h"

#include <algorithm>

namespace cuminmoor::central {

const queue* find_queue(const manifest& m, std::string_view host, std::string_view path)
{
    const queue* best{nullptr};
    for (const queue& q : m.queues) {
        const bool matches = q.host == host && path.starts_with(q.path_prefix);
        if (matches && (best == nullptr || q.path_prefix.size() > best->path_prefix.size())) {
            best = &q;
        }
    }
    return best;
}

const queue* find_queue(const manifest& m, const queue_id& name)
{
    const auto found = std::find_if(m.queues.begin(), m.queues.end(),
                                    [&name](const queue& q) { return q.name == name; });
    return found == m.queues.end() ? nullptr : &*found;
}

bool names_service(const manifest& m, const service_id& name)
{
    return m.services.contains(name) ||
           std::any_of(m.queues.begin(), m.queues.end(),
                       [&name](const queue& q) { return q.service == name; });
}

const organisation* find_organisation(const manifest& m, const organisation_id& name)
{
    if (!m.organisations) {
        return nullptr;
    }
    const auto found =
        std::find_if(m.organisations->begin(), m.organisations->end(),
                     [&name](const organisation& each) { return each.name == name; });
    return found == m.organisations->end() ? nullptr : &*found;
}

} // namespace cuminmoor::central
