/// \file
/// Peer messages in cereal's portable binary form, after a magic and a version byte.
///
/// cereal throws on short input and trusts the lengths that it reads; both end here. Lengths are
/// checked against the size of a datagram before anything is allocated.
#include "peer_codec.h"

#include <exception>
#include <sstream>
#include <stdexcept>

#include <cereal/archives/portable_binary.hpp>

#include "cuminmoor/configuration.h"
#include "cuminmoor/json_reader.h"
#include "io_limits.h"

namespace cuminmoor::io {

namespace {

constexpr std::string_view magic{"CMr"};
constexpr char version{2};
constexpr std::size_t head_bytes{magic.size() + 1};

using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

void write(writer& out, const std::string& text)
{
    out(static_cast<std::uint16_t>(text.size()));
    out(cereal::binary_data(text.data(), text.size()));
}

void read(reader& in, std::string& text)
{
    std::uint16_t size{0};
    in(size);
    if (size > max_datagram_bytes) {
        throw std::length_error{"text longer than a datagram"};
    }
    text.resize(size);
    in(cereal::binary_data(text.data(), text.size()));
}

/// Names from outside go into keys and logs.
void read_name(reader& in, std::string& name)
{
    read(in, name);
    if (!is_name_or_empty(name)) {
        throw std::invalid_argument{"not a name"};
    }
}

void write(writer& out, const vm_id& id)
{
    write(out, id.value);
}

void read(reader& in, vm_id& id)
{
    read_name(in, id.value);
}

void write(writer& out, const versioned_change& c)
{
    out(c.version.value);
    write(out, dump_json(change_to_json(c.change)));
}

void read(reader& in, versioned_change& c)
{
    in(c.version.value);
    std::string text;
    read(in, text);
    const auto json = parse_json(text, "change");
    auto change = json.ok() ? change_from_json(*json) : json.status();
    if (!change.ok()) {
        throw std::invalid_argument{std::string{change.status().message()}};
    }
    c.change = *std::move(change);
}

template <typename T>
void write_list(writer& out, const std::vector<T>& items)
{
    out(static_cast<std::uint16_t>(items.size()));
    for (const T& item : items) {
        write(out, item);
    }
}

template <typename T>
void read_list(reader& in, std::vector<T>& items)
{
    std::uint16_t size{0};
    in(size);
    if (size > max_datagram_bytes) {
        throw std::length_error{"list longer than a datagram"};
    }
    for (std::uint16_t i = 0; i < size; ++i) {
        read(in, items.emplace_back());
    }
}

void write(writer& out, const peer_heartbeat& m)
{
    write(out, m.from);
    write(out, m.failure_domain.value);
    out(m.incarnation, m.sequence, static_cast<std::uint8_t>(m.leaving), m.version.value,
        m.confirmed_age.count);
    write_list(out, m.leaving_vms);
    out(m.waiting_requests);
    write(out, m.lease_holder);
    out(m.epoch.value, static_cast<std::uint8_t>(m.is_holder), m.assigned_tasks, m.waiting_tasks);
}

void read(reader& in, peer_heartbeat& m)
{
    read(in, m.from);
    read_name(in, m.failure_domain.value);
    std::uint8_t leaving{0};
    in(m.incarnation, m.sequence, leaving, m.version.value, m.confirmed_age.count);
    m.leaving = leaving != 0;
    read_list(in, m.leaving_vms);
    in(m.waiting_requests);
    read(in, m.lease_holder);
    std::uint8_t is_holder{0};
    in(m.epoch.value, is_holder, m.assigned_tasks, m.waiting_tasks);
    m.is_holder = is_holder != 0;
}

void write(writer& out, const peer_changes& m)
{
    write(out, m.from);
    write_list(out, m.changes);
}

void read(reader& in, peer_changes& m)
{
    read(in, m.from);
    read_list(in, m.changes);
}

void write(writer& out, const peer_inbox_hint& m)
{
    write(out, m.from);
    write(out, m.failure_domain.value);
}

void read(reader& in, peer_inbox_hint& m)
{
    read(in, m.from);
    read_name(in, m.failure_domain.value);
}

template <typename T>
peer_message read_message(reader& in)
{
    T message;
    read(in, message);
    return message;
}

peer_message read_any(reader& in)
{
    std::uint8_t kind{0};
    in(kind);
    switch (kind) {
    case 0:
        return read_message<peer_heartbeat>(in);
    case 1:
        return read_message<peer_changes>(in);
    case 2:
        return read_message<peer_inbox_hint>(in);
    default:
        throw std::invalid_argument{"unknown kind of message"};
    }
}

} // namespace

absl::StatusOr<std::string> encode_datagram(const peer_message& message)
{
    std::ostringstream out;
    out << magic << version;
    {
        writer archive{out};
        archive(static_cast<std::uint8_t>(message.index()));
        std::visit([&archive](const auto& m) { write(archive, m); }, message);
    }
    std::string bytes = out.str();
    if (bytes.size() > max_datagram_bytes) {
        return absl::ResourceExhaustedError("datagram of " + std::to_string(bytes.size()) +
                                            " bytes is too large");
    }
    return bytes;
}

absl::StatusOr<peer_message> decode_datagram(std::string_view bytes)
{
    if (bytes.size() > max_datagram_bytes || bytes.size() < head_bytes ||
        bytes.substr(0, magic.size()) != magic || bytes[magic.size()] != version) {
        return absl::InvalidArgumentError("not a datagram of this version");
    }
    try {
        std::istringstream in{std::string{bytes.substr(head_bytes)}};
        reader archive{in};
        peer_message message = read_any(archive);
        if (in.peek() != std::istringstream::traits_type::eof()) {
            return absl::InvalidArgumentError("bytes after the message");
        }
        return message;
    }
    catch (const std::exception& e) {
        return absl::InvalidArgumentError(e.what());
    }
}

} // namespace cuminmoor::io
