// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/owner_views.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

const cluster_view* find_set(const std::vector<cluster_view>& views,
                             std::uint32_t set)
{
    const auto found =
        std::find_if(views.begin(), views.end(),
                     [&](const cluster_view& row) { return row.m_set == set; });
    return found == views.end() ? nullptr : &*found;
}

/// Writers of all sets, with \p names in place of those of \p set.
member_names all_writers(const std::vector<cluster_view>& views,
                         std::uint32_t set, const member_names& names)
{
    member_names out = names;
    for (const auto& view : views)
    {
        if (view.m_set == set)
            continue;
        const auto more = writers_of(view);
        out.insert(out.end(), more.begin(), more.end());
    }
    return out;
}

member_names all_writers(const std::vector<cluster_view>& views)
{
    return all_writers(views, views.front().m_set, writers_of(views.front()));
}

/// The lists of writers that were in force one after the other, the last one
/// that of \p views; empty: some are unknown.
std::optional<std::vector<member_names>>
lists_since(const std::vector<cluster_view>& known,
            const std::vector<cluster_view>& views)
{
    std::vector<member_names> out;
    for (const auto& view : views)
    {
        const auto* before = find_set(known, view.m_set);
        if (before == nullptr)
            continue;
        auto missed = writers_between(*before, view);
        if (!missed)
            return std::nullopt;
        const auto last = writers_of(view);
        std::erase(*missed, last);
        if (missed->empty())
            continue;
        // The order in which the sets changed is unknown.
        if (!out.empty())
            return std::nullopt;
        std::reverse(missed->begin(), missed->end());
        for (const auto& names : *missed)
            out.push_back(all_writers(views, view.m_set, names));
    }
    if (!views.empty())
        out.push_back(all_writers(views));
    return out;
}

/// The lists of writers that were in force before, as far as the steps describe
/// them; empty: there were more changes than are recorded.
std::optional<std::vector<member_names>>
earlier_lists(const std::vector<cluster_view>& views)
{
    std::vector<member_names> out;
    for (const auto& view : views)
    {
        if (view.m_steps.size() >= max_view_steps)
            return std::nullopt;
        for (const auto& earlier : earlier_views(view))
            out.push_back(all_writers(views, view.m_set, earlier.m_writers));
    }
    return out;
}

} // namespace

bool is_settled(const owner_knowledge& owners, instant now,
                milliseconds takeover)
{
    const auto& periods = owners.m_history.m_periods;
    return std::all_of(periods.begin(), periods.end(), [&](const auto& row) {
        return row.m_replaced_at == instant::max() ||
               now - row.m_replaced_at > takeover;
    });
}

owner_knowledge restore_knowledge(const std::vector<cluster_view>& views,
                                  bool settled, instant now,
                                  milliseconds takeover)
{
    if (views.empty())
        return {};
    owner_knowledge out{.m_history = {}, .m_views = views};
    if (!settled)
    {
        const auto earlier = earlier_lists(views);
        if (!earlier)
            record_missed_members(out.m_history, now, takeover);
        else
            for (const auto& names : *earlier)
                record_members(out.m_history, names, now, takeover);
    }
    record_members(out.m_history, all_writers(views), now, takeover);
    return out;
}

bool apply_views(owner_knowledge& owners,
                 const std::vector<cluster_view>& views, instant now,
                 milliseconds takeover)
{
    const auto lists = lists_since(owners.m_views, views);
    owners.m_views = views;
    if (!lists)
    {
        record_missed_members(owners.m_history, now, takeover);
        (void)apply_views(owners, views, now, takeover);
        return false;
    }
    for (const auto& names : *lists)
        record_members(owners.m_history, names, now, takeover);
    return true;
}

} // namespace pepperturn
