/// \file
/// Workers' reports: any text is decoded or refused; what is decoded keeps its invariants.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "worker_json.h"

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto report = cuminmoor::io::decode_report({reinterpret_cast<const char*>(data), size});
    if (!report.ok()) {
        return 0;
    }
    for (const auto& task : report->tasks) {
        if (task.attempt == 0 || task.task.job.empty() || task.p99_us < 0) {
            std::abort();
        }
    }
    if (report->clock.ms < 0 || report->incarnation.empty()) {
        std::abort();
    }
    return 0;
}
