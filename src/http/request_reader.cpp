// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/http/request_reader.hpp"

#include "pepperturn/http/last_chunk.hpp"
#include "pepperturn/http/request_framing.hpp"

#include <algorithm>
#include <bit>
#include <boost/beast/http/basic_parser.hpp>

namespace pepperturn {

namespace {

using boost::beast::string_view;
using boost::system::error_code;

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t least_capacity = 512;
/// Of the library's object for a field, and of its allocation.
constexpr std::size_t field_overhead_bytes = 96;
/// The text of a head is kept once by the parser and once for a runner; what is
/// decoded from a list of numbers takes up to four times its text.
constexpr std::size_t head_copies = 6;
constexpr unsigned bad_request = 400;
constexpr unsigned body_too_large = 413;
constexpr unsigned head_too_large = 431;

/// Grows in powers of two: bytes that come one by one are not copied each time,
/// and the capacity is known beforehand.
std::size_t capacity_for(std::size_t bytes)
{
    return std::bit_ceil(std::max(bytes, least_capacity));
}

std::size_t capacity_after(const std::string& text, std::size_t bytes)
{
    const auto size = text.size() + bytes;
    return size <= text.capacity() ? text.capacity() : capacity_for(size);
}

void append(std::string& text, const char* bytes, std::size_t count)
{
    text.reserve(capacity_after(text, count));
    text.append(bytes, count);
}

/// Memory of a string: a short one is stored within itself.
std::size_t memory_of(const std::string& text)
{
    static const auto stored_within = std::string().capacity();
    return text.capacity() <= stored_within ? 0 : text.capacity();
}

} // namespace

namespace detail {

/// Keeps the head and the body; trailer fields and chunk extensions are checked
/// and dropped, since no head may change once it has been acted on.
class request_parser final : public http::basic_parser<true>
{
public:
    explicit request_parser(const request_limits& limits)
        : m_max_extension_bytes(limits.m_max_framing_bytes)
    {
        header_limit(static_cast<std::uint32_t>(limits.m_max_head_bytes));
        body_limit(limits.m_max_body_bytes);
    }

    request_reader::message m_message;
    bool m_extensions_too_long = false;

private:
    void on_request_impl(http::verb method, string_view method_text,
                         string_view target, int version, error_code&) override
    {
        if (method == http::verb::unknown)
            m_message.method_string(method_text);
        else
            m_message.method(method);
        m_message.target(target);
        m_message.version(static_cast<unsigned>(version));
    }

    void on_response_impl(int, string_view, int, error_code&) override {}

    void on_field_impl(http::field name, string_view name_text,
                       string_view value, error_code&) override
    {
        if (!m_head_done)
            m_message.insert(name, name_text, value);
    }

    void on_header_impl(error_code&) override
    {
        m_head_done = true;
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           error_code&) override
    {
        // Within the limit, which is checked at the end of the head.
        if (length)
            m_message.body().reserve(*length);
    }

