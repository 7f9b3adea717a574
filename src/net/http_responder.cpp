// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/http_connection.hpp"

#include "pepperturn/http/response_head.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <cpprest/base_uri.h>

namespace pepperturn::detail {

namespace {

constexpr int internal_error = 500;

std::string head_text(int status, const http_headers& headers, bool keep_alive)
{
    std::string out;
    append_status_line(out, status);
    bool typed = false;
    for (const auto& [name, value] : headers)
    {
        typed = typed || boost::algorithm::iequals(name, "content-type");
        append_field(out, name, value);
    }
    if (!typed)
        out += "Content-Type: application/json\r\n";
    if (!keep_alive)
        out += "Connection: close\r\n";
    return out;
}

/// Passes an answer on to its connection's thread.
class connection_responder final : public http_responder
{
public:
    connection_responder(std::shared_ptr<http_core> core,
                         std::shared_ptr<http_connection> connection,
                         std::uint64_t number, bool keep_alive, bool chunked)
        : m_core(std::move(core)), m_connection(std::move(connection)),
          m_number(number), m_keep_alive(keep_alive), m_chunked(chunked)
    {}

    ~connection_responder() override
    {
        // Nobody has answered, and nobody will.
        if (!m_begun)
            reply(internal_error, {}, "{}");
        break_off();
    }

    void reply(int status, const http_headers& headers,
               const std::string& body) override
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_begun, true))
            return;
        m_ended = true;
        send(head_text(status, headers, m_keep_alive) + "Content-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
        finish(false);
    }

    void begin(int status, const http_headers& headers) override
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_begun, true))
            return;
        m_streaming = true;
        auto head = head_text(status, headers, m_keep_alive && m_chunked);
        if (m_chunked)
            head += "Transfer-Encoding: chunked\r\n";
        send(head + "\r\n");
    }

    bool write(const std::string& data) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streaming || m_ended || m_left_out)
            return false;
        m_left_out = *m_unread > m_core->m_options.m_max_unread_bytes;
        if (m_left_out)
            return false;
        if (!data.empty())
            send(framed(data));
        return true;
    }

    void end() override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_streaming || std::exchange(m_ended, true))
            return;
        if (m_chunked && !m_left_out)
            send("0\r\n\r\n");
        finish(m_left_out || !m_chunked);
    }

    void break_off() override
    {
        const std::lock_guard lock(m_mutex);
        if (m_streaming && !std::exchange(m_ended, true))
            finish(true);
    }

private:
    [[nodiscard]] std::string framed(const std::string& data) const
    {
        if (!m_chunked)
            return data;
        constexpr std::size_t max_digits = 16;
        std::array<char, max_digits + 3> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        return size.data() + data + "\r\n";
    }

    void send(std::string bytes)
    {
        *m_unread += bytes.size();
        post([connection = m_connection, number = m_number,
              text = std::move(bytes), unread = m_unread]() mutable {
            connection->send(number, std::move(text), std::move(unread));
        });
    }

    void finish(bool broken)
    {
        post([connection = m_connection, number = m_number, broken] {
            connection->finish(number, broken);
        });
    }

    template <class Action> void post(Action action)
    {
        if (!m_core->m_stopped)
            asio::post(m_core->m_io, std::move(action));
    }

    const std::shared_ptr<http_core> m_core;
    const std::shared_ptr<http_connection> m_connection;
    const std::uint64_t m_number;
    const bool m_keep_alive;
    const bool m_chunked;
    std::mutex m_mutex;
    bool m_begun = false;
    bool m_streaming = false;
    bool m_ended = false;
    /// A piece was not taken, so what was sent is not the whole answer.
    bool m_left_out = false;
    /// Bytes that were sent and not yet taken by the system.
    const std::shared_ptr<std::atomic<std::uint64_t>> m_unread =
        std::make_shared<std::atomic<std::uint64_t>>(0);
};

std::string text_of(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

std::shared_ptr<http_responder>
make_responder(std::shared_ptr<http_core> core,
               std::shared_ptr<http_connection> connection,
               std::uint64_t number, bool keep_alive, bool chunked)
{
    return std::make_shared<connection_responder>(
        std::move(core), std::move(connection), number, keep_alive, chunked);
}

std::optional<http_call> decode_call(request_reader::message request)
{
    http_call out;
    out.m_method = text_of(request.method_string());
    try
    {
        const web::uri target(text_of(request.target()));
        out.m_path = web::uri::decode(target.path());
        for (const auto& [name, value] : web::uri::split_query(target.query()))
            out.m_query[name] = web::uri::decode(value);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
    for (const auto& row : request)
        out.m_headers[boost::algorithm::to_lower_copy(
            text_of(row.name_string()))] = text_of(row.value());
    out.m_body = std::move(request.body());
    return out;
}

} // namespace pepperturn::detail
