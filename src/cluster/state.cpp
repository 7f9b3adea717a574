// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/state.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string_view>
#include <utility>

namespace pepperturn {

namespace {

/// Tombstones are kept so that a VM with older state cannot bring removed
/// runners back: as many as there are runners, since all of them may be
/// replaced within seconds, and at least this many.
constexpr std::size_t min_tombstones = 512;
/// Several VMs send each new configuration to every other VM. Up to this size
/// that is cheaper than fetching it on request.
constexpr std::size_t max_pushed_config_bytes = 2048;

/// What an entry takes in a frame besides its name and text.
constexpr std::size_t entry_overhead_bytes = 40;

using runner_entries = std::vector<runner_entry>;

bool named_before(const runner_entry& left, const runner_entry& right)
{
    return left.m_name < right.m_name;
}

/// Merges updates of runners into a list that may be long: the work grows with
/// the update, not with the list.
class runner_merge
{
public:
    explicit runner_merge(runner_entries& rows) : m_rows(rows) {}

    void apply(runner_entry&& update)
    {
        auto* row = find_runner(m_rows, update.m_name);
        if (row == nullptr)
        {
            m_added.push_back(std::move(update));
            return;
        }
        if (update.m_revision <= row->m_revision)
            return;
        const bool differs =
            update.m_text != row->m_text || update.m_removed != row->m_removed;
        if (!differs)
        {
            row->m_revision = update.m_revision;
            return;
        }
        m_changed.push_back(update.m_name);
        *row = std::move(update);
    }

    /// Marks entries as removed that are missing from a list complete up to
    /// \p revision.
    /// \param since the list is about entries written after it; 0: all
    /// \param range of names that the list is about
    void drop_absent(const runner_entries& list, std::uint64_t since,
                     std::uint64_t revision, const runner_range& range)
    {
        std::vector<std::string_view> present;
        present.reserve(list.size());
        for (const auto& row : list)
            present.emplace_back(row.m_name);
        std::sort(present.begin(), present.end());
        auto row = std::upper_bound(
            m_rows.begin(), m_rows.end(), range.m_after,
            [](const std::string& name, const runner_entry& other) {
                return name < other.m_name;
            });
        for (; row != m_rows.end(); ++row)
        {
            if (!range.is_last() && row->m_name > range.m_until)
                return;
            const bool is_older = since > 0 && row->m_revision <= since;
            if (row->m_removed || is_older || row->m_revision > revision ||
                std::binary_search(present.begin(), present.end(),
                                   std::string_view(row->m_name)))
                continue;
            *row = {row->m_name, {}, revision, true};
            m_changed.push_back(row->m_name);
        }
    }

