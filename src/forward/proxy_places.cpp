// SPDX-License-Identifier: BSL-1.0
// Places at engines that a storage VM hands out: asked for, used, told the end
// of.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/home_regions.hpp"
#include "pepperturn/scheduling/refusal.hpp"

#include <algorithm>
#include <limits>

namespace pepperturn {

namespace {

std::uint32_t in_wire_ms(milliseconds span)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        span.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

place_end end_of(const attempt_result& result)
{
    if (result.m_outcome == attempt_outcome::not_run)
        return place_end::not_run;
    return result.m_outcome == attempt_outcome::answered && result.m_streamed
               ? place_end::whole
               : place_end::broken;
}

} // namespace

void proxy::place_by(place_client& places)
{
    m_places = &places;
}

place_question proxy::place_question_of(const call& work,
                                        const std::string& service)
{
    const auto& fields = work.m_fields;
    const auto rank = rank_of(work);
    place_question out;
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
    out.m_most_tokens = fields.m_most_tokens;
    out.m_expected_tokens = fields.m_expected_tokens;
    out.m_rank = rank;
    out.m_patience_ms = in_wire_ms(wait_patience(
        rank, fields.m_program_left, elapsed(m_time.now(), work.m_deadline)));
    if (fields.m_program_left)
        out.m_program_left_ms = in_wire_ms(*fields.m_program_left);
    out.m_availability_zone = m_availability_zone;
    if (const auto homes = home_regions(*work.m_route, work.m_workspace))
        out.m_regions = {homes->begin(), homes->end()};
    return out;
}

void proxy::ask_place(const std::shared_ptr<call>& work)
{
    // Of several services the conversation's own is known later.
    const auto& services = work->m_route->m_services;
    if (m_places == nullptr || services.size() != 1 ||
        !m_places->wants(work->m_fields.m_prompt_parts))
        return;
    const auto found =
        work->m_config->m_services.find(services.front().m_service);
    if (found == work->m_config->m_services.end() || !found->second.m_engine)
        return;
    auto asked = std::make_shared<place_wait>(m_io);
    work->m_place_asked = asked;
    spawn(m_io, "proxy.place",
          [](place_client& places, place_question question,
             std::shared_ptr<place_wait> state) -> task<> {
              state->m_grant = co_await places.take(std::move(question));
              state->m_done = true;
              if (state->m_abandoned)
                  places.tell_end(state->m_grant, {});
              state->m_changed.notify();
          }(*m_places, place_question_of(*work, found->first), asked));
}

task<std::optional<proxy::verdict>>
proxy::await_place(std::shared_ptr<call> work,
                   std::shared_ptr<runner_choice> choice)
{
    if (m_places == nullptr || !m_places->wants(work->m_fields.m_prompt_parts))
        co_return std::nullopt;
    if (const auto asked = work->m_place_asked)
    {
        while (!asked->m_done)
            co_await asked->m_changed.wait_until(instant::max());
        work->m_place = asked->m_grant;
    }
    else
    {
        auto question = place_question_of(*work, choice->m_service);
        work->m_place = co_await m_places->take(std::move(question));
    }
    work->m_place_open = !work->m_place.m_giver.empty();
    work->m_place_asked = nullptr;
    const auto& told = work->m_place.m_answer;
    m_metrics.count(std::string("places_") + to_string(told.m_outcome));
    if (told.m_outcome != place_outcome::no_room)
        co_return std::nullopt;
    settle(*work, 0);
    verdict out;
    out.m_answer = refuse(*work, "all engines are full",
                          come_back_after(milliseconds(told.m_retry_ms),
                                          hash64(work->m_fields.m_id)));
    co_return out;
}

task<> proxy::move_place(std::shared_ptr<call> work,
                         std::shared_ptr<runner_choice> choice)
{
    if (m_places == nullptr || work->m_place.m_giver.empty())
        co_return;
    auto question = place_question_of(*work, choice->m_service);
    for (const auto& id : choice->m_excluded)
    {
        if (const auto* row = m_runners.find(id))
            question.m_excluded.push_back(row->m_hash);
    }
    work->m_place = co_await m_places->take(std::move(question));
    work->m_place_open = !work->m_place.m_giver.empty();
}

const runner_row* proxy::placed_runner(const call& work,
                                       const runner_choice& choice) const
{
    if (work.m_place.m_answer.m_outcome != place_outcome::placed)
        return nullptr;
    const auto* row = m_runners.find_hashed(work.m_place.m_answer.m_runner);
    // The lists of runners may differ for a moment.
    const bool usable = row != nullptr && m_runners.may_use(*row, choice) &&
                        row->m_info.m_service == choice.m_service;
    return usable ? row : nullptr;
}

void proxy::end_place(call& work, const attempt_result& result,
                      std::uint32_t events)
{
    if (!std::exchange(work.m_place_open, false))
        return;
    place_report report;
    const auto* row = m_runners.find_incarnation(work.m_runner);
    report.m_runner = row != nullptr ? row->m_hash : 0;
    report.m_end = end_of(result);
    const bool left = work.m_aborter->cause() == abort_cause::caller_left ||
                      work.m_aborter->cause() == abort_cause::not_read;
    if (left && result.m_first_byte)
        // The engine did its part; what came says nothing of its pace.
        report.m_end = place_end::whole;
    else
    {
        const auto first = result.m_first_byte.value_or(result.m_took);
        report.m_first_byte_ms = in_wire_ms(first);
        report.m_run_ms = in_wire_ms(result.m_took - first);
        report.m_tokens = events * work.m_tokens_per_event;
    }
    m_places->tell_end(work.m_place, report);
}

void proxy::give_back_place(call& work)
{
    if (work.m_place_asked && !work.m_place_asked->m_done)
        work.m_place_asked->m_abandoned = true;
    else if (work.m_place_asked)
        m_places->tell_end(work.m_place_asked->m_grant, {});
    work.m_place_asked = nullptr;
    if (std::exchange(work.m_place_open, false))
        m_places->tell_end(work.m_place, {});
}

} // namespace pepperturn
