// SPDX-License-Identifier: BSL-1.0
#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using steady = std::chrono::steady_clock;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

std::string trim(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

connection::~connection()
{
    close(m_socket);
}

std::unique_ptr<connection> connection::open(const std::string& ip, int port,
                                             int timeout_ms)
{
    const int handle =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto at = address_of(ip, port);
    if (connect(handle, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
            0 &&
        errno != EINPROGRESS)
    {
        close(handle);
        return nullptr;
    }
    pollfd wait{handle, POLLOUT, 0};
    int error = 1;
    socklen_t size = sizeof error;
    if (poll(&wait, 1, timeout_ms) == 1)
        getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
    {
        close(handle);
        return nullptr;
    }
    fcntl(handle, F_SETFL, fcntl(handle, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(handle);
}

bool connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = send(m_socket, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(int timeout_ms)
{
    pollfd wait{m_socket, POLLIN, 0};
    if (poll(&wait, 1, timeout_ms) != 1)
        return false;
    char bytes[16384];
    const auto count = recv(m_socket, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

void connection::reset()
{
    const linger option{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void connection::shut_down()
{
    shutdown(m_socket, SHUT_RDWR);
}

std::optional<message> connection::read(bool is_request, int timeout_ms)
{
    const auto until = steady::now() + std::chrono::milliseconds(timeout_ms);
    const auto left = [&] {
        return static_cast<int>(std::max<std::int64_t>(
            0, std::chrono::duration_cast<std::chrono::milliseconds>(
                   until - steady::now())
                   .count()));
    };
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill(left()))
            return std::nullopt;
    }
    message out;
    std::stringstream lines(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    std::stringstream first(line);
    if (is_request)
        first >> out.m_method >> out.m_target;
    else
    {
        std::string version;
        first >> version >> out.m_status;
    }
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            out.m_headers[lower(line.substr(0, colon))] =
                trim(line.substr(colon + 1));
    }
    const auto take = [&](std::size_t count) {
        while (m_buffer.size() < count)
        {
            if (!fill(left()))
            {
                out.m_body += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        out.m_body += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    };
    if (lower(out.m_headers["transfer-encoding"]) == "chunked")
    {
        while (true)
        {
            std::size_t at = 0;
            while ((at = m_buffer.find("\r\n")) == std::string::npos)
            {
                if (!fill(left()))
                    return out;
            }
            const auto size =
                std::strtoul(m_buffer.substr(0, at).c_str(), nullptr, 16);
            m_buffer.erase(0, at + 2);
            if (!take(size))
                return out;
            while (m_buffer.size() < 2)
            {
                if (!fill(left()))
                    return out;
            }
            m_buffer.erase(0, 2);
            if (size == 0)
                break;
        }
    }
    else if (out.m_headers.contains("content-length"))
    {
        if (!take(std::strtoul(out.m_headers["content-length"].c_str(), nullptr,
                               10)))
            return out;
    }
    out.m_whole = true;
    return out;
}

server::server(const std::string& ip, int port,
               std::function<void(connection&)> serve_connection)
    : m_serve(std::move(serve_connection))
{
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = address_of(ip, port);
    if (bind(m_socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
            0 ||
        listen(m_socket, 256) != 0)
    {
        close(m_socket);
        m_socket = -1;
        return;
    }
    m_thread = std::thread([this] { accept_loop(); });
}

server::~server()
{
    stop();
}

void server::accept_loop()
{
    while (!m_stopping)
    {
        pollfd wait{m_socket, POLLIN, 0};
        if (poll(&wait, 1, 50) != 1)
            continue;
        const int handle = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0)
            continue;
        const int on = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto peer = std::make_shared<connection>(handle);
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(peer);
        }
        ++m_active;
        std::thread([this, peer] {
            m_serve(*peer);
            {
                const std::lock_guard lock(m_mutex);
                m_open.erase(peer);
            }
            --m_active;
        }).detach();
    }
}

void server::stop()
{
    if (m_socket < 0)
        return;
    m_stopping = true;
    m_thread.join();
    close(m_socket);
    m_socket = -1;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& peer : m_open)
            peer->shut_down();
    }
    while (m_active > 0)
        pause_ms(5);
}

} // namespace review
