/// \file
/// Calls between entry VMs under central scheduling, and their metrics page: HTTP with bodies of
/// cereal's.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "absl/status/statusor.h"
#include "central_ports.h"
#include "http_server.h"

namespace cuminmoor::io {

class central_peers final : public http_handler {
public:
    /// \param metrics_text makes the text of /metrics.
    central_peers(const deployment_dependencies& dependencies,
                  std::function<std::string()> metrics_text);

    /// Listens at the peer address.
    absl::Status start();
    void execute(const central::peer_call& e);
    /// \return false when the handle is not a peer's.
    bool answer(const central::answer_call& e);

    void on_request(http_request request, http_responder respond) override;
    void on_connection_closed(connection_number connection) override;

private:
    void handle_call(const http_request& request, http_responder respond);

    deployment_dependencies dependencies_;
    std::function<std::string()> metrics_text_;
    std::map<central::call_handle, http_responder> responders_;
    std::unique_ptr<http_server> server_;
};

} // namespace cuminmoor::io
