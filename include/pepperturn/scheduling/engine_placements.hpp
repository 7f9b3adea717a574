// SPDX-License-Identifier: BSL-1.0
/// \file
/// Assigns engine slots: one VM decides for all callers at which engine a call
/// runs (its placement).
///
/// Load pattern: some dozens of edge VMs that each send an engine a call every
/// few seconds. None of them can tell from its own calls which engine is busy,
/// which one is slow at the moment, or which one has cached the long prompt
/// part that many programs share. A storage VM that is asked before each turn
/// sees all calls: it counts those in progress at each engine, estimates how
/// fast each one prefills and generates, and tracks the prompt parts that each
/// has cached.
///
/// If that VM fails, only these estimates are lost: the next one starts
/// without any and learns them from the calls that follow, and edge VMs choose
/// engines themselves while no placement VM replies.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/scheduling/admission.hpp"
#include "pepperturn/scheduling/prompt_location.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// An engine, from the configuration and the list of runners.
struct engine_info
{
    /// Hash of the runner's incarnation.
    std::uint64_t m_runner = 0;
    std::string m_availability_zone;
    /// Empty: unknown.
    std::string m_region = {};
    /// Calls that run concurrently; further ones wait in the engine's own
    /// queue.
    std::uint32_t m_slots = 1;
    /// Prompt and output tokens that fit into its memory; 0: unknown.
    std::uint64_t m_token_capacity = 0;
    /// It accepts no new calls.
    bool m_draining = false;
    /// Until then it can serve only this many calls a second; 0: no limit.
    instant m_cold_until{};
    double m_cold_per_s = 0;

    friend bool operator==(const engine_info&, const engine_info&) = default;
};

/// Requests a placement for one call.
struct placement_request
{
    /// Hash of the service's name.
    std::uint64_t m_service = 0;
    /// Hash of the request's id; a second request for the same call, for
    /// another attempt, releases the earlier placement.
    std::uint64_t m_call = 0;
    /// Hash of the workspace's name; 0: none.
    std::uint64_t m_workspace = 0;
    /// The parts of the prompt in order, as far as the caller names them.
    std::vector<prompt_part> m_parts;
    /// Tokens of the whole prompt.
    std::uint32_t m_prompt_tokens = 0;
    /// Maximum number of tokens to generate.
    std::uint32_t m_max_output_tokens = 0;
    /// Number of output tokens that the caller expects (median); 0: unknown.
    std::uint32_t m_expected_output_tokens = 0;
    call_rank m_rank = call_rank::first;
    /// Priority of its route or workspace; 0 is the most urgent.
    std::uint32_t m_priority = 0;
    /// Longest wait in the placement queue, in milliseconds.
    std::uint32_t m_queue_timeout_ms = 0;
    /// Time to the program's deadline, in milliseconds; 0: unknown.
    std::uint32_t m_program_time_left_ms = 0;
    /// Availability zone of the requesting VM.
    std::string m_availability_zone;
    /// Hashes of runners that have refused the call.
    std::vector<std::uint64_t> m_excluded;
    /// The call is already queued; the reply is sent once it is decided.
    bool m_already_queued = false;
    /// Region of the requesting VM as known to the placement VM; empty:
    /// unknown.
    std::string m_region = {};
    /// Regions whose engines may be used; empty: any.
    std::vector<std::string> m_regions = {};

    friend bool operator==(const placement_request&,
                           const placement_request&) = default;
};

enum class placement_outcome : std::uint8_t
{
    placed,
    /// All engines are full; the call is queued.
    waiting,
    /// All engines are full, and the call would not be placed before its
    /// timeout.
    no_room,
    /// This VM assigns no placements for that service: another one may, or the
    /// requesting VM chooses by itself.
    not_placing
};

[[nodiscard]] const char* to_string(placement_outcome outcome);

struct placement_reply
{
    placement_outcome m_outcome = placement_outcome::not_placing;
    /// Hash of the runner's incarnation.
    std::uint64_t m_runner = 0;
    /// Estimated prompt tokens in the engine's cache.
    std::uint32_t m_cached_tokens = 0;
    /// Calls in progress there, including this one.
    std::uint32_t m_under_way = 0;
    /// Expected time to the last token, in milliseconds.
    std::uint32_t m_expected_ms = 0;
    /// With no_room: time until a slot is expected to be free, in
    /// milliseconds.
    std::uint32_t m_retry_after_ms = 0;

    friend bool operator==(const placement_reply&,
                           const placement_reply&) = default;
};

/// How a placed call ended.
enum class placement_end : std::uint8_t
{
    /// With a complete response.
    whole,
    /// Without a complete response; its prompt may be in the engine's cache or
    /// not.
    broken,
    /// The runner never ran the call.
    not_run
};

[[nodiscard]] const char* to_string(placement_end end);

/// Reports the end of a placed call. Times count from when the call was sent
/// to the runner.
struct placement_report
{
    std::uint64_t m_service = 0;
    std::uint64_t m_call = 0;
    /// The runner that was actually used, if it is not the assigned one; 0:
    /// the assigned one.
    std::uint64_t m_runner = 0;
    placement_end m_end = placement_end::not_run;
    /// Time to the first byte, in milliseconds.
    std::uint32_t m_first_byte_ms = 0;
    /// From the first byte to the end, in milliseconds.
    std::uint32_t m_run_ms = 0;
    /// Generated tokens.
    std::uint32_t m_output_tokens = 0;

    friend bool operator==(const placement_report&,
                           const placement_report&) = default;
};

/// The reply to a request that was queued.
struct placement_decision
{
    std::uint64_t m_call = 0;
    placement_reply m_reply;

    friend bool operator==(const placement_decision&,
                           const placement_decision&) = default;
};

/// Placements at the engines of all services that one VM is responsible for.
class engine_placements
{
public:
    engine_placements();
    ~engine_placements();
    engine_placements(const engine_placements&) = delete;
    engine_placements& operator=(const engine_placements&) = delete;

    /// Replaces the engines of a service; estimates of engines that remain are
    /// kept.
    /// \param service hash of its name
    void set_engines(std::uint64_t service,
                     const std::vector<engine_info>& engines, instant now);
    /// Removes every service that is not in \p services.
    void retain_services(const std::vector<std::uint64_t>& services);

    /// Empty: the call is queued; its reply comes from \ref take_decisions.
    [[nodiscard]] std::optional<placement_reply>
    request_placement(const placement_request& request, instant now);
    void report(const placement_report& report, instant now);
    /// Returns the queued calls that were placed or refused since. Also
    /// releases placements whose end was never reported.
    [[nodiscard]] std::vector<placement_decision> take_decisions(instant now);

    /// Appends metrics, one line each.
    void write_metrics(std::string& out) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pepperturn
