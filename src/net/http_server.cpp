// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/http_server.hpp"

#include "pepperturn/base/process_limits.hpp"
#include "pepperturn/net/http_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <glog/logging.h>
#include <set>
#include <thread>

namespace pepperturn {

namespace {

constexpr milliseconds accept_retry{100};

/// Reads the certificate and the key of the options.
/// \returns false with \p reason set if they cannot be used
bool open_tls(detail::http_core& core, std::string& reason)
{
    const auto& options = core.m_options;
    if (options.m_certificate.empty())
        return true;
    auto& tls = core.m_tls.emplace(asio::ssl::context::tls_server);
    error_code ec;
    tls.set_options(
        asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
            asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
            asio::ssl::context::no_tlsv1_1,
        ec);
    if (!ec)
        tls.use_certificate_chain_file(options.m_certificate, ec);
    if (!ec)
        tls.use_private_key_file(options.m_key, asio::ssl::context::pem, ec);
    if (ec)
        reason = options.m_certificate + ": " + ec.message();
    return !ec;
}

/// Half of the descriptors, so that the rest of the process has its own.
std::size_t default_connections()
{
    return descriptor_limit(0) / 2;
}

class server final : public http_server
{
public:
    server(http_server_options options, http_handler handler)
        : m_core(std::make_shared<detail::http_core>(std::move(options))),
          m_handler(std::move(handler)), m_workers(m_core->m_options.m_threads),
          m_acceptor(m_core->m_io)
    {
        m_core->m_handle = [this](http_call call,
                                  std::shared_ptr<http_responder> out) {
            asio::post(m_workers,
                       [this, call = std::move(call), out = std::move(out)] {
                           m_handler(call, out);
                       });
        };
    }

    ~server() override
    {
        close();
        m_workers.join();
        m_core->m_stopped = true;
        m_core->m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// \returns false with \p reason set if the port could not be opened
    bool open(std::string& reason)
    {
        const auto& options = m_core->m_options;
        error_code ec;
        const auto endpoint = parse_endpoint(
            options.m_host + ":" + std::to_string(options.m_port), ec);
        if (ec)
        {
            reason = options.m_host + ": " + ec.message();
            return false;
        }
        if (!open_tls(*m_core, reason) ||
            !open_listener(m_acceptor, endpoint, reason))
            return false;
        m_port = m_acceptor.local_endpoint().port();
        spawn(m_core->m_io, "http_server.accept", accept_clients());
        m_thread = std::thread([core = m_core] {
            const auto work = asio::make_work_guard(core->m_io);
            core->m_io.run();
        });
        return true;
    }

    [[nodiscard]] std::uint32_t port() const override
    {
        return m_port;
    }

    void close() override
    {
        if (m_closed.exchange(true) || !m_thread.joinable())
            return;
        asio::post(m_core->m_io, [this] {
            m_core->m_closing = true;
            error_code ignored;
            m_acceptor.close(ignored);
            const auto open = m_connections;
            for (const auto& each : open)
                each->close_if_idle();
        });
    }

private:
    using connection_ptr = std::shared_ptr<detail::http_connection>;

    task<> accept_clients()
    {
        while (m_acceptor.is_open())
        {
            error_code ec;
            auto socket = co_await m_acceptor.async_accept(into(ec));
            if (ec == asio::error::operation_aborted)
                co_return;
            if (ec)
            {
                LOG(WARNING)
                    << "event=accept_failed reason=\"" << ec.message() << '"';
                co_await sleep_for(m_core->m_io, accept_retry);
                continue;
            }
            auto slot = m_core->m_table.admit({});
            // Closed unread: its client may send the request elsewhere.
            if (!slot)
                continue;
            auto connection = std::make_shared<detail::http_connection>(
                m_core, std::move(slot), std::move(socket));
            m_connections.insert(connection);
            spawn(m_core->m_io, "http_server.serve", serve(connection));
        }
    }

    task<> serve(connection_ptr connection)
    {
        co_await connection->serve();
        m_connections.erase(connection);
    }

    const std::shared_ptr<detail::http_core> m_core;
    const http_handler m_handler;
    /// Handlers may wait for the process's other threads.
    asio::thread_pool m_workers;
    tcp::acceptor m_acceptor;
    /// The thread of all connections.
    std::thread m_thread;
    std::set<connection_ptr> m_connections;
    std::uint32_t m_port = 0;
    std::atomic<bool> m_closed{false};
};

} // namespace

std::unique_ptr<http_server>
open_http_server(const http_server_options& options,
                 const http_handler& handler, std::string& reason)
{
    auto chosen = options;
    if (chosen.m_max_connections == 0)
        chosen.m_max_connections = default_connections();
    auto out = std::make_unique<server>(std::move(chosen), handler);
    if (!out->open(reason))
        return nullptr;
    return out;
}

} // namespace pepperturn
