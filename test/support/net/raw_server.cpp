// SPDX-License-Identifier: BSL-1.0
#include "support/net/raw_server.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace pepperturn::test {

namespace {

constexpr int waiting_connections = 256;
constexpr timeval most_silence{5, 0};
/// Lets the peer read what was sent before it reads of the reset.
constexpr std::chrono::milliseconds before_reset{50};

sockaddr_in loopback(std::uint32_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

void limit_silence(int connection)
{
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &most_silence,
                 sizeof(most_silence));
}

/// Appends what comes next; false at the end of the connection.
bool read_some(int connection, std::string& out)
{
    std::array<char, 4096> piece{};
    const auto size = ::recv(connection, piece.data(), piece.size(), 0);
    if (size <= 0)
        return false;
    out.append(piece.data(), static_cast<std::size_t>(size));
    return true;
}

bool send_all(int connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto size = ::send(connection, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::size_t length_of(const std::string& head)
{
    constexpr const char* name = "Content-Length:";
    const auto at = head.find(name);
    if (at == std::string::npos)
        return 0;
    return std::stoul(head.substr(at + std::string(name).size()));
}

/// \returns empty if the connection ended before a whole request
std::string read_request(int connection)
{
    constexpr const char* head_end = "\r\n\r\n";
    std::string got;
    while (got.find(head_end) == std::string::npos)
    {
        if (!read_some(connection, got))
            return {};
    }
    const auto body = got.find(head_end) + std::string(head_end).size();
    const auto whole = body + length_of(got.substr(0, body));
    while (got.size() < whole)
    {
        if (!read_some(connection, got))
            return {};
    }
    return got;
}

} // namespace

raw_server::raw_server(std::string bytes, closing how)
    : raw_server(
          [bytes = std::move(bytes)](const std::string&) { return bytes; }, how)
{}

raw_server::raw_server(responder respond, closing how)
    : m_respond(std::move(respond)), m_how(how),
      m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(m_listener, generic, size) != 0 ||
        ::listen(m_listener, waiting_connections) != 0 ||
        ::getsockname(m_listener, generic, &size) != 0)
        throw std::runtime_error("no port for a raw server");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { serve(); });
}

raw_server::~raw_server()
{
    // Wakes the thread from accept().
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
}

std::string raw_server::url() const
{
    return "http://127.0.0.1:" + std::to_string(m_port);
}

void raw_server::serve()
{
    for (;;)
    {
        const int connection =
            ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        limit_silence(connection);
        const auto request = read_request(connection);
        if (!request.empty())
        {
            ++m_requests;
            answer(connection, request);
        }
        ::close(connection);
    }
}

void raw_server::answer(int connection, const std::string& request) const
{
    if (!send_all(connection, m_respond(request)) || m_how == closing::fin)
        return;
    std::this_thread::sleep_for(before_reset);
    const linger at_once{1, 0};
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

std::string ask_raw(std::uint32_t port, const std::string& request,
                    const std::string& last)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    std::string got;
    limit_silence(connection);
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0 &&
        send_all(connection, request))
    {
        while (!got.ends_with(last) && read_some(connection, got))
            continue;
    }
    ::close(connection);
    return got;
}

bool is_ended_by_server(std::uint32_t port, const std::string& request)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    limit_silence(connection);
    bool ended = false;
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0 &&
        send_all(connection, request))
    {
        std::array<char, 1024> bytes{};
        ssize_t count = 1;
        while (count > 0)
            count = ::recv(connection, bytes.data(), bytes.size(), 0);
        ended = count == 0;
    }
    ::close(connection);
    return ended;
}

} // namespace pepperturn::test
