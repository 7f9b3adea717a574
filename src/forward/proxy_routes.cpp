// SPDX-License-Identifier: BSL-1.0
// Which route a request takes, and what is answered where there is none.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/scheduling/retry_after.hpp"

namespace pepperturn {

void proxy::look_up_route(call& work)
{
    work.m_config = m_config;
    work.m_config_revision = m_config_revision;
    if (!work.m_config)
        return;
    const auto target = work.m_request.target();
    work.m_route = find_route(*work.m_config, work.m_fields.m_host,
                              {target.data(), target.size()});
}

task<std::optional<upstream_response>>
proxy::choose_route(std::shared_ptr<call> work)
{
    look_up_route(*work);
    if (!work->m_config)
    {
        co_await wait_for_startup(work, [this] { return m_config != nullptr; });
        look_up_route(*work);
    }
    if (!work->m_config)
        co_return refuse(*work, "this VM has received no configuration yet",
                         retry_after_unconfigured);
    // A VM that has just started may have been told an old configuration.
    if (work->m_route == nullptr && !config_age_known())
    {
        co_await wait_for_startup(work, [this] { return config_age_known(); });
        look_up_route(*work);
    }
    if (work->m_route == nullptr)
        co_return refuse_unknown_route(*work);
    co_return std::nullopt;
}

upstream_response proxy::refuse_unknown_route(call& work)
{
    constexpr unsigned not_found = 404;
    if (!m_admission.m_config_age)
        return fail(work, not_found, "no route");
    const auto age = m_admission.m_config_age();
    work.m_reason = "config_age_ms=" + age_text(age) + ' ';
    if (age <= max_denial_age(m_admission.m_staleness_limits))
        return fail(work, not_found, "no route");
    // A newer configuration, which this VM cannot get, may have the route.
    work.m_reason += "no route; ";
    return refuse_stale_config(work);
}

} // namespace pepperturn
