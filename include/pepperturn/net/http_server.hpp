// SPDX-License-Identifier: BSL-1.0
/// \file
/// The HTTP listener of the project's own interface. Requests are read within
/// limits, so that no client decides what this process holds.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pepperturn {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Answers one request, whole or as a stream. Thread-safe; after the caller
/// is gone every call is harmless. A stream that nobody has ended when its
/// responder is destroyed is broken off.
class http_responder
{
public:
    virtual ~http_responder() = default;
    virtual void reply(int status, const http_headers& headers,
                       const std::string& body) = 0;
    virtual void begin(int status, const http_headers& headers) = 0;
    /// False if the caller is gone or leaves more than the limit unread; the
    /// stream then takes no more data and is broken off at its end.
    virtual bool write(const std::string& data) = 0;
    /// Marks a stream as whole, for callers who go by its framing.
    virtual void end() = 0;
    /// Closes the connection of a stream without the framing's end mark, so
    /// that no caller takes what was sent for the whole answer.
    virtual void break_off() = 0;
};

struct http_call
{
    std::string m_method;
    /// Decoded path without the query.
    std::string m_path;
    std::map<std::string, std::string> m_query;
    /// Names in lower case.
    std::map<std::string, std::string> m_headers;
    std::string m_body;
};

struct http_server_options
{
    std::string m_host = "127.0.0.1";
    /// 0: a free one.
    std::uint32_t m_port = 0;
    std::uint64_t m_max_body_bytes = 4U << 20U;
    std::uint64_t m_max_header_bytes = 16384;
    std::uint64_t m_max_unread_bytes = 1U << 20U;
    /// Connections at once; 0: half of the descriptors of the process. One that
    /// serves no request is closed for a new one.
    std::size_t m_max_connections = 0;
    /// Bytes of all requests together; as many for heads and connections.
    std::uint64_t m_max_buffered_bytes = 256U << 20U;
    /// That run the handler.
    unsigned m_threads = 8;
    /// PEM files; empty: plain HTTP.
    std::string m_certificate;
    std::string m_key;
};

using http_handler =
    std::function<void(const http_call&, std::shared_ptr<http_responder>)>;

class http_server
{
public:
    virtual ~http_server() = default;
    [[nodiscard]] virtual std::uint32_t port() const = 0;
    /// Stops taking requests; those under way are finished by their owners.
    virtual void close() = 0;
};

/// Null, with \p reason set, if no port could be opened.
[[nodiscard]] std::unique_ptr<http_server>
open_http_server(const http_server_options& options,
                 const http_handler& handler, std::string& reason);

} // namespace pepperturn
