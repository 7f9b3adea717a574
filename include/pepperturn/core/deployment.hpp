// SPDX-License-Identifier: BSL-1.0
/// \file
/// The content of a configuration revision: runners, workspaces, limits, and
/// the scheduler's settings.
#pragma once

#include "pepperturn/core/types.hpp"

#include <map>
#include <string>
#include <vector>

namespace pepperturn {

/// A VM of the system as the platform lists it.
struct vm_info
{
    std::string m_id;
    /// host:port of the RPC listener.
    std::string m_address;
    std::string m_availability_zone;
    bool m_leaving = false;

    friend bool operator==(const vm_info&, const vm_info&) = default;
};

/// One process of an upstream. Rates are the operator's estimates, in tokens
/// per second.
struct runner_info
{
    std::string m_name;
    std::string m_upstream;
    std::string m_address;
    std::string m_availability_zone;
    std::uint32_t m_slots = 8;
    double m_prefill_rate = 8000;
    double m_decode_rate = 40;
    std::uint64_t m_cache_tokens = 400000;
    bool m_leaving = false;

    friend bool operator==(const runner_info&, const runner_info&) = default;
};

struct upstream_info
{
    std::string m_name;
    call_kind m_kind = call_kind::chat;
    /// Services: whether calls may be repeated.
    bool m_repeatable = true;
    milliseconds m_timeout{60000};

    friend bool operator==(const upstream_info&,
                           const upstream_info&) = default;
};

/// A customer. Only a salted digest of the key is stored.
struct workspace_info
{
    std::string m_name;
    std::string m_key_salt;
    std::string m_key_digest;
    std::uint64_t m_budget_tokens = 2000000;
    std::uint32_t m_max_active = 256;
    std::uint32_t m_max_queued = 1024;

    friend bool operator==(const workspace_info&,
                           const workspace_info&) = default;
};

enum class routing_rule : std::uint8_t
{
    predicted_finish,
    round_robin,
    least_loaded,
    session_sticky
};

enum class ordering_rule : std::uint8_t
{
    attained_service,
    fcfs
};

/// Tunables of the scheduler. docs/design/scheduling.md has the measurements
/// behind the defaults.
struct scheduler_limits
{
    routing_rule m_routing = routing_rule::predicted_finish;
    ordering_rule m_ordering = ordering_rule::attained_service;
    /// Calls sent to a runner beyond its slots. The others stay in this VM's
    /// queue, where they can still be reordered, and reported as `not_run`.
    std::uint32_t m_runner_queue = 2;
    /// Waiting time that outweighs a difference of one priority class.
    seconds m_class_step{60};
    /// Added to the order key, in seconds per second of service that the
    /// program has received. A negative weight runs programs with the most
    /// service first, which keeps the number of unfinished programs, and so
    /// of prefixes in use, small.
    double m_service_weight = -1;
    /// Weight of prefill that an engine has to repeat: it also delays other
    /// calls there and evicts their prefixes.
    double m_recompute_weight = 30;
    std::uint32_t m_max_attempts = 3;
    /// Retry budget: retries earned by each completed call, which bounds the
    /// load that retries add to the runners.
    double m_retry_ratio = 0.2;
    std::uint64_t m_seq_window = 16;
    std::size_t m_retained_answers = 256;
    milliseconds m_gap_timeout{10000};
    milliseconds m_program_idle{900000};
    std::uint32_t m_max_turns = 512;
    /// Size of a budget reservation, in multiples of the cost bound of the
    /// call that needs it.
    std::uint64_t m_block_calls = 4;
    milliseconds m_heartbeat_timeout{1500};
    milliseconds m_rebalance_delay{3000};
    milliseconds m_outage_after{2000};
    std::size_t m_pending_bytes = 8U << 20U;
    std::uint64_t m_snapshot_entries = 256;
    /// This VM's share of the store's write rate limit.
    double m_writes_per_second = 40;
    double m_write_burst = 80;
    std::size_t m_batch_bytes = 700000;
    milliseconds m_release_retry{2000};

    friend bool operator==(const scheduler_limits&,
                           const scheduler_limits&) = default;
};

/// One accepted configuration.
struct deployment
{
    std::uint64_t m_revision = 0;
    std::map<std::string, upstream_info> m_upstreams;
    std::map<std::string, runner_info> m_runners;
    std::map<std::string, workspace_info> m_workspaces;
    scheduler_limits m_limits;
    /// Lua source; empty: the default policy.
    std::string m_policy;
    std::string m_operator_salt;
    std::string m_operator_digest;

    friend bool operator==(const deployment&, const deployment&) = default;
};

} // namespace pepperturn
