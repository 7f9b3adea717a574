// SPDX-License-Identifier: BSL-1.0
/// \file
/// Places at engines, handed out by one VM for all callers.
///
/// Load pattern: some dozens of edge VMs that each send an engine a call every
/// few seconds. None of them sees from its own calls which engine is busy,
/// which one is slow at the moment, or which one has read the long prompt part
/// that many programs share. A storage VM that is asked before each turn sees
/// all calls: it counts those under way at each engine, learns how fast each
/// one reads and generates, and knows which prompt parts each has in memory.
///
/// What is lost with that VM is no more than this knowledge: the next one
/// starts without any and learns it from the calls that follow, and edge VMs
/// choose by themselves while nobody answers.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/scheduling/admission.hpp"
#include "pepperturn/scheduling/prompt_home.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// An engine as the configuration and the list of runners tell it.
struct engine_info
{
    /// Hash of the runner's incarnation.
    std::uint64_t m_runner = 0;
    std::string m_availability_zone;
    /// Empty: not told.
    std::string m_region = {};
    /// Calls that run at once; more wait in its queue.
    std::uint32_t m_slots = 1;
    /// Prompt and output tokens that fit into its memory; 0: not told.
    std::uint64_t m_token_capacity = 0;
    /// It takes no new calls.
    bool m_draining = false;
    /// Until then it bears so many calls a second; 0: any number.
    instant m_cold_until{};
    double m_cold_per_s = 0;

    friend bool operator==(const engine_info&, const engine_info&) = default;
};

/// Asks for a place for one call.
struct placement_request
{
    /// Hash of the service's name.
    std::uint64_t m_service = 0;
    /// Hash of the request's id; asked again for another attempt, the place
    /// of before is given up.
    std::uint64_t m_call = 0;
    /// Hash of the workspace's name; 0: of none.
    std::uint64_t m_workspace = 0;
    /// The prompt in order, as far as its caller names it.
    std::vector<prompt_part> m_parts;
    /// Tokens of the whole prompt.
    std::uint32_t m_prompt_tokens = 0;
    /// The most tokens that it generates.
    std::uint32_t m_max_output_tokens = 0;
    /// What its caller expects of these, right in the median; 0: not told.
    std::uint32_t m_expected_output_tokens = 0;
    call_rank m_rank = call_rank::first;
    /// Priority of its route or workspace; 0 is the most urgent.
    std::uint32_t m_priority = 0;
    /// Longest wait in line for a place, in milliseconds.
    std::uint32_t m_queue_timeout_ms = 0;
    /// Until its program should be over, in milliseconds; 0: not told.
    std::uint32_t m_program_time_left_ms = 0;
    /// Of the VM that asks.
    std::string m_availability_zone;
    /// Hashes of runners that have refused it.
    std::vector<std::uint64_t> m_excluded;
    /// It waits in line already; answered once that is decided.
    bool m_already_queued = false;
    /// Of that VM, as the answering one knows it; empty: not told.
    std::string m_region = {};
    /// Regions whose engines it may go to; empty: any.
    std::vector<std::string> m_regions = {};

    friend bool operator==(const placement_request&,
                           const placement_request&) = default;
};

enum class placement_outcome : std::uint8_t
{
    placed,
    /// All engines are full; it waits in line.
    waiting,
    /// All engines are full, and its turn does not come in time.
    no_room,
    /// This VM hands out no places for that service: another may, or the
    /// asking VM chooses by itself.
    not_placing
};

[[nodiscard]] const char* to_string(placement_outcome outcome);

struct placement_reply
{
    placement_outcome m_outcome = placement_outcome::not_placing;
    /// Hash of the runner's incarnation.
    std::uint64_t m_runner = 0;
    /// Tokens of the prompt that are thought to be in its memory.
    std::uint32_t m_cached_tokens = 0;
    /// Calls under way there, this one among them.
    std::uint32_t m_under_way = 0;
    /// Expected time to the last token, in milliseconds.
    std::uint32_t m_expected_ms = 0;
    /// No room: when there is some again, in milliseconds.
    std::uint32_t m_retry_after_ms = 0;

    friend bool operator==(const placement_reply&,
                           const placement_reply&) = default;
};

/// How a call that had a place ended.
enum class placement_end : std::uint8_t
{
    /// With its whole answer.
    whole,
    /// Without; what it had read is in the engine's memory or not.
    broken,
    /// The runner never ran it.
    not_run
};

[[nodiscard]] const char* to_string(placement_end end);

/// Tells the end of a call that had a place. Its times count from when the
/// runner was sent the call.
struct placement_report
{
    std::uint64_t m_service = 0;
    std::uint64_t m_call = 0;
    /// The runner that was used in the end, should it be another one.
    std::uint64_t m_runner = 0;
    placement_end m_end = placement_end::not_run;
    /// To the first byte, in milliseconds.
    std::uint32_t m_first_byte_ms = 0;
    /// From the first byte to the end, in milliseconds.
    std::uint32_t m_run_ms = 0;
    /// Tokens that were generated.
    std::uint32_t m_output_tokens = 0;

    friend bool operator==(const placement_report&,
                           const placement_report&) = default;
};

/// The answer to a question that had to wait in line.
struct placement_decision
{
    std::uint64_t m_call = 0;
    placement_reply m_reply;

    friend bool operator==(const placement_decision&,
                           const placement_decision&) = default;
};

/// Places at the engines of all services that one VM hands them out for.
class engine_placements
{
public:
    engine_placements();
    ~engine_placements();
    engine_placements(const engine_placements&) = delete;
    engine_placements& operator=(const engine_placements&) = delete;

    /// Takes the engines of a service as they are now; what was learnt of
    /// those that stay is kept.
    /// \param service hash of its name
    void set_engines(std::uint64_t service,
                     const std::vector<engine_info>& engines, instant now);
    /// Drops every service that is not in \p services.
    void retain_services(const std::vector<std::uint64_t>& services);

    /// Empty: the call waits in line; its answer comes from \ref take_decided.
    [[nodiscard]] std::optional<placement_reply>
    request_placement(const placement_request& question, instant now);
    void report(const placement_report& report, instant now);
    /// Calls that waited and have a place now, or need not wait any longer.
    /// Places whose end was never told come back, too.
    [[nodiscard]] std::vector<placement_decision> take_decisions(instant now);

    /// Figures for operators, one line each.
    void write_metrics(std::string& out) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace pepperturn
