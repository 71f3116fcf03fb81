/// \file
/// Folders for the logs of the soak's programs.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace soak {

/// Makes an empty folder for a play, below `CUMINMOOR_SOAK_FOLDER` of the environment if that is
/// set, and tells the stand-ins of it. \return its path.
inline std::string make_log_folder(const std::string& play)
{
    const char* const chosen = std::getenv("CUMINMOOR_SOAK_FOLDER");
    std::string folder =
        std::string{chosen == nullptr ? CUMINMOOR_SOAK_FOLDER : chosen} + "/" + play;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    setenv("FOLDER", folder.c_str(), 1);
    return folder;
}

} // namespace soak
