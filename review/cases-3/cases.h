/// \file
/// The cases of this review; each says in its claim.txt what it shows.
#pragma once

#include <string>

#include "deployment.h"

namespace review {

/// What a case is given.
struct case_run {
    recorder& record;
    std::string log_folder;
    /// False: the same without the disruption.
    bool trouble{true};
};

verdict play_foreign_address(const case_run& run);
verdict play_stray_entries(const case_run& run);
verdict play_draft_manifest(const case_run& run);
verdict play_wide_jobs(const case_run& run);
verdict play_many_images(const case_run& run);

} // namespace review
