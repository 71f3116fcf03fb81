/// \file
/// Turns into another program that the kernel ends together with its parent, so that a test that
/// is killed leaves nothing running. Usage: run_with_parent PARENT_PID PROGRAM [ARGUMENTS]
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <sys/prctl.h>
#include <unistd.h>

int main(int argc, char** argv)
{
    constexpr int first_word_of_program = 2;
    if (argc <= first_word_of_program) {
        std::cerr << "usage: run_with_parent PARENT_PID PROGRAM [ARGUMENTS]\n";
        return 2;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before the line above.
    if (getppid() != std::atoi(argv[1])) { // NOLINT(cert-err34-c)
        return 1;
    }
    execv(argv[first_word_of_program], argv + first_word_of_program);
    std::cerr << "cannot run " << argv[first_word_of_program] << "\n";
    return 1;
}
