// SPDX-License-Identifier: BSL-1.0
/// \file
/// The operator's configuration for forwarding: which requests go to which
/// services, and the runners that serve them.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pepperturn {

enum class route_kind : std::uint8_t
{
    idempotent,
    /// May run at most once.
    unrepeatable,
    /// Responds with an event stream; may also run at most once.
    stream
};

[[nodiscard]] std::string_view to_string(route_kind kind);

struct weighted_service
{
    std::string m_service;
    double m_weight = 1;

    friend bool operator==(const weighted_service&,
                           const weighted_service&) = default;
};

struct route
{
    std::string m_name;
    std::string m_host;
    /// Begins and ends with a slash.
    std::string m_path_prefix;
    route_kind m_kind = route_kind::unrepeatable;
    /// Maximum total time of a request.
    milliseconds m_timeout{30000};
    milliseconds m_target_latency{1000};
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    std::vector<weighted_service> m_services;
    /// Number of runners that one request may be sent to.
    std::uint32_t m_max_attempts = 1;
    /// An interrupted stream may resume after its last event at another runner.
    bool m_resumable = false;
    /// Longest acceptable gap between events; zero: unspecified.
    milliseconds m_target_gap{0};
    /// Turns are stored, and each names the parent turn that it continues.
    bool m_stateful = false;
    milliseconds m_retention{60000};
    /// Callers need no API key.
    bool m_public = false;
    /// Requests are served and turns stored only in these regions; empty: in
    /// any.
    std::set<std::string> m_regions;

    friend bool operator==(const route&, const route&) = default;
};

/// For how long storage VMs retain a turn of \p value, and its program's
/// budget, from their last write on.
[[nodiscard]] milliseconds stored_retention(const route& value);

/// Capacity of each engine of a service.
struct engine_profile
{
    /// Requests that run concurrently.
    std::uint32_t m_slots = 1;
    /// Tokens that fit into the engine's memory.
    std::uint64_t m_token_capacity = 0;
    /// Maximum number of tokens in one event.
    std::uint32_t m_tokens_per_event = 1;

    friend bool operator==(const engine_profile&,
                           const engine_profile&) = default;
};

struct service
{
    std::string m_name;
    std::string m_health_path;
    /// Connections that one runner accepts from all callers together.
    std::uint32_t m_max_connections = 64;
    std::optional<engine_profile> m_engine;
    /// Requests a second that a runner can serve while cold; 0: unlimited.
    double m_cold_requests_per_s = 0;

    friend bool operator==(const service&, const service&) = default;
};

/// Limits on what a caller may send.
struct caller_limits
{
    std::size_t m_max_header_bytes = 16384;
    std::size_t m_max_body_bytes = 4U << 20U;
    milliseconds m_header_timeout{3000};
    milliseconds m_idle_timeout{15000};

    friend bool operator==(const caller_limits&,
                           const caller_limits&) = default;
};

struct routing_config
{
    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::map<std::string, service> m_services;
    caller_limits m_limits;
    /// Empty: callers need no API keys, and theirs are forwarded.
    std::optional<workspace_directory> m_directory;

    friend bool operator==(const routing_config&,
                           const routing_config&) = default;
};

/// The route of \p host (any case, with or without a port) with the longest
/// matching prefix of \p path; null: none matches.
[[nodiscard]] const route* find_route(const routing_config& config,
                                      std::string_view host,
                                      std::string_view path);

/// A runner as announced to the edge VMs.
struct runner_info
{
    std::string m_id;
    std::string m_service;
    /// IP:PORT.
    std::string m_address;
    std::string m_availability_zone;
    std::uint32_t m_slots = 1;
    bool m_draining = false;
    /// Unix time of its start in milliseconds; 0: unknown. A runner that
    /// restarts under the same id has lost its requests and caches.
    std::uint64_t m_started_at_ms = 0;
    /// Remaining time for which it is cold, counted from this announcement.
    milliseconds m_cold_remaining{0};

    friend bool operator==(const runner_info&, const runner_info&) = default;
};

/// A runner that was added, changed or removed.
struct runner_change
{
    std::string m_id;
    /// Empty: removed.
    std::optional<runner_info> m_info;

    friend bool operator==(const runner_change&,
                           const runner_change&) = default;
};

/// Identifies one start of a runner, for other VMs and later calls.
[[nodiscard]] std::string incarnation_of(const runner_info& info);

} // namespace pepperturn
