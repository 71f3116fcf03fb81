/// \file
/// Entry point of cuminmoorctl.
#include <cstdlib>
#include <iostream>

#include "command_line.h"

int main(int argc, char** argv)
{
    cuminmoor::ctl::invocation started;
    started.words.assign(argv + 1, argv + argc);
    // Read before any thread is started.
    const char* const entries = std::getenv("CUMINMOOR_ENTRIES"); // NOLINT(concurrency-mt-unsafe)
    started.entries_variable = entries == nullptr ? "" : entries;
    return static_cast<int>(cuminmoor::ctl::run_command_line(started, std::cout, std::cerr));
}
