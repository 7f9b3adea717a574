// SPDX-License-Identifier: BSL-1.0
/// \file
/// The published interface of model engines and plain services.
#pragma once

#include "pepperturn/entry/entry_table.hpp"
#include "pepperturn/net/http_client.hpp"

namespace pepperturn {

/// Streams a chat call. \p on_token gets text as it comes; \p done the
/// report, once. Complete only if the end marker was seen.
void send_chat(const grant& permit, const std::string& model,
               std::function<void(const std::string&)> on_token,
               report_callback done);

void send_service(const grant& permit, const call_request& request,
                  report_callback done);

/// Asks an engine to stop an attempt and to forget it.
void cancel_chat(const grant& permit);

void release_prefix(const release_memory& request,
                    std::function<void(release_completed)> done);

void read_load(const runner_info& runner,
               std::function<void(load_reported)> done);

struct cache_news
{
    bool m_answered = false;
    std::uint64_t m_newest = 0;
    /// Events are missing between the last one read and these.
    bool m_gap = false;
    /// The engine's count went backwards.
    bool m_restarted = false;
    std::vector<std::string> m_evicted;
};

void read_cache_events(const runner_info& runner, std::uint64_t since,
                       std::function<void(cache_news)> done);

struct platform_list
{
    bool m_answered = false;
    vms_listed m_listed;
};

void read_platform(const std::string& url,
                   std::function<void(platform_list)> done);

} // namespace pepperturn
