/// \file
/// Parses and validates settings.
#include "settings.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <sstream>
#include <utility>

#include <boost/program_options.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_replace.h"
#include "cuminmoor/enumerators.h"
#include "cuminmoor/json_reader.h"

namespace cuminmoor::io {

namespace {

namespace po = boost::program_options;

constexpr std::int64_t max_traffic_threads{64};
constexpr std::int64_t ms_per_second{1'000};
constexpr std::int64_t max_hold_limit_ms{3'600'000};
constexpr std::int64_t max_keep_ended_s{604'800};
constexpr double thousandths_per_unit{1'000};
constexpr double max_core_share{1'024};
constexpr std::int64_t min_memory_mb{32};
constexpr std::int64_t min_descriptors{256};
/// Of memory in MiB, and of descriptors.
constexpr std::int64_t max_size{1'048'576};
constexpr std::size_t bytes_per_mb{1'048'576};
constexpr double max_link_mbit{1'000'000};

struct setting {
    const char* name;
    const char* default_value;
    const char* help;
};

/// Settings with a value. A setting whose default is empty is required.
constexpr std::array setting_list{
    setting{"vm", "", "name of this entry VM in the platform's VM list"},
    setting{"failure-domain", "", "failure domain of this entry VM"},
    setting{"http-address", "", "IP:PORT for callers and operators"},
    setting{"peer-address", "", "IP:PORT for datagrams between entry VMs"},
    setting{"platform", "", "IP:PORT of the platform: table, objects and VM list"},
    setting{"traffic-threads", "2", "threads that read and write HTTP, 1 to 64"},
    setting{"log-level", "info", "minimum level that is logged: info, warning or error"},
    setting{"scheduling", "domains",
            "domains: one scheduler per failure domain; central: one for all"},
    setting{"readiness-address", "", "central: IP:PORT where the load balancer checks readiness"},
    setting{"max-hold-ms", "10000", "central: longest run lease that a runner grants, in ms"},
    setting{"keep-ended-s", "120",
            "central: minimum time for which ended jobs can be queried, in s"},
    setting{"core-share", "1",
            "central: processor share of this VM in cores, fractions allowed, above 0 to 1024"},
    setting{"link-mbit", "1000", "central: bandwidth of this VM's link in Mbit/s, above 0"},
    setting{"attainable-first", "off",
            "central: on or off: start first what has begun, then what can be in time"},
    setting{"run-time-correction", "off",
            "central: on or off: correct estimated run times by the ends that were seen"},
    setting{"lookahead", "off",
            "central: on or off: keep room for the first large tasks that wait"},
    setting{"service-headroom", "off",
            "central: on or off: throttle leftover tasks before services miss their targets"},
    setting{"memory-mb", "256",
            "central: memory of this process in MiB, 32 to 1048576; clients may hold a quarter"},
    setting{"max-descriptors", "4096",
            "central: descriptors that this process may open, 256 to 1048576; clients may use half "
            "of them"},
};

const char* name_of(log_level level)
{
    switch (level) {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "";
}

std::string environment_name(const char* setting_name)
{
    return "CUMINMOOR_" + absl::AsciiStrToUpper(absl::StrReplaceAll(setting_name, {{"-", "_"}}));
}

po::options_description make_flag_descriptions()
{
    po::options_description flags{
        "cuminmoord: entry VM daemon. Flags override environment variables"};
    for (const setting& s : setting_list) {
        const std::string text = std::string{s.help} + " [" + environment_name(s.name) + "]";
        flags.add_options()(s.name, po::value<std::string>(), text.c_str());
    }
    flags.add_options()("check", "check the settings and exit")(
        "print-settings", "print the settings in effect and exit")(
        "version", "print the version and exit")("help", "print this help and exit");
    return flags;
}

/// Reads values from flags and environment variables and collects the errors.
class value_reader {
public:
    explicit value_reader(const po::variables_map& flags) : flags_{flags} {}

    void add_error(const std::string& text) { errors_ += (errors_.empty() ? "" : "\n") + text; }
    [[nodiscard]] const std::string& errors() const { return errors_; }

    std::string value(const setting& s)
    {
        if (flags_.count(s.name) > 0) {
            return flags_[s.name].as<std::string>();
        }
        // Not a race: settings are read before any thread is started.
        const char* const variable =
            std::getenv(environment_name(s.name).c_str()); // NOLINT(concurrency-mt-unsafe)
        return variable != nullptr ? variable : s.default_value;
    }

    std::string required(const setting& s)
    {
        std::string text = value(s);
        if (text.empty()) {
            add_error(std::string{"--"} + s.name + " is missing: " + s.help +
                      "; give the flag or " + environment_name(s.name));
        }
        return text;
    }

    std::string name(const setting& s)
    {
        std::string text = required(s);
        if (!is_name_or_empty(text)) {
            add_error(std::string{"--"} + s.name + ": \"" + text +
                      "\" is not a valid name; use printable characters except space and '/'");
        }
        return text;
    }

    ip_address address(const setting& s)
    {
        const std::string text = required(s);
        if (text.empty()) {
            return {};
        }
        auto parsed = parse_address(text);
        if (!parsed.ok()) {
            add_error(std::string{"--"} + s.name + ": " + std::string{parsed.status().message()});
        }
        return std::move(parsed).value_or(ip_address{});
    }

    std::size_t threads(const setting& s)
    {
        return static_cast<std::size_t>(number(s, max_traffic_threads));
    }

    /// \return a number from `least` to `limit`.
    std::int64_t number(const setting& s, std::int64_t limit, std::int64_t least = 1)
    {
        std::int64_t count{0};
        const std::string text = value(s);
        if (!absl::SimpleAtoi(text, &count) || count < least || count > limit) {
            add_error(std::string{"--"} + s.name + ": \"" + text + "\" must be " +
                      std::to_string(least) + " to " + std::to_string(limit));
        }
        return count;
    }

    /// \return a number above 0 and at most `limit`, in thousandths.
    std::int64_t thousandths(const setting& s, double limit)
    {
        double value_read{0};
        const std::string text = value(s);
        if (!absl::SimpleAtod(text, &value_read) || !(value_read > 0) || value_read > limit) {
            add_error(std::string{"--"} + s.name + ": \"" + text +
                      "\" must be above 0 and at most " +
                      std::to_string(static_cast<std::int64_t>(limit)));
            return 0;
        }
        return std::max<std::int64_t>(1, std::llround(value_read * thousandths_per_unit));
    }

    scheduling_mode scheduling(const setting& s)
    {
        const std::string text = value(s);
        if (text != "domains" && text != "central") {
            add_error(std::string{"--"} + s.name + ": \"" + text + "\" must be domains or central");
        }
        return text == "central" ? scheduling_mode::central : scheduling_mode::domains;
    }

    bool flag(const setting& s)
    {
        const std::string text = value(s);
        if (text != "on" && text != "off") {
            add_error(std::string{"--"} + s.name + ": \"" + text + "\" must be on or off");
        }
        return text == "on";
    }

    log_level level(const setting& s)
    {
        const std::string text = value(s);
        if (const auto found = find_enumerator<log_level>(text, name_of)) {
            return *found;
        }
        add_error(std::string{"--"} + s.name + ": \"" + text + "\" must be info, warning or error");
        return log_level::info;
    }

private:
    const po::variables_map& flags_;
    std::string errors_;
};

run_mode parse_run_mode(const po::variables_map& flags)
{
    if (flags.count("help") > 0) {
        return run_mode::help;
    }
    if (flags.count("version") > 0) {
        return run_mode::version;
    }
    if (flags.count("print-settings") > 0) {
        return run_mode::print_settings;
    }
    return flags.count("check") > 0 ? run_mode::check : run_mode::serve;
}

absl::StatusOr<settings> read_values(value_reader reader, run_mode mode)
{
    settings s;
    s.mode = mode;
    const auto& [vm, fd, http, peer, platform, threads, level, scheduling, readiness, max_hold,
                 keep_ended, core_share, link_mbit, attainable_first, correction, lookahead,
                 headroom, memory, descriptors] = setting_list;
    s.vm.value = reader.name(vm);
    s.failure_domain.value = reader.name(fd);
    s.http = reader.address(http);
    s.peer = reader.address(peer);
    const ip_address platform_address = reader.address(platform);
    s.platform = to_string(platform_address);
    s.traffic_threads = reader.threads(threads);
    s.min_log_level = reader.level(level);
    s.scheduling = reader.scheduling(scheduling);
    if (s.scheduling == scheduling_mode::central) {
        s.readiness = reader.address(readiness);
    }
    s.max_hold = {reader.number(max_hold, max_hold_limit_ms)};
    s.keep_ended = {reader.number(keep_ended, max_keep_ended_s) * ms_per_second};
    s.capacity.milli_cores = reader.thousandths(core_share, max_core_share);
    s.capacity.link_kbit_per_s = reader.thousandths(link_mbit, max_link_mbit);
    s.options.attainable_first = reader.flag(attainable_first);
    s.options.run_time_correction = reader.flag(correction);
    s.options.lookahead = reader.flag(lookahead);
    s.options.service_headroom = reader.flag(headroom);
    s.memory_bytes =
        static_cast<std::size_t>(reader.number(memory, max_size, min_memory_mb)) * bytes_per_mb;
    s.max_descriptors =
        static_cast<std::size_t>(reader.number(descriptors, max_size, min_descriptors));
    if (!reader.errors().empty()) {
        return absl::InvalidArgumentError(reader.errors());
    }
    return s;
}

} // namespace

absl::StatusOr<settings> parse_settings(const std::vector<std::string>& arguments)
{
    po::variables_map flags;
    std::vector<std::string> unknown;
    // The parser keeps a reference to it.
    const po::options_description known = make_flag_descriptions();
    try {
        const auto parsed =
            po::command_line_parser(arguments)
                .options(known)
                .style(po::command_line_style::unix_style & ~po::command_line_style::allow_guessing)
                .allow_unregistered()
                .run();
        po::store(parsed, flags);
        unknown = po::collect_unrecognized(parsed.options, po::include_positional);
    }
    catch (const po::error& e) {
        return absl::InvalidArgumentError(std::string{e.what()} + "; see --help");
    }
    value_reader reader{flags};
    for (const std::string& argument : unknown) {
        reader.add_error("\"" + argument + "\" is not a known setting; see --help");
    }
    const run_mode mode = parse_run_mode(flags);
    if (mode == run_mode::help || mode == run_mode::version) {
        settings s;
        s.mode = mode;
        return s;
    }
    return read_values(std::move(reader), mode);
}

std::string format_settings(const settings& s)
{
    const auto on_or_off = [](bool is_on) { return is_on ? "on" : "off"; };
    std::ostringstream out;
    out << "vm=" << s.vm.value << "\nfailure-domain=" << s.failure_domain.value
        << "\nhttp-address=" << to_string(s.http) << "\npeer-address=" << to_string(s.peer)
        << "\nplatform=" << s.platform << "\ntraffic-threads=" << s.traffic_threads
        << "\nlog-level=" << name_of(s.min_log_level) << "\n";
    if (s.scheduling == scheduling_mode::central) {
        out << "scheduling=central\nreadiness-address=" << to_string(s.readiness)
            << "\nmax-hold-ms=" << s.max_hold.count
            << "\nkeep-ended-s=" << s.keep_ended.count / ms_per_second
            << "\ncore-share=" << static_cast<double>(s.capacity.milli_cores) / thousandths_per_unit
            << "\nlink-mbit="
            << static_cast<double>(s.capacity.link_kbit_per_s) / thousandths_per_unit
            << "\nattainable-first=" << on_or_off(s.options.attainable_first)
            << "\nrun-time-correction=" << on_or_off(s.options.run_time_correction)
            << "\nlookahead=" << on_or_off(s.options.lookahead)
            << "\nservice-headroom=" << on_or_off(s.options.service_headroom)
            << "\nmemory-mb=" << s.memory_bytes / bytes_per_mb
            << "\nmax-descriptors=" << s.max_descriptors << "\n";
    }
    return out.str();
}

std::string settings_help()
{
    std::ostringstream out;
    out << make_flag_descriptions();
    return out.str();
}

} // namespace cuminmoor::io
