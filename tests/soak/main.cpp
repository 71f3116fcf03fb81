/// \file
/// central_soak SEED...: plays disturbed minutes on real entry VMs, one after the other, and prints
/// what must not happen. `DAEMON` names another program of the entry VMs, `CUMINMOOR_SOAK_FOLDER`
/// another folder for logs; those of a seed with a finding or a long gap are kept.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <string>

#include "judge.h"
#include "log_folder.h"
#include "play.h"

namespace {

namespace fs = std::filesystem;

/// Logs are kept of a seed in which a lasting task had no run for this long, though faults excuse
/// it.
constexpr std::int64_t kept_from_gap_ms{9'000};

/// \return whether the seed had no finding.
bool soak_one(const std::string& seed)
{
    const std::string folder = soak::make_log_folder(seed);
    const auto seen = soak::play{std::stoull(seed), folder}.run();
    if (!seen) {
        std::printf("seed %s: NOT RUN: the VMs are not ready; logs in %s\n", seed.c_str(),
                    folder.c_str());
        return false;
    }
    const soak::judgement result = soak::judge(*seen);
    for (const std::string& each : result.findings) {
        std::printf("seed %s: %s\n", seed.c_str(), each.c_str());
    }
    std::printf("seed %s: %zu findings, longest gap %lld ms, %zu lasting tasks, %zu accepted jobs, "
                "%zu answers, %zu faults\n",
                seed.c_str(), result.findings.size(), static_cast<long long>(result.longest_gap_ms),
                seen->lasting_tasks.size(), seen->accepted.size(), seen->answers.size(),
                seen->faults.size());
    if (result.findings.empty() && result.longest_gap_ms < kept_from_gap_ms) {
        fs::remove_all(folder);
        return true;
    }
    std::printf("seed %s: logs in %s\n", seed.c_str(), folder.c_str());
    return result.findings.empty();
}

} // namespace

int main(int argc, char** argv)
{
    setenv("DAEMON", CUMINMOORD_PROGRAM, 0);
    bool is_clean{argc > 1};
    try {
        for (int i{1}; i < argc; ++i) {
            is_clean = soak_one(argv[i]) && is_clean;
            std::fflush(stdout);
        }
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "central_soak: %s\n", error.what());
        return 1;
    }
    return is_clean ? 0 : 1;
}