    std::size_t on_body_impl(string_view body, error_code&) override
    {
        append(m_message.body(), body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, string_view extensions,
                              error_code& ec) override
    {
        m_extension_bytes += extensions.size();
        m_extensions_too_long = m_extension_bytes > m_max_extension_bytes;
        if (m_extensions_too_long)
            ec = http::error::bad_chunk_extension;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view body,
                                   error_code& ec) override
    {
        return on_body_impl(body, ec);
    }

    void on_finish_impl(error_code&) override {}

    std::size_t m_max_extension_bytes;
    std::size_t m_extension_bytes = 0;
    bool m_head_done = false;
};

} // namespace detail

std::size_t parsed_head_memory(std::size_t bytes, std::size_t lines)
{
    return head_copies * bytes + field_overhead_bytes * lines;
}

request_reader::request_reader(const request_limits& limits) : m_limits(limits)
{}

request_reader::~request_reader() = default;

void request_reader::begin(const request_limits& limits)
{
    m_limits = limits;
    m_state = reader_state::head_incomplete;
    m_parser = nullptr;
    m_searched = 0;
    m_head_bytes = 0;
    m_head_lines = 0;
    m_body_begun = false;
    m_refusal = {};
    if (m_pending.empty())
        std::string().swap(m_pending);
}

void request_reader::feed(std::string_view bytes)
{
    append(m_pending, bytes.data(), bytes.size());
}

reader_state request_reader::advance()
{
    if (m_state == reader_state::head_incomplete)
        find_head();
    else if (m_state == reader_state::head_complete)
        parse_head();
    else if (m_state == reader_state::body_incomplete)
        parse_body();
    return m_state;
}

void request_reader::find_head()
{
    const std::string_view text = m_pending;
    const auto end = text.find(head_end, m_searched);
    if (end == std::string_view::npos)
    {
        m_searched = text.size() < head_end.size()
                         ? 0
                         : text.size() - head_end.size() + 1;
        if (text.size() > m_limits.m_max_head_bytes)
            refuse({head_too_large, "request head exceeds the limit"});
        return;
    }
    m_head_bytes = end + head_end.size();
    const auto head = text.substr(0, m_head_bytes);
    if (m_head_bytes > m_limits.m_max_head_bytes)
        refuse({head_too_large, "request head exceeds the limit"});
    else if (const auto* fault = find_ambiguity(head))
        refuse({bad_request, fault});
    else
    {
        m_head_lines = static_cast<std::size_t>(
            std::count(head.begin(), head.end(), '\n'));
        m_state = reader_state::head_complete;
    }
}

void request_reader::parse_head()
{
    m_parser = std::make_unique<detail::request_parser>(m_limits);
    error_code ec;
    const auto used = m_parser->put(
        boost::asio::const_buffer(m_pending.data(), m_head_bytes), ec);
    if (ec == http::error::body_limit)
        refuse({body_too_large, "request body exceeds the limit"});
    else if (ec)
        refuse({bad_request, ec.message()});
    if (ec)
        return;
    consume(used);
    m_parser->eager(true);
    m_state = m_parser->is_done() ? reader_state::complete
                                  : reader_state::body_incomplete;
    if (m_state == reader_state::body_incomplete)
        parse_body();
}

bool request_reader::may_end_too_early() const
{
    return !m_body_begun && m_parser->chunked() && m_pending.front() == '0' &&
           m_pending.size() < least_chunked_bytes;
}

void request_reader::parse_body()
{
    if (m_pending.empty() || may_end_too_early())
        return;
    m_body_begun = true;
    error_code ec;
    const auto used = m_parser->put(
        boost::asio::const_buffer(m_pending.data(), m_pending.size()), ec);
    consume(used);
    if (ec == http::error::body_limit)
        refuse({body_too_large, "request body exceeds the limit"});
    else if (m_parser->m_extensions_too_long)
        refuse({head_too_large, "chunk extensions exceed the limit"});
    else if (ec && ec != http::error::need_more)
        refuse({bad_request, ec.message()});
    else if (m_parser->is_done())
        m_state = reader_state::complete;
    // What is left is the line of a chunk's size, or the trailer section.
    else if (m_pending.size() > m_limits.m_max_framing_bytes)
        refuse({head_too_large,
                "chunk size line or trailer section exceeds the limit"});
}

void request_reader::refuse(request_refusal why)
{
    m_state = reader_state::refused;
    m_refusal = std::move(why);
}

void request_reader::drop(request_refusal why)
{
    refuse(std::move(why));
    m_parser = nullptr;
    std::string().swap(m_pending);
}

void request_reader::consume(std::size_t bytes)
{
    m_pending.erase(0, bytes);
    if (m_pending.empty())
        std::string().swap(m_pending);
}

const request_reader::message& request_reader::request() const
{
    static const message none;
    return m_parser ? m_parser->m_message : none;
}

std::uint64_t request_reader::announced_bytes() const
{
    return m_parser ? m_parser->content_length().value_or(0) : 0;
}

std::size_t request_reader::received_bytes() const
{
    return m_parser ? m_head_bytes + request().body().size() : m_pending.size();
}

std::size_t request_reader::head_memory() const
{
    return memory_of(m_pending) +
           (m_parser ? parsed_head_memory(m_head_bytes, m_head_lines) : 0);
}

std::size_t request_reader::head_memory_after(std::size_t bytes) const
{
    if (m_state == reader_state::head_complete)
        return head_memory() + parsed_head_memory(m_head_bytes, m_head_lines);
    return head_memory() - memory_of(m_pending) +
           capacity_after(m_pending, bytes);
}

std::size_t request_reader::body_memory() const
{
    return memory_of(request().body());
}

std::size_t request_reader::body_memory_after(std::size_t bytes) const
{
    if (!m_parser)
        return 0;
    const auto& body = request().body();
    if (const auto announced = m_parser->content_length())
        return std::max(body.capacity(), std::size_t(*announced));
    return capacity_after(body, m_pending.size() + bytes);
}

request_reader::message request_reader::release()
{
    auto out = std::move(m_parser->m_message);
    m_parser = nullptr;
    return out;
}

} // namespace pepperturn
