/// \file
/// HTTP server and client for calls between entry VMs under central scheduling, with bodies
/// serialized by cereal. The server also serves /metrics.
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
    /// \param metrics_text returns the body of /metrics.
    central_peers(const deployment_dependencies& dependencies,
                  std::function<std::string()> metrics_text);

    /// Starts the server at the peer address.
    /// \return an error when the address cannot be bound.
    absl::Status start();
    /// Sends a call to a peer and posts a `peer_call_ended`.
    void execute(const central::peer_call& e);
    /// Responds to a peer's call.
    /// \return false when no peer's call has this handle.
    bool answer(const central::answer_call& e);
    /// \return true when all responses to peers have been written out.
    [[nodiscard]] bool is_flushed() { return server_->is_flushed(); }

    void on_request(http_request request, http_responder respond) override;
    void on_connection_closed(connection_number connection) override;

private:
    void handle_call(const http_request& request, http_responder respond);

    deployment_dependencies dependencies_;
    std::function<std::string()> metrics_text_;
    /// Responders of the calls that have no answer yet.
    std::map<central::call_handle, http_responder> responders_;
    std::unique_ptr<http_server> server_;
};

} // namespace cuminmoor::io
