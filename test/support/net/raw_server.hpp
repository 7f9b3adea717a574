// SPDX-License-Identifier: BSL-1.0
/// \file
/// Peers over real sockets that say exactly which bytes go over the wire and
/// how the connection ends.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace pepperturn::test {

enum class closing : std::uint8_t
{
    /// The peer reads an end of file.
    fin,
    /// The peer reads an error.
    reset
};

/// Answers every request with given bytes, then closes its connection.
class raw_server
{
public:
    /// The answer to a request, byte by byte.
    using responder = std::function<std::string(const std::string& request)>;

    explicit raw_server(std::string bytes, closing how = closing::fin);
    explicit raw_server(responder respond, closing how = closing::fin);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] std::string url() const;
    [[nodiscard]] std::uint32_t port() const
    {
        return m_port;
    }
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }

private:
    void serve();
    void answer(int connection, const std::string& request) const;

    responder m_respond;
    closing m_how;
    int m_listener = -1;
    std::uint32_t m_port = 0;
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

/// Sends \p request to a port of this host.
/// \returns what came until the connection ended or \p last came
[[nodiscard]] std::string ask_raw(std::uint32_t port,
                                  const std::string& request,
                                  const std::string& last);

/// Whether the server closes the connection after \p request, rather than
/// leaving its client to wait.
[[nodiscard]] bool is_ended_by_server(std::uint32_t port,
                                      const std::string& request);

} // namespace pepperturn::test
