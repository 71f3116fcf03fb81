/// \file
/// Limits and periods of the daemon's I/O, each with its unit in its type or name.
#pragma once

#include <cstddef>

#include "cuminmoor/clock.h"
#include "cuminmoor/config.h"

namespace cuminmoor::io {

// HTTP server.
/// Above `config::max_body_bytes` a request is refused with `too_large`; above this the connection
/// is closed before the body has been read.
inline constexpr std::size_t max_read_body_bytes{2 * config::max_body_bytes};
inline constexpr std::size_t max_url_bytes{4'096};
inline constexpr std::size_t max_header_bytes{8'192};
inline constexpr std::size_t max_header_count{64};
inline constexpr std::size_t max_server_connections{4'096};
/// Requests of one connection that are read ahead of their answers; above 1, so that a caller that
/// goes away while it waits is noticed.
inline constexpr std::size_t max_pipelined_requests{4};
/// Connections that a server on its owner's loop takes in one pass of the loop. With one, a loop
/// with long passes would accept a few connections a second, however many wait.
inline constexpr std::size_t max_accepts_per_pass{64};
inline constexpr millis keep_alive_timeout{60'000};
/// How long after its last answer the server waits for answers that are being written.
inline constexpr millis flush_timeout{5'000};

// HTTP server on its owner's loop.
/// Target and fields of a request together, twice what the platform's callers send.
inline constexpr std::size_t max_head_bytes{32'768};
/// From the first byte of a request to the end of its head, and of its body.
inline constexpr millis head_timeout{10'000};
inline constexpr millis body_timeout{60'000};
/// A connection whose answers were not read for so long is closed.
inline constexpr millis write_timeout{30'000};
/// After a refusal the server reads on, so that closing does not reset the connection before the
/// client has seen the answer.
inline constexpr millis linger_time{1'000};
inline constexpr std::size_t max_discarded_bytes{config::max_body_bytes};
/// Bytes that count as progress of a client.
inline constexpr std::size_t useful_bytes{1'024};
/// What a call takes beside its text until it is answered.
inline constexpr std::size_t call_bytes{4'096};
inline constexpr int receive_buffer_bytes{65'536};
inline constexpr millis accept_retry_time{50};
inline constexpr millis sweep_period{1'000};

// Admission.
/// Requests that are open at once; more are refused by the traffic threads, so that a flood costs
/// the control thread nothing. Above what the queue and the slots of a failure domain hold.
inline constexpr std::size_t max_open_requests{1'024};

// HTTP client.
/// Most connections to one runner: the share of one of eight entry VMs. Slot shares keep the use
/// below it; this is the last resort.
inline constexpr long connections_per_backend{config::connections_per_runner / 8};
/// Most connections to the platform or to one worker.
inline constexpr long connections_for_control{64};
/// Idle connections older than this are not used again.
inline constexpr millis client_connection_age{30'000};
inline constexpr millis client_connect_timeout{1'000};
/// The same under central scheduling, where a connection that hangs delays what must be known soon.
inline constexpr millis quick_connect_timeout{500};
inline constexpr std::size_t max_answer_bytes{4 * config::max_body_bytes};
inline constexpr std::size_t max_document_bytes{16 * config::max_body_bytes};

// Store.
/// Calls to the store at once; reads are shed at half of it, so that commits still get through.
inline constexpr std::size_t max_store_calls{64};
inline constexpr std::size_t max_store_reads{32};

// Workers.
inline constexpr millis worker_sync_timeout{2'000};

// Datagrams between entry VMs.
inline constexpr std::size_t max_datagram_bytes{8'192};

// Event loop of central scheduling.
/// Results of runners are processed for this long before the sockets are polled again, and for
/// longer after a poll that took longer.
inline constexpr millis runner_event_slice{4};

// Control thread.
/// Period of the snapshot that /metrics and /readyz read.
inline constexpr millis snapshot_period{250};

// Event loop of central scheduling.
/// A timer that is later than this is reported, at most once in `lag_report_period`.
inline constexpr millis min_reported_lag{100};
inline constexpr millis lag_report_period{1'000};
/// Refused clients are reported at most once in this time.
inline constexpr millis refusal_report_period{1'000};

} // namespace cuminmoor::io
