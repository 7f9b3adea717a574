// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/state.hpp"

#include <algorithm>
#include <map>

namespace pepperturn {

namespace {

/// Entries of runners that have gone are remembered, so that a VM that is
/// behind cannot bring them back. More than leave in some minutes.
constexpr std::size_t most_gone_entries = 512;
/// Several VMs tell every other one of a new configuration. Up to this size
/// that is cheaper than asking for it.
constexpr std::size_t most_told_config_bytes = 2048;

using entries_by_name = std::map<std::string, runner_entry>;

void take_entry(entries_by_name& rows, const runner_entry& news,
                std::vector<std::string>& changed)
{
    const auto found = rows.find(news.m_name);
    if (found == rows.end())
    {
        rows.emplace(news.m_name, news);
        if (!news.m_gone)
            changed.push_back(news.m_name);
        return;
    }
    auto& row = found->second;
    if (news.m_revision <= row.m_revision)
        return;
    const bool differs = news.m_text != row.m_text || news.m_gone != row.m_gone;
    row = news;
    if (differs)
        changed.push_back(news.m_name);
}

/// What a list lacks that is complete up to \p revision had gone by then.
void drop_absent(entries_by_name& rows, const cluster_state& news,
                 std::vector<std::string>& changed)
{
    std::vector<std::string> present;
    present.reserve(news.m_runners.size());
    for (const auto& row : news.m_runners)
        present.push_back(row.m_name);
    std::sort(present.begin(), present.end());
    for (auto& [name, row] : rows)
    {
        if (row.m_gone || row.m_revision > news.m_runners_revision ||
            std::binary_search(present.begin(), present.end(), name))
            continue;
        row = {name, {}, news.m_runners_revision, true};
        changed.push_back(name);
    }
}

void forget_oldest_gone(std::vector<runner_entry>& rows)
{
    std::vector<std::uint64_t> gone;
    for (const auto& row : rows)
    {
        if (row.m_gone)
            gone.push_back(row.m_revision);
    }
    if (gone.size() <= most_gone_entries)
        return;
    const auto newest_kept = gone.begin() + most_gone_entries;
    std::nth_element(gone.begin(), newest_kept, gone.end(), std::greater<>());
    const auto oldest = *newest_kept;
    std::erase_if(rows, [&](const runner_entry& row) {
        return row.m_gone && row.m_revision <= oldest;
    });
}

std::vector<std::string> merge_runners(cluster_state& state,
                                       const cluster_state& news)
{
    std::vector<std::string> changed;
    entries_by_name rows;
    for (auto& row : state.m_runners)
        rows.emplace(row.m_name, std::move(row));
    for (const auto& row : news.m_runners)
        take_entry(rows, row, changed);
    if (news.m_runners_revision > 0)
        drop_absent(rows, news, changed);
    state.m_runners.clear();
    for (auto& [name, row] : rows)
        state.m_runners.push_back(std::move(row));
    forget_oldest_gone(state.m_runners);
    state.m_runners_revision =
        std::max(state.m_runners_revision, news.m_runners_revision);
    return changed;
}

/// The configuration, or only its revision if it is large.
void tell_config(const cluster_state& state, cluster_state& out)
{
    out.m_config_revision = state.m_config_revision;
    if (state.m_config.size() <= most_told_config_bytes)
        out.m_config = state.m_config;
}

} // namespace

state_change merge_state(cluster_state& state, const cluster_state& news)
{
    state_change change;
    if (news.m_config_revision > state.m_config_revision &&
        !news.m_config.empty())
    {
        state.m_config_revision = news.m_config_revision;
        state.m_config = news.m_config;
        change.m_config = true;
    }
    if (!news.m_runners.empty() || news.m_runners_revision > 0)
        change.m_runners = merge_runners(state, news);
    if (news.m_view.m_epoch > state.m_view.m_epoch)
    {
        state.m_view = news.m_view;
        change.m_view = true;
    }
    return change;
}

cluster_state parts_of(const cluster_state& state, const state_change& change)
{
    cluster_state out;
    if (change.m_config)
        tell_config(state, out);
    for (const auto& row : state.m_runners)
    {
        if (std::find(change.m_runners.begin(), change.m_runners.end(),
                      row.m_name) != change.m_runners.end())
            out.m_runners.push_back(row);
    }
    if (change.m_view)
        out.m_view = state.m_view;
    return out;
}

cluster_state whole_of(const cluster_state& state)
{
    cluster_state out;
    tell_config(state, out);
    out.m_runners_revision = state.m_runners_revision;
    for (const auto& row : state.m_runners)
    {
        if (!row.m_gone)
            out.m_runners.push_back(row);
    }
    out.m_view = state.m_view;
    return out;
}

std::size_t count_runners(const cluster_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_runners.begin(), state.m_runners.end(),
                      [](const runner_entry& row) { return !row.m_gone; }));
}

} // namespace pepperturn
