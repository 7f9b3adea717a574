// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/entry/entry_table.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

constexpr milliseconds retry_delay{30};
/// Added to the queue timeout, so that the owner's own result can arrive.
constexpr milliseconds owner_grace{1000};
/// How long a result is offered to owners before the call ends as unknown.
constexpr milliseconds report_timeout{60000};
/// Well below the heartbeat timeout, and longer than many ticks.
constexpr milliseconds pause_threshold{700};
constexpr int status_timeout = 504;
constexpr int status_bad_gateway = 502;

} // namespace

entry_table::entry_table(entry_port& port)
    : m_port(port), m_last_tick(port.now())
{}

void entry_table::start(const call_request& request,
                        std::shared_ptr<call_sink> sink)
{
    auto& entry = m_rows[request.m_id];
    entry.m_request = request;
    entry.m_sink = std::move(sink);
    entry.m_started = m_port.now();
    entry.m_started = m_port.now();
    entry.m_deadline = m_port.now() + request.m_queue_timeout + owner_grace;
    submit(request.m_id, entry);
}

void entry_table::submit(const call_id& id, row& entry)
{
    entry.m_generation += 1;
    entry.m_target_vm = entry.m_owner_hint;
    entry.m_owner_hint.clear();
    if (entry.m_target_vm.empty() || !m_port.alive(entry.m_target_vm))
        entry.m_target_vm =
            m_port.likely_owner(entry.m_request.m_session.m_program);
    if (entry.m_target_vm.empty())
    {
        entry.m_waiting = false;
        entry.m_retry_at = m_port.now() + retry_delay;
        return;
    }
    entry.m_waiting = true;
    // A resubmission does not extend the caller's queue timeout.
    auto request = entry.m_request;
    const auto waited = std::chrono::duration_cast<milliseconds>(
        m_port.now() - entry.m_started);
    request.m_queue_timeout =
        std::max(milliseconds{0}, request.m_queue_timeout - waited);
    m_port.submit_to(
        entry.m_target_vm, {request, entry.m_report},
        [this, id, generation = entry.m_generation, request,
         vm = entry.m_target_vm](const std::optional<decision>& made) {
            if (m_rows.contains(id))
                on_decision(id, generation, made);
            else if (made && std::holds_alternative<grant>(*made))
                decline_grant(vm, request, std::get<grant>(*made));
        });
}

void entry_table::decline_grant(const std::string& vm,
                                const call_request& request,
                                const grant& permit)
{
    auto report = report_for(permit);
    report.m_end = attempt_end::not_sent;
    report.m_no_retry = true;
    report.m_reason = "the call has already ended at its entry VM";
    m_port.submit_to(vm, {request, report},
                     [](const std::optional<decision>&) {});
}

void entry_table::on_decision(const call_id& id, std::uint32_t generation,
                              const std::optional<decision>& made)
{
    const auto found = m_rows.find(id);
    if (found->second.m_generation != generation)
        return;
    auto& entry = found->second;
    entry.m_waiting = false;
    if (!made)
    {
        entry.m_retry_at = m_port.now() + retry_delay;
        return;
    }
    if (const auto* permit = std::get_if<grant>(&*made))
    {
        if (was_paused())
        {
            // The owner may have ended the call as lost, or released the
            // program's memory: submit again instead of sending late.
            entry.m_retry_at = m_port.now();
            return;
        }
        use_grant(id, entry, *permit);
        return;
    }
    if (const auto* reply = std::get_if<answer>(&*made))
    {
        finish(id, *reply);
        return;
    }
    const auto& other = std::get<redirect>(*made);
    const bool is_new_owner =
        !other.m_owner_vm.empty() && other.m_owner_vm != entry.m_target_vm;
    entry.m_owner_hint = other.m_owner_vm;
    if (is_new_owner)
        submit(id, entry);
    else
        entry.m_retry_at = m_port.now() + retry_delay;
}

