/// \file
/// Changes of the platform's VM list by its control call.
#include "registration.h"

#include <iostream>

#include "../../ctl/http_exchange.h"

namespace standin {

namespace {

bool change_list(const std::string& address, const json& change)
{
    cuminmoor::ctl::http_request request;
    request.method = "POST";
    request.url = "http://" + address + "/control/vms";
    request.body = change.dump();
    const auto result = cuminmoor::ctl::exchange_http(request);
    const auto* const answer = std::get_if<cuminmoor::ctl::http_answer>(&result);
    if (answer != nullptr && answer->status == 200) {
        return true;
    }
    std::cerr << "level=error event=vm_list_change_failed platform=" << address << "\n";
    return false;
}

} // namespace

bool register_vms(const std::string& address, const json& vms)
{
    return change_list(address, {{"put", vms}});
}

bool remove_vms(const std::string& address, const std::vector<std::string>& ids)
{
    return change_list(address, {{"remove", ids}});
}

} // namespace standin
