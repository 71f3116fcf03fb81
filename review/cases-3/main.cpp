/// \file
/// Plays one case. Usage: cases NAME RECORD_FILE LOG_FOLDER, in the root of the repository; with
/// TROUBLE=0 in the environment without the disruption.
#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    using namespace review;
    const std::map<std::string, verdict (*)(const case_run&)> cases{
        {"foreign_address", play_foreign_address},
        {"stray_entries", play_stray_entries},
        {"draft_manifest", play_draft_manifest},
        {"wide_jobs", play_wide_jobs},
        {"many_images", play_many_images}};
    constexpr int argument_count{4};
    const auto found = argc == argument_count ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: cases NAME RECORD_FILE LOG_FOLDER\n";
        return static_cast<int>(verdict::not_run);
    }
    const char* const trouble = std::getenv("TROUBLE");
    recorder record{argv[2]};
    const case_run run{record, argv[3], trouble == nullptr || std::string{trouble} != "0"};
    record.add(std::string{argv[1]} + (run.trouble ? "" : ", without the disruption"));
    const verdict result = found->second(run);
    const std::map<verdict, const char*> names{{verdict::held, "the rule held"},
                                               {verdict::broken, "the rule was broken"},
                                               {verdict::not_run, "the case could not run"}};
    record.add(names.at(result));
    std::cout << names.at(result) << "\n";
    return static_cast<int>(result);
}
