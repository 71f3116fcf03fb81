/// \file
/// The platform's answers: any text is decoded or refused.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "platform_json.h"

namespace io = cuminmoor::io;

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text{reinterpret_cast<const char*>(data), size};
    const auto revision = io::decode_commit_answer(text);
    if (revision.ok() && *revision == 0) {
        std::abort();
    }
    if (const auto rows = io::decode_rows(text); rows.ok()) {
        for (const auto& row : *rows) {
            if (row.version == 0) {
                std::abort();
            }
        }
    }
    if (const auto vms = io::decode_vm_list(text); vms.ok()) {
        for (const auto& vm : *vms) {
            if (vm.id.empty()) {
                std::abort();
            }
        }
    }
    return 0;
}
