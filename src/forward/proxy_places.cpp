// SPDX-License-Identifier: BSL-1.0
// Placements, which are engine slots reserved by the placement service:
// requested, used, and reported when they end.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/allowed_regions.hpp"
#include "pepperturn/scheduling/retry_after.hpp"

#include <algorithm>
#include <limits>

namespace pepperturn {

namespace {

std::uint32_t in_wire_ms(milliseconds span)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        span.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

placement_end end_of(const attempt_result& result)
{
    if (result.m_outcome == attempt_outcome::not_run)
        return placement_end::not_run;
    return result.m_outcome == attempt_outcome::answered && result.m_streamed
               ? placement_end::whole
               : placement_end::broken;
}

} // namespace

void proxy::set_placement_client(placement_client& client)
{
    m_placement_client = &client;
}

placement_request proxy::make_placement_request(const call& work,
                                                const std::string& service)
{
    const auto& fields = work.m_fields;
    const auto rank = rank_of(work);
    placement_request out;
    out.m_service = hash64(service);
    out.m_call = hash64(fields.m_id);
    if (work.m_workspace != nullptr)
    {
        out.m_workspace = hash64(work.m_workspace->m_name);
        out.m_priority =
            work.m_workspace->m_priority.value_or(work.m_route->m_priority);
    }
    else
        out.m_priority = work.m_route->m_priority;
    out.m_parts = fields.m_prompt_parts;
    out.m_prompt_tokens = fields.m_prompt_tokens;
    out.m_max_output_tokens = fields.m_max_tokens;
    out.m_expected_output_tokens = fields.m_expected_tokens;
    out.m_rank = rank;
    out.m_queue_timeout_ms =
        in_wire_ms(queue_timeout(rank, fields.m_program_remaining,
                                 elapsed(m_time.now(), work.m_deadline)));
    if (fields.m_program_remaining)
        out.m_program_time_left_ms = in_wire_ms(*fields.m_program_remaining);
    out.m_availability_zone = m_availability_zone;
    if (const auto homes = allowed_regions(*work.m_route, work.m_workspace))
        out.m_regions = {homes->begin(), homes->end()};
    return out;
}

void proxy::request_placement(const std::shared_ptr<call>& work)
{
    // With several services, the conversation's service is known only later.
    const auto& services = work->m_route->m_services;
    if (m_placement_client == nullptr || services.size() != 1 ||
        !m_placement_client->should_request(work->m_fields.m_prompt_parts))
        return;
    const auto found =
        work->m_config->m_services.find(services.front().m_service);
    if (found == work->m_config->m_services.end() || !found->second.m_engine)
        return;
    auto pending = std::make_shared<pending_placement>(m_io);
    work->m_pending_placement = pending;
    spawn(m_io, "proxy.place",
          [](placement_client& client, placement_request request,
             std::shared_ptr<pending_placement> state) -> task<> {
              state->m_grant = co_await client.acquire(std::move(request));
              state->m_done = true;
              if (state->m_abandoned)
                  client.report_end(state->m_grant, {});
              state->m_completion.notify();
          }(*m_placement_client, make_placement_request(*work, found->first),
                                                       pending));
}

task<std::optional<proxy::call_result>>
proxy::await_placement(std::shared_ptr<call> work,
                       std::shared_ptr<runner_query> choice)
{
    if (m_placement_client == nullptr ||
        !m_placement_client->should_request(work->m_fields.m_prompt_parts))
        co_return std::nullopt;
    if (const auto pending = work->m_pending_placement)
    {
        while (!pending->m_done)
            co_await pending->m_completion.wait_until(instant::max());
        work->m_placement = pending->m_grant;
    }
    else
    {
        auto request = make_placement_request(*work, choice->m_service);
        work->m_placement =
            co_await m_placement_client->acquire(std::move(request));
    }
    work->m_placement_unreported = !work->m_placement.m_storage_vm.empty();
    work->m_pending_placement = nullptr;
    const auto& reply = work->m_placement.m_reply;
    m_metrics.count(std::string("places_") + to_string(reply.m_outcome));
    if (reply.m_outcome != placement_outcome::no_room)
        co_return std::nullopt;
    settle(*work, 0);
    call_result out;
    out.m_response = refuse(*work, "all engine slots are in use",
                            retry_delay(milliseconds(reply.m_retry_after_ms),
                                        hash64(work->m_fields.m_id)));
    co_return out;
}

task<> proxy::request_other_placement(std::shared_ptr<call> work,
                                      std::shared_ptr<runner_query> choice)
{
    if (m_placement_client == nullptr || work->m_placement.m_storage_vm.empty())
        co_return;
    auto request = make_placement_request(*work, choice->m_service);
    for (const auto& id : choice->m_excluded)
    {
        if (const auto* row = m_runners.find(id))
            request.m_excluded.push_back(row->m_incarnation_hash);
    }
    work->m_placement =
        co_await m_placement_client->acquire(std::move(request));
    work->m_placement_unreported = !work->m_placement.m_storage_vm.empty();
}

const runner_row* proxy::placed_runner(const call& work,
                                       const runner_query& choice) const
{
    if (work.m_placement.m_reply.m_outcome != placement_outcome::placed)
        return nullptr;
    const auto* row =
        m_runners.find_incarnation_hash(work.m_placement.m_reply.m_runner);
    // The runner lists of the VMs may differ briefly.
    const bool usable = row != nullptr && m_runners.is_eligible(*row, choice) &&
                        row->m_info.m_service == choice.m_service;
    return usable ? row : nullptr;
}

void proxy::report_placement(call& work, const attempt_result& result,
                             std::uint32_t events)
{
    if (!std::exchange(work.m_placement_unreported, false))
        return;
    placement_report report;
    const auto* row = m_runners.find_incarnation(work.m_runner);
    report.m_runner = row != nullptr ? row->m_incarnation_hash : 0;
    report.m_end = end_of(result);
    const bool caller_ended =
        work.m_aborter->cause() == abort_cause::caller_left ||
        work.m_aborter->cause() == abort_cause::not_read;
    if (caller_ended && result.m_first_byte)
        // Not the engine's fault; an aborted run says nothing about its rate.
        report.m_end = placement_end::whole;
    else
    {
        const auto first = result.m_first_byte.value_or(result.m_duration);
        report.m_first_byte_ms = in_wire_ms(first);
        report.m_run_ms = in_wire_ms(result.m_duration - first);
        report.m_output_tokens = events * work.m_tokens_per_event;
    }
    m_placement_client->report_end(work.m_placement, report);
}

void proxy::release_placement(call& work)
{
    if (work.m_pending_placement && !work.m_pending_placement->m_done)
        work.m_pending_placement->m_abandoned = true;
    else if (work.m_pending_placement)
        m_placement_client->report_end(work.m_pending_placement->m_grant, {});
    work.m_pending_placement = nullptr;
    if (std::exchange(work.m_placement_unreported, false))
        m_placement_client->report_end(work.m_placement, {});
}

} // namespace pepperturn
