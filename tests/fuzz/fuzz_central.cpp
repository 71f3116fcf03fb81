/// \file
/// Everything that central scheduling reads from the platform, callers, runners, the store and
/// peers: any bytes are decoded or rejected. The first byte selects the decoder.
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "central/store/codec.h"
#include "cuminmoor/central/peer_codec.h"
#include "wire.h"

namespace central = cuminmoor::central;
namespace platform = cuminmoor::platform;

namespace {

using decoder = void (*)(const std::string&);

constexpr std::array<decoder, 16> decoders{
    [](const std::string& text) { (void)platform::parse_job(text); },
    [](const std::string& text) { (void)platform::parse_manifest(text); },
    [](const std::string& text) { (void)platform::parse_store_page(text); },
    [](const std::string& text) { (void)platform::parse_commit_response(text); },
    [](const std::string& text) { (void)platform::parse_order_response(text); },
    [](const std::string& text) { (void)platform::parse_hold_response(text); },
    [](const std::string& text) { (void)platform::parse_registry_entry("r", text); },
    [](const std::string& text) { (void)central::decode_head(text); },
    [](const std::string& text) { (void)central::decode_lease(text); },
    [](const std::string& text) { (void)central::decode_capacity(text); },
    [](const std::string& text) { (void)central::decode_stored_job(text); },
    [](const std::string& text) { (void)central::decode_runner(text); },
    [](const std::string& text) { (void)central::decode_disturbance(text); },
    [](const std::string& text) { (void)central::decode_progress(text); },
    [](const std::string& text) { (void)central::decode_call(text); },
    [](const std::string& text) { (void)central::decode_answer(text); },
};

} // namespace

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string text{reinterpret_cast<const char*>(data) + 1, size - 1};
    decoders.at(data[0] % decoders.size())(text);
    return 0;
}
