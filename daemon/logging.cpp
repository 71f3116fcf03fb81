/// \file
/// Formats key=value lines and writes them with glog.
#include "logging.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "characters.h"

namespace cuminmoor::io {

namespace {

log_identity& identity()
{
    static log_identity value;
    return value;
}

bool needs_quotes(const std::string& value)
{
    return value.empty() || value.find_first_of(" \"=\\") != std::string::npos ||
           std::any_of(value.begin(), value.end(), is_control);
}

std::string quote(const std::string& value)
{
    std::string out{'"'};
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
        }
        out += is_control(c) ? ' ' : c;
    }
    out += '"';
    return out;
}

std::string format_line(const std::string& event, std::vector<log_field> fields)
{
    fields.insert(fields.begin(), {{"vm", identity().vm}, {"fd", identity().failure_domain}});
    return format_event(event, fields);
}

} // namespace

void start_logging(const char* program, log_level min_level)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = static_cast<int>(min_level);
    google::InitGoogleLogging(program);
}

std::string format_event(const std::string& name, const std::vector<log_field>& fields)
{
    std::string text = "event=" + name;
    for (const log_field& f : fields) {
        text += " " + f.name + "=" + (needs_quotes(f.value) ? quote(f.value) : f.value);
    }
    return text;
}

void set_log_identity(log_identity value)
{
    identity() = std::move(value);
}

void log_info(const std::string& event, std::vector<log_field> fields)
{
    LOG(INFO) << format_line(event, std::move(fields));
}

void log_warning(const std::string& event, std::vector<log_field> fields)
{
    LOG(WARNING) << format_line(event, std::move(fields));
}

void log_error(const std::string& event, std::vector<log_field> fields)
{
    LOG(ERROR) << format_line(event, std::move(fields));
}

} // namespace cuminmoor::io
