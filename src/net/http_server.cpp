// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/http_server.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <netinet/in.h>
#include <pplx/threadpool.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperturn {

namespace {

namespace rest = web::http;
using rest::experimental::listener::http_listener;
using rest::experimental::listener::http_listener_config;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// cpprestsdk does not tell which port the kernel chose, so a port that was
/// free a moment ago is asked for by number.
std::uint32_t find_free_port(const std::string& host)
{
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket_fd < 0)
        return 0;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    std::uint32_t port = 0;
    if (::bind(socket_fd, generic, size) == 0 &&
        ::getsockname(socket_fd, generic, &size) == 0)
        port = ntohs(address.sin_port);
    ::close(socket_fd);
    return port;
}

class responder final : public http_responder
{
public:
    responder(const rest::http_request& request, std::uint64_t max_unread)
        : m_request(request), m_max_unread(max_unread)
    {}

    ~responder() override
    {
        break_off();
    }

    void reply(int status, const http_headers& headers,
               const std::string& body) override
    {
        if (m_begun.exchange(true))
            return;
        auto response = make_response(status, headers);
        response.set_body(body, content_type_of(headers));
        watch(m_request.reply(response));
    }

    void begin(int status, const http_headers& headers) override
    {
        if (m_begun.exchange(true))
            return;
        auto response = make_response(status, headers);
        response.headers().set_content_type(content_type_of(headers));
        response.set_body(m_buffer.create_istream());
        m_streaming = true;
        watch(m_request.reply(response));
    }

    bool write(const std::string& data) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streaming || m_ended || m_left_out || *m_gone)
            return false;
        if (m_buffer.in_avail() > m_max_unread)
        {
            m_left_out = true;
            return false;
        }
        // Both act before they return; only their tasks' continuations need a
        // pool thread, so waiting here could block on a pool that is waiting
        // for the caller's lock.
        m_buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(data.data()),
                             data.size());
        m_buffer.sync();
        return true;
    }

    void end() override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streaming || m_ended)
            return;
        if (m_left_out)
        {
            close_broken();
            return;
        }
        m_ended = true;
        m_buffer.close(std::ios_base::out);
    }

    void break_off() override
    {
        const std::lock_guard lock(m_mutex);
        if (m_streaming && !m_ended)
            close_broken();
    }

private:
    static std::string content_type_of(const http_headers& headers)
    {
        for (const auto& [name, value] : headers)
        {
            if (lower(name) == "content-type")
                return value;
        }
        return "application/json";
    }

    static rest::http_response make_response(int status,
                                             const http_headers& headers)
    {
        rest::http_response response(static_cast<rest::status_code>(status));
        for (const auto& [name, value] : headers)
        {
            if (lower(name) != "content-type")
                response.headers().add(name, value);
        }
        return response;
    }

    /// The listener sends what the buffer holds, reads the exception in place
    /// of an end, and closes the connection without the last chunk.
    void close_broken()
    {
        m_ended = true;
        m_buffer.close(std::ios_base::out,
                       std::make_exception_ptr(
                           rest::http_exception("the answer was broken off")));
    }

    void watch(const pplx::task<void>& sent)
    {
        sent.then([gone = m_gone](const pplx::task<void>& finished) {
            try
            {
                finished.get();
            }
            catch (const std::exception&)
            {
                *gone = true;
            }
        });
    }

    rest::http_request m_request;
    const std::uint64_t m_max_unread;
    std::mutex m_mutex;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> m_buffer;
    std::atomic<bool> m_begun{false};
    std::atomic<bool> m_streaming{false};
    bool m_ended = false;
    /// A piece was not taken, so what was sent is not the whole answer.
    bool m_left_out = false;
    std::shared_ptr<std::atomic<bool>> m_gone =
        std::make_shared<std::atomic<bool>>(false);
};

/// An error that needs no handler: too large, no length.
void refuse(const rest::http_request& request, rest::status_code status,
            const std::string& what)
{
    rest::http_response response(status);
    response.headers().add("Pepperturn-Outcome", "not_run");
    response.set_body("{\"error\":{\"message\":\"" + what +
                          "\",\"type\":\"invalid_request\"}}",
                      "application/json");
    request.reply(response).then([](const pplx::task<void>& sent) {
        try
        {
            sent.get();
        }
        catch (const std::exception&)
        {
            return;
        }
    });
}

