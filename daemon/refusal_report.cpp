/// \file
/// Implementation of the report of refused clients.
#include "refusal_report.h"

#include <sstream>

#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr std::array all_limits{client_limit::connections, client_limit::memory, client_limit::head,
                                client_limit::body, client_limit::time};
static_assert(all_limits.size() == client_limit_count);

} // namespace

std::string render_metrics(const connection_budget& budget)
{
    std::ostringstream out;
    for (const client_limit limit : all_limits) {
        out << "cuminmoor_clients_refused_" << name_of(limit) << "_total " << budget.refusals(limit)
            << '\n';
    }
    out << "cuminmoor_client_connections " << budget.connections() << '\n'
        << "cuminmoor_client_connections_limit " << budget.limits().max_connections << '\n'
        << "cuminmoor_client_held_bytes " << budget.held_bytes() << '\n'
        << "cuminmoor_client_held_bytes_limit " << budget.limits().max_bytes << '\n';
    return out.str();
}

std::optional<std::vector<log_field>> refusal_report::observe(const connection_budget& budget,
                                                              instant now)
{
    if (reported_at_ && now - *reported_at_ < refusal_report_period) {
        return std::nullopt;
    }
    std::vector<log_field> fields;
    for (std::size_t i{0}; i < all_limits.size(); ++i) {
        const std::uint64_t total = budget.refusals(all_limits.at(i));
        if (total != reported_.at(i)) {
            fields.push_back({name_of(all_limits.at(i)), std::to_string(total - reported_.at(i))});
            reported_.at(i) = total;
        }
    }
    if (fields.empty()) {
        return std::nullopt;
    }
    reported_at_ = now;
    fields.push_back({"open", std::to_string(budget.connections())});
    fields.push_back({"held_bytes", std::to_string(budget.held_bytes())});
    return fields;
}

} // namespace cuminmoor::io
