// SPDX-License-Identifier: BSL-1.0
/// \file
/// Reads requests out of the bytes of one connection, within limits, whatever
/// the client sends. No I/O: bytes are fed in as they arrive.
///
/// Every listener of this project reads through it. What it holds for a request
/// is bounded in each state, and is told before it is allocated, so that it can
/// be reserved: the bytes that are not parsed yet, the fields of the head,
/// which are many times the size of their text if they are short, and the body.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pepperturn {

namespace http = boost::beast::http;

/// What a client may send in one request, in bytes.
struct request_limits
{
    /// The head, up to and including its empty line.
    std::size_t m_max_head_bytes = 16384;
    std::size_t m_max_body_bytes = 4U << 20U;
    /// Of a chunked body, each: the line with the size of a chunk, the
    /// extensions of all chunks together, and the trailer section.
    std::size_t m_max_framing_bytes = 16384;

    friend bool operator==(const request_limits&,
                           const request_limits&) = default;
};

/// How far a request has been read.
enum class reader_state : std::uint8_t
{
    /// More bytes are needed.
    head_incomplete,
    /// The head has arrived and is valid; it is parsed next.
    head_complete,
    /// The head is parsed; more bytes are needed.
    body_incomplete,
    complete,
    /// It is outside the limits, or no request; nothing more is read.
    refused
};

/// Why a request is refused.
struct request_refusal
{
    /// 400, 413 or 431, unless it was refused from outside.
    unsigned m_status = 400;
    std::string m_reason;

    friend bool operator==(const request_refusal&,
                           const request_refusal&) = default;
};

namespace detail {
class request_parser;
}

class request_reader
{
public:
    using message = http::request<http::string_body>;

    /// Bytes to feed at once, at most.
    static constexpr std::size_t max_piece_bytes = 16384;

    explicit request_reader(const request_limits& limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// Begins the next request, with the bytes that are left of the last read.
    void begin(const request_limits& limits);

    /// Adds bytes that have arrived, \ref max_piece_bytes at most. Call \ref
    /// advance before the next ones are added.
    void feed(std::string_view bytes);
    /// Goes on as far as the bytes allow, but stops at \ref
    /// reader_state::head_complete, so that memory can be reserved.
    reader_state advance();

    /// Refuses the request from outside; its head is kept.
    void refuse(request_refusal why);
    /// The same, but frees what is held for it.
    void drop(request_refusal why);

    [[nodiscard]] reader_state state() const
    {
        return m_state;
    }
    /// Whether any byte of the request has arrived.
    [[nodiscard]] bool begun() const
    {
        return m_state != reader_state::head_incomplete || !m_pending.empty();
    }
    /// Why it is refused.
    [[nodiscard]] const request_refusal& refusal() const
    {
        return m_refusal;
    }
    /// The head once it is parsed, and the body as far as it has been read.
    [[nodiscard]] const message& request() const;
    /// Length of the body, in bytes, if the head tells it.
    [[nodiscard]] std::uint64_t announced_bytes() const;
    /// Bytes that have arrived of the request, framing left out.
    [[nodiscard]] std::size_t received_bytes() const;

    /// Memory that is held for the request beside its body, in bytes.
    [[nodiscard]] std::size_t head_memory() const;
    /// The same once \p bytes more are fed, or once the head is parsed.
    [[nodiscard]] std::size_t head_memory_after(std::size_t bytes) const;
    /// Memory that is held for the body, in bytes.
    [[nodiscard]] std::size_t body_memory() const;
    /// The same, at most, once \p bytes more are fed.
    [[nodiscard]] std::size_t body_memory_after(std::size_t bytes) const;

    /// The complete request. The reader holds nothing of it afterwards; call
    /// \ref begin next.
    [[nodiscard]] message release();

private:
    void find_head();
    void parse_head();
    void parse_body();
    /// Whether the body may end with its first chunk, of which too little has
    /// arrived for the parser.
    [[nodiscard]] bool may_end_too_early() const;
    void consume(std::size_t bytes);

    request_limits m_limits;
    reader_state m_state = reader_state::head_incomplete;
    /// Bytes that are not parsed yet.
    std::string m_pending;
    /// No end of the head begins before this offset.
    std::size_t m_searched = 0;
    std::size_t m_head_bytes = 0;
    std::size_t m_head_lines = 0;
    /// The parser has been given some of the body.
    bool m_body_begun = false;
    std::unique_ptr<detail::request_parser> m_parser;
    request_refusal m_refusal;
};

/// Memory of a parsed head and of what is decoded from it, at most, in bytes.
/// \param bytes of its text
[[nodiscard]] std::size_t parsed_head_memory(std::size_t bytes,
                                             std::size_t lines);

} // namespace pepperturn
