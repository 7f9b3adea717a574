// SPDX-License-Identifier: BSL-1.0
/// \file
/// An HTTP client that refuses every reply whose head is broken. What matters
/// to its callers is how far a request got, because a request that may have
/// left must not be called "not run". Redirects are not followed: they would
/// lead to servers that no configuration names.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/net/http_server.hpp"

#include <string_view>

namespace pepperturn {

enum class transfer_end : std::uint8_t
{
    /// The connection could not be made: no byte of the request left.
    not_sent,
    /// Nothing of the reply is to be believed: it is broken in its head, not
    /// whole, or there is none.
    cut,
    complete
};

struct http_fetch
{
    std::string m_base_url;
    std::string m_method = "GET";
    std::string m_path;
    http_headers m_headers;
    std::string m_body;
    std::string m_content_type = "application/json";
    milliseconds m_timeout{30000};
    /// Opens a connection of its own, so that a stale pooled one cannot make
    /// "was it sent?" undecidable.
    bool m_fresh_connection = false;
};

struct http_result
{
    transfer_end m_end = transfer_end::cut;
    int m_status = 0;
    std::string m_body;
    std::string m_reason;
    /// What came is no head of a reply.
    bool m_head_broken = false;
};

/// Threads that run the callbacks; once, before any other use of the client,
/// which else starts some by itself.
void start_http_threads(unsigned count);

using http_done = std::function<void(const http_result&)>;

/// Fetches the whole reply. A series of events is complete only if its last
/// event has ended, whatever the framing says. \p done comes once, on an HTTP
/// thread.
void fetch(const http_fetch& request, http_done done);

/// Gives the bytes of a successful reply to \p on_bytes as they come. A reply
/// with an error status is collected in http_result::m_body instead. The end
/// is that of the framing alone.
void fetch_stream(const http_fetch& request,
                  std::function<void(std::string_view)> on_bytes,
                  http_done done);

} // namespace pepperturn
