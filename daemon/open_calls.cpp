/// \file
/// Table of open requests and commands.
#include "open_calls.h"

#include <utility>

namespace cuminmoor::io {

traffic_handle open_calls::add(open_call call)
{
    const std::lock_guard lock{mutex_};
    const traffic_handle handle{++last_handle_};
    by_connection_[call.connection].insert(handle);
    calls_.emplace(handle, std::move(call));
    return handle;
}

void open_calls::add_backend_time(traffic_handle handle, measuring_clock::duration time)
{
    const std::lock_guard lock{mutex_};
    const auto found = calls_.find(handle);
    if (found != calls_.end()) {
        found->second.backend_time += time;
    }
}

std::optional<open_call> open_calls::take(traffic_handle handle)
{
    const std::lock_guard lock{mutex_};
    auto node = calls_.extract(handle);
    if (node.empty()) {
        return std::nullopt;
    }
    const auto connection = by_connection_.find(node.mapped().connection);
    connection->second.erase(handle);
    if (connection->second.empty()) {
        by_connection_.erase(connection);
    }
    return std::move(node.mapped());
}

std::vector<traffic_handle> open_calls::close_connection(connection_number connection)
{
    const std::lock_guard lock{mutex_};
    std::vector<traffic_handle> requests;
    const auto node = by_connection_.extract(connection);
    if (node.empty()) {
        return requests;
    }
    for (const traffic_handle handle : node.mapped()) {
        const auto call = calls_.extract(handle);
        if (call.mapped().kind == open_call_kind::request) {
            requests.push_back(handle);
        }
    }
    return requests;
}

std::size_t open_calls::size() const
{
    const std::lock_guard lock{mutex_};
    return calls_.size();
}

std::vector<traffic_handle> open_calls::handles() const
{
    const std::lock_guard lock{mutex_};
    std::vector<traffic_handle> all;
    all.reserve(calls_.size());
    for (const auto& [handle, call] : calls_) {
        all.push_back(handle);
    }
    return all;
}

} // namespace cuminmoor::io
