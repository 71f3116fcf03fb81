/// \file
/// Printing of answers: JSON as it came, tables, or one line.
#pragma once

#include <string>
#include <vector>

#include "command_table.h"
#include "table.h"

namespace cuminmoor::ctl {

/// Prints a failed result. \return its exit code.
exit_code report_failure(const session& s, const entry_result& result);

/// Prints `text` on success, or the failure.
exit_code report_done(const session& s, const entry_result& result, const std::string& text);

/// Prints the array `field` of the answer as a table, or the failure.
exit_code report_table(const session& s, const entry_result& result, const char* field,
                       const std::vector<column>& columns);

/// Prints the answer's fields, or the failure.
exit_code report_fields(const session& s, const entry_result& result);

/// \return a call that only reads.
entry_call reading_call(const std::string& target);

/// \return a call that sends a body.
entry_call posting_call(const std::string& target, const nlohmann::json& body);

/// \return the call that changes the configuration; `expected` from --expected, if given.
entry_call change_call(const nlohmann::json& change, const arguments& given);

/// Sends a change of the configuration and reports it with the version that it leads to.
exit_code report_change(const session& s, const entry_call& call, const std::string& text);

} // namespace cuminmoor::ctl