    /// Inserts the new entries in order.
    /// \returns names of the entries that changed
    std::vector<std::string> finish()
    {
        std::stable_sort(m_added.begin(), m_added.end(), named_before);
        const auto known = static_cast<std::ptrdiff_t>(m_rows.size());
        if (m_rows.empty())
            m_rows.reserve(m_added.size());
        for (auto& row : m_added)
        {
            const bool again =
                static_cast<std::ptrdiff_t>(m_rows.size()) > known &&
                m_rows.back().m_name == row.m_name;
            if (again && row.m_revision <= m_rows.back().m_revision)
                continue;
            if (again)
                m_rows.pop_back();
            m_rows.push_back(std::move(row));
        }
        for (auto row = m_rows.begin() + known; row != m_rows.end(); ++row)
        {
            if (!row->m_removed)
                m_changed.push_back(row->m_name);
        }
        std::inplace_merge(m_rows.begin(), m_rows.begin() + known, m_rows.end(),
                           named_before);
        return std::move(m_changed);
    }

private:
    runner_entries& m_rows;
    runner_entries m_added;
    std::vector<std::string> m_changed;
};

void drop_oldest_tombstones(cluster_state& state)
{
    auto& rows = state.m_runners;
    std::vector<std::uint64_t> removed;
    for (const auto& row : rows)
    {
        if (row.m_removed)
            removed.push_back(row.m_revision);
    }
    const auto max_kept =
        std::max(rows.size() - removed.size(), min_tombstones);
    if (removed.size() <= max_kept)
        return;
    // Half of them are dropped, so that this does not run for each removal.
    const auto newest_kept =
        removed.begin() + static_cast<std::ptrdiff_t>(max_kept / 2);
    std::nth_element(removed.begin(), newest_kept, removed.end(),
                     std::greater<>());
    const auto oldest = *newest_kept;
    std::erase_if(rows, [&](const runner_entry& row) {
        return row.m_removed && row.m_revision <= oldest;
    });
    state.m_tombstones_since = std::max(state.m_tombstones_since, oldest);
}

/// True if the update continues the known state without a gap.
bool continues(const cluster_state& state, const cluster_state& update)
{
    return update.m_runners_since > 0 &&
           update.m_runners_since <= state.m_runners_revision;
}

/// Moves the entries out of \p update.
std::vector<std::string> merge_runners(cluster_state& state,
                                       cluster_state& update)
{
    runner_merge merge(state.m_runners);
    const bool is_list =
        update.m_runners_revision > 0 && update.m_runners_since == 0;
    const auto range = update.m_range.value_or(runner_range{});
    const bool continued = continues(state, update);
    const bool exhausts = update.m_exhaustive && continued;
    const bool complete = is_list && range.is_last();
    // Before the entries are moved out of the list.
    if (is_list || exhausts)
        merge.drop_absent(update.m_runners, update.m_runners_since,
                          update.m_runners_revision, range);
    bool any_removed = false;
    for (auto& row : update.m_runners)
    {
        any_removed = any_removed || row.m_removed;
        merge.apply(std::move(row));
    }
    update.m_runners.clear();
    auto changed = merge.finish();
    if (is_list || any_removed)
        drop_oldest_tombstones(state);
    // Neither shows runners that were added and removed before it.
    if (complete || exhausts)
        state.m_tombstones_since =
            std::max(state.m_tombstones_since, update.m_runners_revision);
    if (complete || continued)
        state.m_runners_revision =
            std::max(state.m_runners_revision, update.m_runners_revision);
    return changed;
}

/// Adds the configuration, or only its revision if it is large.
void add_config(const cluster_state& state, cluster_state& out)
{
    out.m_config_revision = state.m_config_revision;
    if (state.m_config.size() <= max_pushed_config_bytes)
        out.m_config = state.m_config;
}

/// True if \p update is newer than the known view of its set.
bool apply_view(std::vector<cluster_view>& views, const cluster_view& update)
{
    const auto at =
        std::lower_bound(views.begin(), views.end(), update.m_set,
                         [](const cluster_view& row, std::uint32_t set) {
                             return row.m_set < set;
                         });
    if (at == views.end() || at->m_set != update.m_set)
    {
        views.insert(at, update);
        return true;
    }
    if (update.m_epoch <= at->m_epoch)
        return false;
    *at = update;
    return true;
}

/// Applies a request of the operator that is newer than the known one for the
/// same key.
/// \param key what a request is about; rows are sorted by it
template <class Order, class Key>
bool apply_order(std::vector<Order>& rows, const Order& update, Key key)
{
    const auto at =
        std::lower_bound(rows.begin(), rows.end(), std::invoke(key, update),
                         [&](const Order& row, const std::string& target) {
                             return std::invoke(key, row) < target;
                         });
    if (at == rows.end() || std::invoke(key, *at) != std::invoke(key, update))
    {
        rows.insert(at, update);
        return true;
    }
    if (update.m_revision <= at->m_revision)
        return false;
    *at = update;
    return true;
}

template <class Value>
bool contains(const std::vector<Value>& values, const Value& target)
{
    return std::find(values.begin(), values.end(), target) != values.end();
}

} // namespace

const runner_entry* find_runner(const std::vector<runner_entry>& rows,
                                std::string_view name)
{
    const auto at =
        std::lower_bound(rows.begin(), rows.end(), name,
                         [](const runner_entry& row, std::string_view target) {
                             return row.m_name < target;
                         });
    return at == rows.end() || at->m_name != name ? nullptr : &*at;
}

runner_entry* find_runner(std::vector<runner_entry>& rows,
                          std::string_view name)
{
    const auto& known = std::as_const(rows);
    const auto* found = find_runner(known, name);
    return found == nullptr
               ? nullptr
               : &rows[static_cast<std::size_t>(found - known.data())];
}

state_change merge_state(cluster_state& state, const cluster_state& update)
{
    return merge_state(state, cluster_state(update));
}

state_change merge_state(cluster_state& state, cluster_state&& update)
{
    state_change change;
    if (update.m_config_revision > state.m_config_revision &&
        !update.m_config.empty())
    {
        state.m_config_revision = update.m_config_revision;
        state.m_config = std::move(update.m_config);
        change.m_config = true;
    }
    if (!update.m_runners.empty() || update.m_runners_revision > 0)
        change.m_runners = merge_runners(state, update);
    for (const auto& view : update.m_views)
    {
        if (apply_view(state.m_views, view))
            change.m_views.push_back(view.m_set);
    }
    for (const auto& row : update.m_retirements)
    {
        if (apply_order(state.m_retirements, row, &retirement::m_vm))
            change.m_retirements.push_back(row.m_vm);
    }
    for (const auto& row : update.m_evacuations)
    {
        if (apply_order(state.m_evacuations, row,
                        &evacuation::m_availability_zone))
            change.m_evacuations.push_back(row.m_availability_zone);
    }
    return change;
}

cluster_state changed_parts(const cluster_state& state,
                            const state_change& change)
{
    cluster_state out;
    if (change.m_config)
        add_config(state, out);
    out.m_runners.reserve(change.m_runners.size());
    for (const auto& name : change.m_runners)
    {
        if (const auto* row = find_runner(state.m_runners, name))
            out.m_runners.push_back(*row);
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
    std::copy_if(
        state.m_evacuations.begin(), state.m_evacuations.end(),
        std::back_inserter(out.m_evacuations), [&](const evacuation& row) {
            return contains(change.m_evacuations, row.m_availability_zone);
        });
    return out;
}

cluster_state full_state(const cluster_state& state)
{
    cluster_state out;
    add_config(state, out);
    out.m_runners_revision = state.m_runners_revision;
    std::copy_if(state.m_runners.begin(), state.m_runners.end(),
                 std::back_inserter(out.m_runners),
                 [](const runner_entry& row) { return !row.m_removed; });
    out.m_views = state.m_views;
    out.m_retirements = state.m_retirements;
    out.m_evacuations = state.m_evacuations;
    return out;
}

bool needs_full_list(const cluster_state& state, std::uint64_t known)
{
    return known == 0 || known < state.m_tombstones_since ||
           known > state.m_runners_revision;
}

cluster_state list_part(const cluster_state& state, const std::string& after,
                        std::size_t max_bytes)
{
    cluster_state out;
    if (after.empty())
    {
        add_config(state, out);
        out.m_views = state.m_views;
        out.m_retirements = state.m_retirements;
        out.m_evacuations = state.m_evacuations;
    }
    out.m_runners_revision = state.m_runners_revision;
    auto& range = out.m_range.emplace(runner_range{after, {}});
    auto row = std::upper_bound(
        state.m_runners.begin(), state.m_runners.end(), after,
        [](const std::string& name, const runner_entry& other) {
            return name < other.m_name;
        });
    for (std::size_t bytes = 0; row != state.m_runners.end(); ++row)
    {
        if (bytes >= max_bytes)
        {
            range.m_until = std::prev(row)->m_name;
            break;
        }
        if (row->m_removed)
            continue;
        bytes += row->m_name.size() + row->m_text.size() + entry_overhead_bytes;
        out.m_runners.push_back(*row);
    }
    return out;
}

void add_all_changes(const cluster_state& state, std::uint64_t since,
                     cluster_state& out)
{
    out.m_runners_revision = state.m_runners_revision;
    out.m_runners_since = since;
    out.m_runners.clear();
    std::copy_if(
        state.m_runners.begin(), state.m_runners.end(),
        std::back_inserter(out.m_runners),
        [&](const runner_entry& row) { return row.m_revision > since; });
}

cluster_state updates_since(const cluster_state& state, std::uint64_t known)
{
    if (needs_full_list(state, known))
        return full_state(state);
    cluster_state out;
    add_config(state, out);
    add_all_changes(state, known, out);
    out.m_views = state.m_views;
    out.m_retirements = state.m_retirements;
    out.m_evacuations = state.m_evacuations;
    return out;
}

bool is_retired(const cluster_state& state, const std::string& vm)
{
    return std::any_of(state.m_retirements.begin(), state.m_retirements.end(),
                       [&](const retirement& row) {
                           return row.m_vm == vm && !row.m_withdrawn;
                       });
}

std::uint64_t newest_epoch(const cluster_state& state)
{
    std::uint64_t newest = 0;
    for (const auto& view : state.m_views)
        newest = std::max(newest, view.m_epoch);
    return newest;
}

std::vector<std::string> evacuated_zones(const cluster_state& state)
{
    std::vector<std::string> out;
    for (const auto& row : state.m_evacuations)
    {
        if (!row.m_withdrawn)
            out.push_back(row.m_availability_zone);
    }
    return out;
}

std::size_t count_runners(const cluster_state& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_runners.begin(), state.m_runners.end(),
                      [](const runner_entry& row) { return !row.m_removed; }));
}

} // namespace pepperturn
