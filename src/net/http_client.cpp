// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/http_client.hpp"

#include "pepperturn/forward/event_boundary.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/http_client.h>
#include <mutex>
#include <pplx/threadpool.h>

namespace pepperturn {

namespace {

namespace rest = web::http;
using rest::client::http_client;
using rest::client::http_client_config;
using client_ptr = std::shared_ptr<http_client>;

client_ptr make_client(const http_fetch& request)
{
    http_client_config config;
    config.set_timeout(request.m_timeout);
    return std::make_shared<http_client>(request.m_base_url, config);
}

/// Clients keep connections open; one a base URL and time-out is shared.
client_ptr find_client(const http_fetch& request)
{
    static std::mutex mutex;
    static std::map<std::pair<std::string, long>, client_ptr> clients;
    if (request.m_fresh_connection)
        return make_client(request);
    const std::lock_guard lock(mutex);
    auto& found = clients[{request.m_base_url, request.m_timeout.count()}];
    if (found == nullptr)
        found = make_client(request);
    return found;
}

rest::http_request make_request(const http_fetch& request)
{
    rest::http_request out(request.m_method);
    out.set_request_uri(request.m_path);
    if (!request.m_body.empty())
        out.set_body(request.m_body, request.m_content_type);
    for (const auto& [name, value] : request.m_headers)
        out.headers().add(name, value);
    return out;
}

/// cpprestsdk reports a refused connection as host_unreachable, and only
/// while it connects (http_client_asio.cpp, errorcode_context::connect).
bool is_connect_failure(const std::error_code& code)
{
    return code == std::errc::host_unreachable ||
           code == std::errc::connection_refused ||
           code == std::errc::network_unreachable;
}

http_result failure_of(const std::exception_ptr& error)
{
    http_result out;
    try
    {
        std::rethrow_exception(error);
    }
    catch (const rest::http_exception& http)
    {
        out.m_reason = http.what();
        if (is_connect_failure(http.error_code()))
            out.m_end = transfer_end::not_sent;
    }
    catch (const std::exception& other)
    {
        out.m_reason = other.what();
    }
    return out;
}

struct stream_reader final : std::enable_shared_from_this<stream_reader>
{
    client_ptr m_client;
    concurrency::streams::streambuf<std::uint8_t> m_stream;
    std::array<std::uint8_t, 8192> m_piece{};
    std::function<void(std::string_view)> m_on_bytes;
    http_done m_done;
    http_result m_result;

    void finish(const http_result& result)
    {
        const auto done = std::move(m_done);
        m_done = {};
        m_client.reset();
        if (done)
            done(result);
    }

    void read_next()
    {
        // A read waits until it has all that it asks for, so it asks for what
        // is there.
        const auto size =
            std::clamp<std::size_t>(m_stream.in_avail(), 1, m_piece.size());
        m_stream.getn(m_piece.data(), size)
            .then([self = shared_from_this()](
                      const pplx::task<std::size_t>& finished) {
                self->on_read(finished);
            });
    }

    void on_read(const pplx::task<std::size_t>& finished)
    {
        std::size_t size = 0;
        try
        {
            size = finished.get();
        }
        catch (...)
        {
            auto failed = failure_of(std::current_exception());
            failed.m_status = m_result.m_status;
            failed.m_end = transfer_end::cut;
            finish(failed);
            return;
        }
        if (size == 0)
        {
            m_result.m_end = transfer_end::complete;
            finish(m_result);
            return;
        }
        m_on_bytes({reinterpret_cast<const char*>(m_piece.data()), size});
        read_next();
    }

    void on_response(const rest::http_response& response)
    {
        m_result.m_status = response.status_code();
        if (m_result.m_status == rest::status_codes::OK)
        {
            m_stream = response.body().streambuf();
            read_next();
            return;
        }
        response.extract_utf8string(true).then(
            [self = shared_from_this()](const pplx::task<std::string>& body) {
                try
                {
                    self->m_result.m_body = body.get();
                    self->m_result.m_end = transfer_end::complete;
                }
                catch (const std::exception&)
                {
                    self->m_result.m_end = transfer_end::cut;
                }
                self->finish(self->m_result);
            });
    }
};

/// What the head of a reply says of its body.
struct reply_head
{
    int m_status = 0;
    bool m_has_events = false;
    /// The body ends with its connection.
    bool m_ends_by_close = false;
};

reply_head head_of(const rest::http_response& response)
{
    const auto& headers = response.headers();
    reply_head out;
    out.m_status = response.status_code();
    // A failure's text has no events to look for, nor has what is coded in
    // another way.
    out.m_has_events = out.m_status == rest::status_codes::OK &&
                       !headers.has(rest::header_names::content_encoding) &&
                       boost::algorithm::istarts_with(headers.content_type(),
                                                      "text/event-stream");
    out.m_ends_by_close = !headers.has(rest::header_names::content_length) &&
                          !headers.has(rest::header_names::transfer_encoding);
    return out;
}

/// Looks for the end of a series of events whose framing has ended.
/// \returns why it is not complete; null if it is
const char* find_missing_end(const reply_head& head, const std::string& body)
{
    if (!head.m_has_events)
        return nullptr;
    event_boundary events;
    static_cast<void>(events.consume(body));
    if (events.inside_event())
        return "the stream ended inside an event";
    if (head.m_ends_by_close && events.complete_events() == 0)
        return "the connection closed before the first event";
    return nullptr;
}

http_result read_reply(const reply_head& head,
                       const pplx::task<std::vector<unsigned char>>& body)
{
    http_result out;
    try
    {
        const auto bytes = body.get();
        out.m_body.assign(bytes.begin(), bytes.end());
    }
    catch (...)
    {
        out = failure_of(std::current_exception());
        if (head.m_status != 0)
            out.m_end = transfer_end::cut;
        return out;
    }
    out.m_status = head.m_status;
    const char* missing = find_missing_end(head, out.m_body);
    if (missing == nullptr)
        out.m_end = transfer_end::complete;
    else
        out.m_reason = missing;
    return out;
}

} // namespace

void fetch(const http_fetch& request, http_done done)
{
    auto client = find_client(request);
    auto head = std::make_shared<reply_head>();
    client->request(make_request(request))
        .then([head](const rest::http_response& response) {
            *head = head_of(response);
            return response.extract_vector();
        })
        .then([client, head, done = std::move(done)](
                  const pplx::task<std::vector<unsigned char>>& body) {
            done(read_reply(*head, body));
        });
}

void fetch_stream(const http_fetch& request,
                  std::function<void(std::string_view)> on_bytes,
                  http_done done)
{
    auto reader = std::make_shared<stream_reader>();
    reader->m_client = find_client(request);
    reader->m_on_bytes = std::move(on_bytes);
    reader->m_done = std::move(done);
    reader->m_client->request(make_request(request))
        .then([reader](const pplx::task<rest::http_response>& response) {
            try
            {
                reader->on_response(response.get());
            }
            catch (...)
            {
                reader->finish(failure_of(std::current_exception()));
            }
        });
}

void start_http_threads(unsigned count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

} // namespace pepperturn
