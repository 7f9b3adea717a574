// SPDX-License-Identifier: BSL-1.0
// Admission by workspace: identifies a request's workspace, checks that the
// configuration is fresh enough, and enforces the workspace's rate limit.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/scheduling/retry_after.hpp"

#include <glog/logging.h>
#include <sstream>

namespace pepperturn {

namespace {

/// Jitter that is added to retry times, in milliseconds, so that refused
/// callers do not retry all at once.
constexpr std::uint64_t retry_jitter = 100;
/// A call of a program waits for its rate limit for at most 1/wait_part of the
/// time that the call and its program have left: a late program is worth more
/// than an abandoned one, and several such waits still fit.
constexpr milliseconds::rep wait_part = 8;
/// Upper bound of that wait: a caller that cannot be served within a second is
/// told when to retry, and does not occupy a connection meanwhile.
constexpr milliseconds max_wait{1000};

} // namespace

void proxy::enable_workspace_admission(workspace_admission admission)
{
    m_admission = std::move(admission);
}

bool proxy::config_age_known() const
{
    return !m_admission.m_config_age ||
           m_admission.m_config_age() != milliseconds::max();
}

bool proxy::config_is_fresh(const call& work) const
{
    if (work.m_workspace == nullptr || !m_admission.m_config_age)
        return true;
    return m_admission.m_config_age() <=
           max_use_age(m_admission.m_staleness_limits);
}

upstream_response proxy::refuse_stale_config(call& work)
{
    // Another VM, which the caller tries next, may be able to reach the store.
    work.m_keep_alive = false;
    m_metrics.count("refused_stale_config");
    return refuse(work, "the configuration on this VM may be outdated",
                  retry_after_isolated);
}

std::optional<upstream_response> proxy::admit_caller(call& work)
{
    constexpr unsigned unauthorized = 401;
    const auto& directory = work.m_config->m_directory;
    if (!directory || work.m_route->m_public)
        return std::nullopt;
    const auto given = decode_credentials(work.m_request, m_names);
    const auto age =
        m_admission.m_config_age ? m_admission.m_config_age() : milliseconds(0);
    const auto found =
        identify(*directory, given, age, m_admission.m_staleness_limits);
    if (found.m_verdict == identity_verdict::known)
    {
        work.m_workspace = found.m_workspace;
        return std::nullopt;
    }
    work.m_reason = "config_age_ms=" + age_text(age) + ' ';
    m_metrics.count(std::string("callers_") + to_string(found.m_verdict));
    if (found.m_verdict == identity_verdict::uncertain)
        return refuse_stale_config(work);
    const bool unknown = found.m_verdict == identity_verdict::unknown;
    auto response = fail(work, unauthorized,
                         unknown ? "unknown key" : std::string(given.m_error));
    response.m_fields.set(http::field::www_authenticate, m_names.m_key_scheme);
    return response;
}

std::shared_ptr<proxy::pending_quota>
proxy::request_quota(const std::shared_ptr<call>& work)
{
    if (work->m_workspace == nullptr || m_admission.m_quota == nullptr ||
        work->m_workspace->m_limit.m_rate_per_s <= 0)
        return nullptr;
    const auto& fields = work->m_fields;
    quota_request request;
    request.m_workspace = hash64(work->m_workspace->m_name);
    request.m_limit = work->m_workspace->m_limit;
    request.m_config_revision = work->m_config_revision;
    if (!fields.m_program.empty())
        request.m_program = hash64(fields.m_program);
    request.m_begins_program = work->m_route->m_stateful &&
                               fields.m_parent_turn.empty() &&
                               fields.m_program_remaining.has_value();
    auto remaining = elapsed(m_time.now(), work->m_deadline);
    if (fields.m_program_remaining)
        remaining = std::min(remaining, *fields.m_program_remaining);
    remaining = std::clamp(remaining / wait_part, milliseconds(0), max_wait);
    request.m_queue_timeout_ms = static_cast<std::uint32_t>(remaining.count());
    auto pending = std::make_shared<pending_quota>(m_io);
    spawn(m_io, "proxy.quota",
          [](quota_client& quota, quota_request what,
             std::shared_ptr<pending_quota> state) -> task<> {
              state->m_grant = co_await quota.acquire(what);
              state->m_done = true;
              state->m_completion.notify();
              if (state->m_abandoned)
                  quota.release(state->m_grant);
          }(*m_admission.m_quota, request, pending));
    return pending;
}

task<std::optional<upstream_response>>
proxy::await_quota(std::shared_ptr<call> work,
                   std::shared_ptr<pending_quota> pending)
{
    if (!pending)
        co_return std::nullopt;
    while (!pending->m_done)
        co_await pending->m_completion.wait_until(instant::max());
    work->m_quota_grant = pending->m_grant;
    const auto& grant = work->m_quota_grant;
    m_metrics.count(std::string("quota_") + to_string(grant.m_outcome));
    if (grant.m_outcome == quota_outcome::granted)
        co_return std::nullopt;
    const milliseconds spread(hash64(work->m_fields.m_id) % retry_jitter);
    std::ostringstream limit;
    limit << "limit of " << work->m_workspace->m_name << " ("
          << work->m_workspace->m_limit.m_rate_per_s << "/s + "
          << work->m_workspace->m_limit.m_burst << ", asked "
          << grant.m_owners_asked << ')';
    auto reason = limit.str();
    if (grant.m_outcome == quota_outcome::not_owner)
        co_return refuse(
            *work,
            reason + ": no decision received from any owner of the limit",
            retry_after_no_reply + spread);
    if (grant.m_request.m_begins_program)
        reason += " allows no further program now";
    constexpr unsigned too_many_requests = 429;
    auto response = refuse(*work, reason, grant.m_retry_after + spread);
    response.m_status = too_many_requests;
    co_return response;
}

task<bool> proxy::request_retry_quota(std::shared_ptr<call> work)
{
    // A grant covers one run; a second run needs another one.
    if (work->m_quota_grant.m_outcome != quota_outcome::granted ||
        work->m_quota_grant.m_owners_asked == 0)
        co_return true;
    auto request = work->m_quota_grant.m_request;
    request.m_begins_program = false;
    const auto grant = co_await m_admission.m_quota->acquire(request);
    co_return grant.m_outcome == quota_outcome::granted;
}

void proxy::abandon_quota(call& work,
                          const std::shared_ptr<pending_quota>& pending)
{
    if (!pending)
        return;
    if (pending->m_done)
        work.m_quota_grant = pending->m_grant;
    else
        pending->m_abandoned = true;
}

void proxy::count_workspace(const call& work, unsigned status, bool aborted)
{
    if (work.m_workspace == nullptr)
        return;
    constexpr unsigned first_failure = 400;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    const auto& grant = work.m_quota_grant;
    auto& counts = m_metrics.of_workspace(work.m_workspace->m_name);
    counts.increment(workspace_event::asked);
    if (grant.m_outcome == quota_outcome::granted &&
        grant.m_wait > milliseconds(0))
        counts.increment(workspace_event::waited);
    // A stream has been sent already; its status is 0 here.
    if (!aborted && status < first_failure)
    {
        counts.increment(workspace_event::served);
        const auto took = elapsed(work.m_arrived, m_time.now());
        if (!work.m_route->m_stateful && took > work.m_route->m_target_latency)
            counts.increment(workspace_event::late);
        return;
    }
    if (status == too_many_requests)
        counts.increment(grant.m_request.m_begins_program
                             ? workspace_event::refused_first_call
                             : workspace_event::refused_call);
    else if (status == unavailable && grant.m_owner.empty() &&
             grant.m_request.m_workspace != 0)
        counts.increment(workspace_event::refused_uncounted);
    else if (status == unavailable)
        counts.increment(workspace_event::refused_otherwise);
    else
        counts.increment(workspace_event::failed);
}

void proxy::release_quota(const call& work)
{
    if (m_admission.m_quota != nullptr && work.m_possible_runs == 0)
        m_admission.m_quota->release(work.m_quota_grant);
}

} // namespace pepperturn
