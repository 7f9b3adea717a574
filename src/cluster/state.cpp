// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/state.hpp"

#include <algorithm>
#include <iterator>
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

/// True if \p news is newer than what is known of its set.
bool take_view(std::vector<cluster_view>& views, const cluster_view& news)
{
    const auto at =
        std::lower_bound(views.begin(), views.end(), news.m_set,
                         [](const cluster_view& row, std::uint32_t set) {
                             return row.m_set < set;
                         });
    if (at == views.end() || at->m_set != news.m_set)
    {
        views.insert(at, news);
        return true;
    }
    if (news.m_epoch <= at->m_epoch)
        return false;
    *at = news;
    return true;
}

bool take_retirement(std::vector<retirement>& rows, const retirement& news)
{
    const auto at =
        std::lower_bound(rows.begin(), rows.end(), news.m_vm,
                         [](const retirement& row, const std::string& vm) {
                             return row.m_vm < vm;
                         });
    if (at == rows.end() || at->m_vm != news.m_vm)
    {
        rows.insert(at, news);
        return true;
    }
    if (news.m_revision <= at->m_revision)
        return false;
    *at = news;
    return true;
}

template <class Value>
bool contains(const std::vector<Value>& values, const Value& wanted)
{
    return std::find(values.begin(), values.end(), wanted) != values.end();
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
    for (const auto& view : news.m_views)
    {
        if (take_view(state.m_views, view))
            change.m_views.push_back(view.m_set);
    }
    for (const auto& row : news.m_retirements)
    {
        if (take_retirement(state.m_retirements, row))
            change.m_retirements.push_back(row.m_vm);
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
        if (contains(change.m_runners, row.m_name))
            out.m_runners.push_back(row);
    }
    std::copy_if(state.m_views.begin(), state.m_views.end(),
                 std::back_inserter(out.m_views),
                 [&](const cluster_view& view) {
                     return contains(change.m_views, view.m_set);
                 });
    std::copy_if(state.m_retirements.begin(), state.m_retirements.end(),
                 std::back_inserter(out.m_retirements),
                 [&](const retirement& row) {
                     return contains(change.m_retirements, row.m_vm);
                 });
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
    out.m_views = state.m_views;
    out.m_retirements = state.m_retirements;
    return out;
}

bool is_retired(const cluster_state& state, const std::string& vm)
{
    return std::any_of(state.m_retirements.begin(), state.m_retirements.end(),
                       [&](const retirement& row) {
                           return row.m_vm == vm && !row.m_withdrawn;
                       });
}

std::size_t count_runners(const cluster_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_runners.begin(), state.m_runners.end(),
                      [](const runner_entry& row) { return !row.m_gone; }));
}

} // namespace pepperturn
