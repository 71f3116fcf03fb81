/// \file
/// Settings: flags override environment variables, and all errors are reported together.
#include <criterion/criterion.h>

#include <cstdlib>

#include "settings.h"

namespace io = cuminmoor::io;

namespace {

const std::vector<std::string> valid_flags{
    "--vm=e1", "--failure-domain=accra-east", "--http-address=127.0.0.1:7000",
    "--peer-address=[::1]:7001", "--platform=127.0.0.1:7002"};

std::vector<std::string> valid_flags_with(const std::string& flag)
{
    auto flags = valid_flags;
    flags.push_back(flag);
    return flags;
}

bool mentions(const absl::Status& status, const std::string& text)
{
    return std::string{status.message()}.find(text) != std::string::npos;
}

} // namespace

Test(settings, flags_fill_every_field)
{
    const auto s = io::parse_settings(valid_flags_with("--traffic-threads=3"));
    cr_assert(s.ok());
    cr_assert_eq(s->vm.value, "e1");
    cr_assert_eq(s->peer.ip, "::1");
    cr_assert_eq(s->http.port, 7000);
    cr_assert_eq(s->platform, "127.0.0.1:7002");
    cr_assert_eq(s->traffic_threads, 3);
    cr_assert(s->mode == io::run_mode::serve);
}

Test(settings, environment_variables_apply_where_no_flag_is_given)
{
    setenv("CUMINMOOR_TRAFFIC_THREADS", "5", 1);
    setenv("CUMINMOOR_VM", "from-environment", 1);
    const auto s = io::parse_settings(valid_flags);
    cr_assert(s.ok());
    cr_assert_eq(s->traffic_threads, 5);
    cr_assert_eq(s->vm.value, "e1");
}

Test(settings, all_errors_are_reported_together)
{
    const auto s =
        io::parse_settings({"--vm=a/b", "--http-address=localhost:1", "--platform=1.2.3.4",
                            "--traffic-threads=0", "--log-level=loud", "--colour=red"});
    cr_assert(!s.ok());
    for (const char* const name :
         {"--vm", "--failure-domain is missing", "CUMINMOOR_FAILURE_DOMAIN", "localhost:1",
          "--peer-address is missing", "--platform", "--traffic-threads", "--log-level",
          "--colour"}) {
        cr_assert(mentions(s.status(), name), "%s", name);
    }
}

Test(settings, help_requires_no_other_flags)
{
    cr_assert(io::parse_settings({"--help"})->mode == io::run_mode::help);
    cr_assert(io::parse_settings(valid_flags_with("--check"))->mode == io::run_mode::check);
    cr_assert(!io::parse_settings({"--check"}).ok());
}

Test(settings, decisions_of_central_scheduling_are_off_unless_switched_on)
{
    auto flags = valid_flags_with("--scheduling=central");
    flags.push_back("--readiness-address=127.0.0.1:7003");
    const auto plain = io::parse_settings(flags);
    cr_assert(plain.ok());
    cr_assert_not(plain->options.attainable_first);
    cr_assert_not(plain->options.run_time_correction);
    cr_assert_not(plain->options.lookahead);
    cr_assert_not(plain->options.service_headroom);
    flags.push_back("--lookahead=on");
    cr_assert(io::parse_settings(flags)->options.lookahead);
    flags.back() = "--lookahead=yes";
    cr_assert_not(io::parse_settings(flags).ok());
}

Test(settings, fractional_vm_capacity_is_parsed)
{
    auto flags = valid_flags_with("--scheduling=central");
    flags.insert(flags.end(),
                 {"--readiness-address=127.0.0.1:7003", "--core-share=0.069", "--link-mbit=2.0"});
    const auto s = io::parse_settings(flags);
    cr_assert(s.ok());
    cr_assert_eq(s->capacity.milli_cores, 69);
    cr_assert_eq(s->capacity.link_kbit_per_s, 2'000);
    flags.push_back("--core-share=0");
    cr_assert_not(io::parse_settings(flags).ok());
    flags.back() = "--link-mbit=wide";
    cr_assert_not(io::parse_settings(flags).ok());
}
