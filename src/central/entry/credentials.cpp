/// \file
/// Who may call.
#include "central/entry/credentials.h"

namespace cuminmoor::central {

caller_check check_caller(const manifest& m, std::string_view host, std::string_view path,
                          const credential& key)
{
    caller_check check;
    check.found = find_queue(m, host, path);
    if (check.found == nullptr) {
        check.result = call_result::unknown_queue;
        return check;
    }
    const auto owner = m.credentials.find(key);
    const bool is_known = owner != m.credentials.end();
    if (is_known) {
        check.organisation = owner->second;
    }
    const bool needs_credential = m.organisations && !check.found->is_public;
    check.result =
        needs_credential && !is_known ? call_result::unauthenticated : call_result::accepted;
    return check;
}

} // namespace cuminmoor::central
