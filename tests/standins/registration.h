/// \file
/// Entry of a stand-in VM in the platform's list.
#pragma once

#include <string>
#include <vector>

#include "json_fields.h"

namespace standin {

/// Puts the VMs into the list of the platform at `address` ("a.b.c.d:port").
/// \return false, with a line on standard error, when the platform did not take them.
bool register_vms(const std::string& address, const json& vms);

/// Removes the VMs from the list.
bool remove_vms(const std::string& address, const std::vector<std::string>& ids);

} // namespace standin