class server final : public http_server
{
public:
    server(const http_server_options& options, http_handler handler,
           std::uint32_t port)
        : m_options(options), m_handler(std::move(handler)), m_port(port),
          m_listener(make_url(options, port), make_config(options))
    {
        m_listener.support(
            [this](const rest::http_request& request) { take(request); });
        m_listener.open().wait();
    }

    ~server() override
    {
        close();
    }

    [[nodiscard]] std::uint32_t port() const override
    {
        return m_port;
    }

    void close() override
    {
        if (m_closed.exchange(true))
            return;
        try
        {
            m_listener.close().wait();
        }
        catch (const std::exception&)
        {
            return;
        }
    }

private:
    static std::string make_url(const http_server_options& options,
                                std::uint32_t port)
    {
        const char* scheme =
            options.m_certificate.empty() ? "http://" : "https://";
        return scheme + options.m_host + ":" + std::to_string(port);
    }

    static http_listener_config make_config(const http_server_options& options)
    {
        http_listener_config config;
        if (options.m_certificate.empty())
            return config;
        config.set_ssl_context_callback(
            [options](boost::asio::ssl::context& context) {
                context.set_options(
                    boost::asio::ssl::context::default_workarounds |
                    boost::asio::ssl::context::no_sslv2 |
                    boost::asio::ssl::context::no_sslv3 |
                    boost::asio::ssl::context::no_tlsv1 |
                    boost::asio::ssl::context::no_tlsv1_1);
                context.use_certificate_chain_file(options.m_certificate);
                context.use_private_key_file(options.m_key,
                                             boost::asio::ssl::context::pem);
            });
        return config;
    }

    void take(const rest::http_request& request)
    {
        auto call = std::make_shared<http_call>();
        std::uint64_t header_bytes = 0;
        for (const auto& [name, value] : request.headers())
        {
            header_bytes += name.size() + value.size();
            call->m_headers[lower(name)] = value;
        }
        if (header_bytes > m_options.m_max_header_bytes)
        {
            refuse(request, rest::status_codes::RequestEntityTooLarge,
                   "headers are too large");
            return;
        }
        call->m_method = request.method();
        const auto uri = request.relative_uri();
        call->m_path = web::uri::decode(uri.path());
        for (const auto& [name, value] : web::uri::split_query(uri.query()))
            call->m_query[name] = web::uri::decode(value);
        take_body(request, call);
    }

    void take_body(const rest::http_request& request,
                   const std::shared_ptr<http_call>& call)
    {
        // A body without a length cannot be bounded before it is read.
        if (call->m_headers.contains("transfer-encoding"))
        {
            refuse(request, rest::status_codes::LengthRequired,
                   "Content-Length is required");
            return;
        }
        if (request.headers().content_length() > m_options.m_max_body_bytes)
        {
            refuse(request, rest::status_codes::RequestEntityTooLarge,
                   "the body is over the limit of " +
                       std::to_string(m_options.m_max_body_bytes) + " bytes");
            return;
        }
        auto answer =
            std::make_shared<responder>(request, m_options.m_max_unread_bytes);
        request.extract_vector().then(
            [this, call,
             answer](const pplx::task<std::vector<unsigned char>>& read) {
                try
                {
                    const auto bytes = read.get();
                    call->m_body.assign(bytes.begin(), bytes.end());
                }
                catch (const std::exception&)
                {
                    return;
                }
                m_handler(*call, answer);
            });
    }

    http_server_options m_options;
    http_handler m_handler;
    std::uint32_t m_port;
    std::atomic<bool> m_closed{false};
    http_listener m_listener;
};

} // namespace

std::unique_ptr<http_server>
open_http_server(const http_server_options& options,
                 const http_handler& handler, std::string& reason)
{
    constexpr int tries = 20;
    for (int i = 0; i < tries; ++i)
    {
        const auto port = options.m_port != 0 ? options.m_port
                                              : find_free_port(options.m_host);
        try
        {
            return std::make_unique<server>(options, handler, port);
        }
        catch (const std::exception& error)
        {
            reason = options.m_host + ":" + std::to_string(port) + ": " +
                     error.what();
        }
        if (options.m_port != 0)
            break;
    }
    return nullptr;
}

void start_http_threads(unsigned count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

} // namespace pepperturn
