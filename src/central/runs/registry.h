/// \file
/// The registry: which runners there are to use.
#pragma once

#include "central/context.h"

namespace cuminmoor::central {

void on_registry_changed(const context& c, const registry_changed& e);
/// Reads the registry again if the service of an ignored entry is known by now.
void reread_ignored_entries(const context& c);

} // namespace cuminmoor::central
