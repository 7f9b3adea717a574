// SPDX-License-Identifier: BSL-1.0
/// \file
/// Owners of a limit on a virtual clock: their views, their grants, and the
/// faults that a test injects.
#pragma once

#include "pepperturn/cluster/owner_views.hpp"
#include "pepperturn/tenancy/freshness.hpp"
#include "pepperturn/tenancy/limiter.hpp"

#include <algorithm>
#include <deque>

namespace pepperturn::test {

inline constexpr milliseconds takeover{5000};
inline constexpr staleness_limits bounds{takeover, milliseconds(3000)};
inline constexpr std::uint64_t some_workspace = 77;
inline constexpr request_limit usual_limit{100, 100};
inline constexpr milliseconds window{5000};

/// A VM that can reach the store learns of a configuration change within this
/// time, so its configuration is never older.
inline constexpr milliseconds config_known_within{2000};
/// Maximum queue timeout that edge VMs request.
inline constexpr std::uint32_t max_queue_timeout_ms = 1000;
/// A change of the limit is enforced after this time.
inline constexpr milliseconds config_applied_within{3000};

/// Maximum requests in one window that the operator tolerates.
inline double max_tolerated(const request_limit& limit)
{
    return (limit.m_rate_per_s * to_seconds(window) + limit.m_burst) * 1.1 + 20;
}
/// Maximum grants of all owners together in one window.
inline double max_granted(const request_limit& limit)
{
    return max_in_window(limit, 1, {});
}

struct owner_vm
{
    explicit owner_vm(std::string name) : m_name(std::move(name)) {}

    std::string m_name;
    owner_knowledge m_owners;
    limiter m_limiter;
    instant m_started{};
    instant m_views_at{};
};

/// Faults that a test injects.
enum class fault : std::uint8_t
{
    nothing,
    /// Owners grant regardless of the age of their views.
    freshness,
    /// New owners do not wait for the takeover time.
    takeover,
    /// Restarted owners assume that nothing was granted before.
    memory,
    /// VMs do not request the views between two that they have received.
    lineage,
    /// Callers keep waiting for slots granted by owners that have restarted.
    pending_slots,
    /// Views that a restarted VM reads from its disk are treated as settled.
    settling
};

inline member full_member(const std::string& name)
{
    return {name, {}, {}, 0, member_state::full, false};
}

class owner_fleet
{
public:
    explicit owner_fleet(std::size_t size, fault injected = fault::nothing)
        : m_fault(injected)
    {
        m_now = instant{} + std::chrono::seconds(100);
        for (std::size_t i = 0; i < size; ++i)
        {
            m_vms.emplace_back("vm-" + std::to_string(i));
            m_view.m_members.push_back(full_member(m_vms.back().m_name));
        }
        for (auto& vm : m_vms)
            read_views(vm);
        advance(std::chrono::seconds(20));
        for (auto& vm : m_vms)
            read_views(vm);
    }

