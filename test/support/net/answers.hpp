// SPDX-License-Identifier: BSL-1.0
/// \file
/// HTTP answers as bytes, and the client's verdict on them.
#pragma once

#include "pepperturn/net/upstream_client.hpp"
#include "support/net/raw_server.hpp"

#include <future>
#include <sstream>
#include <stdexcept>

namespace pepperturn::test {

enum class framing : std::uint8_t
{
    length,
    chunks,
    connection_close
};

inline const char* to_string(framing how)
{
    switch (how)
    {
    case framing::length:
        return "length";
    case framing::chunks:
        return "chunks";
    case framing::connection_close:
        break;
    }
    return "connection close";
}

inline const auto all_framings = {framing::length, framing::chunks,
                                  framing::connection_close};

inline std::string chunk_of(const std::string& data)
{
    std::ostringstream out;
    out << std::hex << data.size() << "\r\n" << data << "\r\n";
    return out.str();
}

constexpr const char* last_chunk = "0\r\n\r\n";

/// A whole answer of status 200, by its framing.
inline std::string answer_of(framing how, const std::string& type,
                             const std::string& body)
{
    // A kept connection would be tried by a later test that gets its port.
    const std::string head =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: " + type +
        "\r\n";
    switch (how)
    {
    case framing::length:
        return head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    case framing::chunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" +
               (body.empty() ? "" : chunk_of(body)) + last_chunk;
    case framing::connection_close:
        break;
    }
    return head + "\r\n" + body;
}

/// Waits for what a callback brings.
template <class Value> Value wait_for(std::future<Value> value)
{
    if (value.wait_for(seconds(20)) != std::future_status::ready)
        throw std::runtime_error("no callback came");
    return value.get();
}

inline http_result fetch_from(const raw_server& from)
{
    auto got = std::make_shared<std::promise<http_result>>();
    http_fetch request;
    request.m_base_url = from.url();
    request.m_path = "/x";
    request.m_timeout = milliseconds(10000);
    request.m_fresh_connection = true;
    fetch(request,
          [got](const http_result& result) { got->set_value(result); });
    return wait_for(got->get_future());
}

inline grant permit_for(const raw_server& from)
{
    grant out;
    out.m_call = "vm-1";
    out.m_runner = "r1";
    out.m_address = from.url();
    out.m_prompt = {{"user", "hello"}};
    out.m_max_tokens = 16;
    out.m_timeout = milliseconds(10000);
    return out;
}

inline call_report send_service_to(const raw_server& to,
                                   const std::string& path = "/x")
{
    auto got = std::make_shared<std::promise<call_report>>();
    call_request request;
    request.m_kind = call_kind::service;
    request.m_method = "POST";
    request.m_path = path;
    request.m_body = "{}";
    request.m_repeatable = false;
    send_service(permit_for(to), request,
                 [got](const call_report& report) { got->set_value(report); });
    return wait_for(got->get_future());
}

struct chat_result
{
    call_report m_report;
    /// What was passed on while the answer came.
    std::string m_streamed;
};

inline chat_result send_chat_to(const raw_server& to)
{
    auto got = std::make_shared<std::promise<chat_result>>();
    auto streamed = std::make_shared<std::string>();
    send_chat(
        permit_for(to), "model",
        [streamed](const std::string& text) { *streamed += text; },
        [got, streamed](const call_report& report) {
            got->set_value({report, *streamed});
        });
    return wait_for(got->get_future());
}

} // namespace pepperturn::test
