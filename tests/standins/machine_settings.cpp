/// \file
/// Parsing of the shared flags, and the life of a listed stand-in.
#include "machine_settings.h"

#include <iostream>

#include "registration.h"

namespace standin {

namespace po = boost::program_options;

void add_machine_options(po::options_description& flags)
{
    auto add = flags.add_options();
    add("http", po::value<std::string>()->default_value(""), "address of the first machine");
    add("count", po::value<std::uint16_t>()->default_value(1), "machines, one port each");
    add("prefix", po::value<std::string>()->default_value("m"), "machine n is called prefix + n");
    add("first-number", po::value<unsigned>()->default_value(1), "number of the first machine");
    add("failure-domain", po::value<std::string>()->default_value(""), "their failure domain");
    add("platform", po::value<std::string>()->default_value(""), "platform to register with");
}

absl::StatusOr<machine_settings> parse_machine_settings(const po::variables_map& values)
{
    const auto first = parse_endpoint(values["http"].as<std::string>());
    if (!first.ok()) {
        return absl::InvalidArgumentError("--http: " + std::string{first.status().message()});
    }
    return machine_settings{*first,
                            values["count"].as<std::uint16_t>(),
                            values["prefix"].as<std::string>(),
                            values["first-number"].as<unsigned>(),
                            values["failure-domain"].as<std::string>(),
                            values["platform"].as<std::string>()};
}

absl::StatusOr<po::variables_map> parse_flags(int argc, char** argv,
                                              const po::options_description& flags)
{
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    }
    catch (const po::error& e) {
        return absl::InvalidArgumentError(e.what());
    }
    return values;
}

std::string machine_name(const machine_settings& settings, unsigned index)
{
    return settings.prefix + std::to_string(settings.first_number + index);
}

std::vector<std::string> machine_names(const machine_settings& settings)
{
    std::vector<std::string> names;
    for (unsigned i = 0; i < settings.count; ++i) {
        names.push_back(machine_name(settings, i));
    }
    return names;
}

json list_entries(const machine_settings& settings, const std::string& role,
                  const std::string& service)
{
    auto entries = json::array();
    for (std::uint16_t i = 0; i < settings.count; ++i) {
        entries.push_back({{"id", machine_name(settings, i)},
                           {"role", role},
                           {"phase", "live"},
                           {"failure_domain", settings.failure_domain},
                           {"http", to_string(offset_by(settings.first, i))},
                           {"peer", ""},
                           {"service", service}});
    }
    return entries;
}

int run_listed(http_host& host, const machine_settings& settings, const std::string& role,
               const std::string& service)
{
    const bool listed = !settings.platform.empty();
    host.when_ready([&] {
        if (listed) {
            register_vms(settings.platform, list_entries(settings, role, service));
        }
        std::cout << "event=ready http=" << to_string(settings.first) << " count=" << settings.count
                  << std::endl;
    });
    const int result = host.run();
    if (listed && result == 0) {
        remove_vms(settings.platform, machine_names(settings));
    }
    return result;
}

} // namespace standin