    [[nodiscard]] owner_vm& vm(std::size_t index)
    {
        return m_vms[index % m_vms.size()];
    }
    void advance(milliseconds span)
    {
        m_now += span;
    }
    /// Reads the views from the store; the response is immediate.
    void read_views(owner_vm& vm)
    {
        if (m_fault == fault::lineage)
            vm.m_owners.m_views.clear();
        (void)apply_views(vm.m_owners, {m_view}, m_now, takeover_of());
        vm.m_views_at = m_now;
    }
    void toggle_member(std::size_t index)
    {
        const auto& name = vm(index).m_name;
        auto next = m_view;
        if (find_member(m_view, name) == nullptr)
            next.m_members.push_back(full_member(name));
        else if (m_view.m_members.size() > 1)
            next = without(m_view, name);
        else
            return;
        m_view = append_step(m_view, std::move(next));
        ++m_view.m_epoch;
    }
    void restart(owner_vm& vm, bool keeps_disk)
    {
        vm.m_limiter = limiter{};
        // Callers that wait for a granted slot lose their connection.
        if (m_fault != fault::pending_slots)
            std::erase_if(m_grants, [&](const grant& each) {
                return each.m_owner == &vm && each.m_at > m_now;
            });
        vm.m_started = m_now;
        vm.m_views_at = {};
        const bool settled = m_fault == fault::settling ||
                             is_settled(vm.m_owners, m_now, takeover_of());
        vm.m_owners = keeps_disk
                          ? restore_knowledge(vm.m_owners.m_views, settled,
                                              m_now, takeover_of())
                          : owner_knowledge{};
    }
    /// Sends \p count requests until one is refused.
    /// \returns how many were granted
    int request_grants(owner_vm& vm, int count,
                       const request_limit& limit = usual_limit,
                       std::uint64_t revision = 1)
    {
        return request_grants(
            vm, count, {some_workspace, limit, revision, 0, false, false});
    }
    int request_grants(owner_vm& vm, int count, const quota_request& request)
    {
        const auto remaining =
            m_fault == fault::freshness
                ? milliseconds::max()
                : remaining_use_time(bounds, vm.m_views_at, m_now);
        const auto target = owner_count_for(request);
        const auto& history = vm.m_owners.m_history;
        const auto share = remaining
                               ? share_of(history, vm.m_name, some_workspace,
                                          m_now, takeover_of(), target)
                               : 0;
        const auto since = std::max(
            vm.m_started, granting_since(history, vm.m_name, some_workspace,
                                         share, takeover_of(), target));
        int granted = 0;
        for (int i = 0; i < count; ++i)
        {
            const auto reply = vm.m_limiter.handle(
                limit_queue_timeout(request, remaining), share,
                m_fault == fault::memory ? instant{} : since, m_now);
            if (reply.m_outcome != quota_outcome::granted)
                break;
            ++granted;
            m_last_grant = reply.m_packed_grant;
            m_grants.push_back(
                {m_now + wait_of_grant(reply.m_packed_grant), &vm});
        }
        return granted;
    }
    /// Returns the last grant, unused, to \p vm, which gave it.
    void return_grant(owner_vm& vm, quota_request request)
    {
        request.m_is_return = true;
        request.m_packed_grant = m_last_grant;
        (void)vm.m_limiter.handle(request, 0, instant{}, m_now);
        m_grants.pop_back();
    }
    /// Changes the operator's limit; VMs that can reach the store learn of it
    /// within config_known_within.
    void change_limit(const request_limit& limit)
    {
        m_limits.push_back({m_now, limit});
    }
    /// Builds a request with the newest limit, or with the one before it if the
    /// last change may not have reached the VM yet.
    [[nodiscard]] quota_request make_request(bool knows_newest) const
    {
        const bool may_lag =
            m_limits.size() > 1 &&
            m_now - m_limits.back().m_from < config_known_within;
        const auto known = m_limits.size() - (may_lag && !knows_newest ? 2 : 1);
        return {some_workspace, m_limits[known].m_limit, known + 1, 0, false,
                false};
    }
    /// Returns the maximum grants in any window.
    [[nodiscard]] std::size_t max_granted_in_window() const
    {
        std::size_t max_count = 0;
        each_window([&](instant, std::size_t count) {
            max_count = std::max(max_count, count);
        });
        return max_count;
    }
    /// Returns whether no window holds more than the operator tolerates under
    /// any limit that may have been in force in it.
    [[nodiscard]] bool keeps_limits() const
    {
        bool keeps = true;
        each_window([&](instant end, std::size_t count) {
            double max_count = 0;
            for (std::size_t i = 0; i < m_limits.size(); ++i)
            {
                const bool over =
                    i + 1 < m_limits.size() &&
                    m_limits[i + 1].m_from + config_applied_within <
                        end - window;
                if (!over && m_limits[i].m_from <= end)
                    max_count =
                        std::max(max_count, max_tolerated(m_limits[i].m_limit));
            }
            keeps = keeps && static_cast<double>(count) <= max_count;
        });
        return keeps;
    }
    /// Returns the maximum grants in any \p span.
    [[nodiscard]] std::size_t max_granted_in(milliseconds span) const
    {
        std::size_t max_count = 0;
        each_span(span, [&](instant, std::size_t count) {
            max_count = std::max(max_count, count);
        });
        return max_count;
    }
    [[nodiscard]] std::size_t owners() const
    {
        return owners_of(writers_of(m_view), some_workspace).size();
    }

private:
    [[nodiscard]] milliseconds takeover_of() const
    {
        return m_fault == fault::takeover ? milliseconds(0) : takeover;
    }

    struct grant
    {
        instant m_at{};
        const owner_vm* m_owner = nullptr;
    };
    struct limit_period
    {
        instant m_from{};
        request_limit m_limit;
    };

    template <typename Visit> void each_window(const Visit& visit) const
    {
        each_span(window, visit);
    }
    template <typename Visit>
    void each_span(milliseconds span, const Visit& visit) const
    {
        std::vector<instant> grants;
        grants.reserve(m_grants.size());
        for (const auto& each : m_grants)
            grants.push_back(each.m_at);
        std::sort(grants.begin(), grants.end());
        std::deque<instant> inside;
        for (const auto at : grants)
        {
            inside.push_back(at);
            while (at - inside.front() >= span)
                inside.pop_front();
            visit(at, inside.size());
        }
    }

    fault m_fault;
    std::vector<limit_period> m_limits{{instant{}, usual_limit}};
    std::uint32_t m_last_grant = 0;
    instant m_now{};
    std::vector<owner_vm> m_vms;
    cluster_view m_view{.m_epoch = 1};
    std::vector<grant> m_grants;
};

} // namespace pepperturn::test
