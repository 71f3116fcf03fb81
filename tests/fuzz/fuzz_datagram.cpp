/// \file
/// Datagrams between entry VMs: any bytes are decoded or refused; what is decoded encodes again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "io_limits.h"
#include "peer_codec.h"

namespace io = cuminmoor::io;

namespace {

void check(const std::string& bytes)
{
    const auto message = io::decode_datagram(bytes);
    if (!message.ok()) {
        return;
    }
    const auto again = io::encode_datagram(*message);
    // Numbers inside a change may be written longer than they came.
    const bool grew_too_large = !again.ok() && bytes.size() > io::max_datagram_bytes / 2;
    if (!grew_too_large && (!again.ok() || !io::decode_datagram(*again).ok())) {
        std::abort();
    }
}

} // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string bytes{reinterpret_cast<const char*>(data), size};
    check(bytes);
    // With a valid head, so that the fuzzer need not find it.
    static const std::string head = io::encode_datagram(cuminmoor::peer_inbox_hint{})->substr(0, 4);
    check(head + bytes);
    return 0;
}
