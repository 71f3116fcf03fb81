/// \file
/// Flags and operands of one command; collects every fault before anything is sent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cuminmoor/clock.h"
#include "cuminmoor/units.h"

namespace cuminmoor::ctl {

/// A flag of a command.
struct flag_spec {
    const char* name;
    /// How help names its value; empty: a switch without a value.
    const char* value_name;
    const char* help;
};

/// What the command line holds after the command's name.
class arguments {
public:
    /// Reads the words by the flags; faults are kept, not thrown.
    static arguments parse(const std::vector<std::string>& words,
                           const std::vector<flag_spec>& flags);

    [[nodiscard]] bool has(const std::string& flag) const { return values_.contains(flag); }
    /// \return the flag's text, or `otherwise`.
    [[nodiscard]] std::string text(const std::string& flag, std::string otherwise = {}) const;
    /// \return every value of a flag that may be repeated.
    [[nodiscard]] std::vector<std::string> texts(const std::string& flag) const;
    /// \return the flag's text; a fault when it is absent.
    std::string required_text(const std::string& flag, const std::string& fix);
    /// \return the flag's whole number that is at least `least`, or `otherwise` when absent.
    std::int64_t number(const std::string& flag, std::int64_t otherwise, std::int64_t least = 0);
    /// \return the value of --NAME-ms.
    millis duration(const std::string& flag, millis otherwise);
    /// \return the size given by --milli-cores, --memory-mib and --accelerators.
    resources size(const resources& otherwise);
    /// \return the only operand; a fault when there is not exactly one.
    std::string operand(const std::string& what);
    /// \return all operands.
    [[nodiscard]] const std::vector<std::string>& operands() const { return operands_; }
    /// A command without operands calls this.
    void expect_no_operands();

    void fault(const std::string& text) { faults_.push_back(text); }
    [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

private:
    std::map<std::string, std::vector<std::string>> values_;
    std::vector<std::string> operands_;
    std::vector<std::string> faults_;
};

} // namespace cuminmoor::ctl
