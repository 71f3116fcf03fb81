/// \file
/// Ports of a soak: takes the place of the stand-ins' `free_port`, whose ranges of two processes
/// with neighbouring ids overlap. Each process has a block of its own and holds it while it lives.
#include <cstdint>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

/// Above the ports of the review's cases and below those of outgoing connections.
constexpr std::uint16_t first_port{28'000};
constexpr std::uint16_t last_port{32'767};
/// Most ports that one soak takes.
constexpr std::uint16_t block_size{300};

/// \return a socket that listens at the loopback port, or -1 when the port is taken.
int listen_at(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto* const address = static_cast<const sockaddr*>(static_cast<const void*>(&at));
    if (bind(fd, address, sizeof at) == 0 && listen(fd, 1) == 0) {
        return fd;
    }
    close(fd);
    return -1;
}

/// Listens at the first port of a free block until the process ends: the block's mark.
/// \return that port.
std::uint16_t claim_block()
{
    for (unsigned port{first_port}; port + block_size <= last_port; port += block_size) {
        if (listen_at(static_cast<std::uint16_t>(port)) >= 0) {
            return static_cast<std::uint16_t>(port);
        }
    }
    std::abort();
}

} // namespace

namespace review {

std::uint16_t free_port()
{
    static const std::uint16_t block{claim_block()};
    static std::uint16_t taken{0};
    for (unsigned tries{0}; tries < block_size; ++tries) {
        taken = static_cast<std::uint16_t>(taken % (block_size - 1) + 1);
        const auto port = static_cast<std::uint16_t>(block + taken);
        const int fd = listen_at(port);
        if (fd >= 0) {
            close(fd);
            return port;
        }
    }
    std::abort();
}

} // namespace review