void entry_table::use_grant(const call_id& id, row& entry, const grant& permit)
{
    // Whatever an owner grants, an unrepeatable call that may have been sent by
    // this VM is not sent again.
    if (entry.m_sent && !entry.m_request.m_repeatable)
    {
        auto report = report_for(permit);
        report.m_end = attempt_end::aborted;
        report.m_reason = "already sent once";
        on_report(id, report);
        return;
    }
    entry.m_active = permit;
    entry.m_report.reset();
    entry.m_sent = true;
    m_port.send(
        permit, entry.m_request,
        [sink = entry.m_sink](const std::string& text) {
            sink->on_token(text);
        },
        [this, id](call_report report) { on_report(id, std::move(report)); });
}

void entry_table::on_report(const call_id& id, call_report report)
{
    const auto found = m_rows.find(id);
    if (found == m_rows.end())
        return;
    auto& entry = found->second;
    if (report.m_end == attempt_end::not_sent)
        entry.m_sent = false;
    if (!entry.m_sink->streams())
        report.m_no_retry = false;
    entry.m_active.reset();
    entry.m_report = std::move(report);
    entry.m_deadline = m_port.now() + report_timeout;
    entry.m_owner_hint = entry.m_target_vm;
    submit(id, entry);
}

void entry_table::finish(const call_id& id, const answer& reply)
{
    const auto found = m_rows.find(id);
    const auto sink = found->second.m_sink;
    m_rows.erase(found);
    sink->on_answer(reply);
}

void entry_table::abandon(const call_id& id, row& entry)
{
    answer reply;
    reply.m_call = id;
    // Only this VM could have sent the call, and it declines any later grant.
    reply.m_outcome = entry.m_sent ? outcome::unknown : outcome::not_run;
    reply.m_status = entry.m_sent ? status_bad_gateway : status_timeout;
    reply.m_reason = entry.m_sent ? "the result could not be recorded"
                                  : "no owner of the program was reachable";
    reply.m_retry_after = milliseconds{1000};
    LOG(INFO) << "event=entry_gave_up call=" << id << " sent=" << entry.m_sent;
    const auto vm = entry.m_target_vm;
    const auto request = entry.m_request;
    const bool withdraw = !entry.m_sent && !vm.empty();
    finish(id, reply);
    // An owner that still has the call queued can end it before its timeout.
    if (withdraw)
    {
        grant unused;
        unused.m_call = id;
        decline_grant(vm, request, unused);
    }
}

bool entry_table::was_paused() const
{
    return m_port.now() - m_last_tick > pause_threshold;
}

void entry_table::cancel(const call_id& call, std::uint32_t attempt)
{
    const auto found = m_rows.find(call);
    if (found == m_rows.end() || !found->second.m_active ||
        found->second.m_active->m_attempt != attempt)
        return;
    if (found->second.m_request.m_kind == call_kind::chat)
        m_port.cancel_sent(*found->second.m_active);
}

std::string entry_table::describe(const call_id& call) const
{
    const auto found = m_rows.find(call);
    if (found == m_rows.end())
        return {};
    const auto& entry = found->second;
    return std::string(entry.m_active    ? "sent"
                       : entry.m_waiting ? "waiting for "
                                         : "will retry after ") +
           entry.m_target_vm + (entry.m_report ? ", with a result" : "");
}

void entry_table::tick()
{
    const auto now = m_port.now();
    m_last_tick = now;
    std::vector<call_id> due;
    for (auto& [id, entry] : m_rows)
    {
        if (entry.m_active)
            continue;
        if (entry.m_waiting && m_port.alive(entry.m_target_vm))
        {
            if (now >= entry.m_deadline)
                due.push_back(id);
            continue;
        }
        if (entry.m_waiting || now >= entry.m_retry_at)
            due.push_back(id);
    }
    for (const auto& id : due)
    {
        auto& entry = m_rows.at(id);
        if (now >= entry.m_deadline)
            abandon(id, entry);
        else
            submit(id, entry);
    }
}

} // namespace pepperturn
