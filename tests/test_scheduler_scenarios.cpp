/// \file
/// Runs every file in tests/scenarios, and again with each mechanism disabled that the file lists
/// in `breaks_without`; the checker must then detect a violation.
#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "scenario/scenario.h"

namespace cm = cuminmoor;
namespace sc = cuminmoor::scenario;

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void check_mechanisms(const std::string& name, const sc::scenario_file& file)
{
    for (const auto& mechanism : file.breaks_without) {
        const auto switches = sc::switches_without(mechanism);
        cr_assert(switches.ok(), "%s: unknown mechanism %s", name.c_str(), mechanism.c_str());
        const auto result = sc::run_scenario(file, *switches);
        std::cout << name << " without " << mechanism << ": " << result.violation << "\n";
        cr_expect(!result.violation.empty(), "%s: without %s nothing was detected", name.c_str(),
                  mechanism.c_str());
    }
}

void check_file(const std::filesystem::path& path)
{
    const std::string name = path.filename().string();
    const auto file = sc::parse_scenario(read_file(path));
    cr_assert(file.ok(), "%s: %s", name.c_str(), std::string{file.status().message()}.c_str());
    const auto result = sc::run_scenario(*file, {});
    cr_expect(result.violation.empty(), "%s: %s", name.c_str(), result.violation.c_str());
    cr_expect(result.failed_expectation.empty(), "%s: %s", name.c_str(),
              result.failed_expectation.c_str());
    check_mechanisms(name, *file);
}

} // namespace

Test(scheduler_scenarios, all_files_pass)
{
    constexpr int min_files = 12;
    int files = 0;
    for (const auto& entry : std::filesystem::directory_iterator{CUMINMOOR_SCENARIO_FOLDER}) {
        check_file(entry.path());
        ++files;
    }
    cr_assert_geq(files, min_files);
}
