/// \file
/// Operators' JSON: any body is read into a command or refused with a code of the input's fault.
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>

#include "command_request.h"
#include "cuminmoor/status.h"

namespace cm = cuminmoor;
namespace io = cuminmoor::io;

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const std::array paths{"/v1/configuration/changes", "/v1/jobs", "/v1/jobs/cancel"};
    if (size == 0) {
        return 0;
    }
    io::http_request r;
    r.method = "POST";
    r.path = paths.at(data[0] % paths.size());
    r.headers = {{"X-Caller", "c1"}};
    r.body = std::make_shared<const std::string>(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto parsed = io::parse_command(r, 1);
    const bool is_fault_of_input =
        parsed && (parsed->ok() || cm::is_certainly_not_run(cm::code_of(parsed->status())));
    if (!is_fault_of_input) {
        std::abort();
    }
    return 0;
}
