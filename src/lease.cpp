/// \file
/// Key and JSON encoding of the lease row.
#include "cuminmoor/lease.h"

#include "cuminmoor/json_reader.h"

namespace cuminmoor {

std::string lease_key(const failure_domain_id& fd)
{
    return "fd/" + fd.value + "/lease";
}

std::string encode_lease(const lease_row& lease)
{
    const nlohmann::json body{{"holder", lease.holder.value},
                              {"epoch", lease.epoch.value},
                              {"last", lease.last.value},
                              {"nonce", lease.written_by.value},
                              {"released", lease.released}};
    return dump_json(body);
}

absl::StatusOr<lease_row> decode_lease(const std::string& text)
{
    const auto body = parse_json(text, "lease row");
    if (!body.ok()) {
        return body.status();
    }
    json_reader r{*body, "lease row"};
    lease_row lease;
    r.name("holder", lease.holder.value);
    r.number("epoch", lease.epoch.value, {});
    r.number("last", lease.last.value, {});
    r.name("nonce", lease.written_by.value);
    r.optional_flag("released", lease.released);
    if (auto fault = r.finish_lenient(); !fault.ok()) {
        return fault;
    }
    return lease;
}

} // namespace cuminmoor
