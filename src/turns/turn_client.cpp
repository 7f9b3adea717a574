// SPDX-License-Identifier: BSL-1.0
#include "turn_round.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Interval at which the request is repeated to members that have not replied.
constexpr milliseconds retry_interval{60};
/// How much later than the quorum the nearest member may send the history.
constexpr milliseconds history_timeout{30};
/// Members beyond a quorum are sent the request only if the quorum has not
/// replied by then: several times its usual latency.
constexpr milliseconds quorum_timeout{25};
/// If no member has sent anything for this long after the request, this VM is
/// treated as partitioned: members send heartbeats twice a second, and another
/// VM may reach them.
constexpr milliseconds partition_timeout{800};

} // namespace

turn_client::turn_client(asio::io_context& io, const clock& time,
                         member_links& links, std::string availability_zone,
                         std::uint32_t disk_losses)
    : m_io(io), m_time(time), m_links(links),
      m_availability_zone(std::move(availability_zone)),
      m_disk_losses(disk_losses)
{}

void turn_client::follow(const std::vector<cluster_view>& views)
{
    std::vector<set_row> sets;
    for (const auto& view : views)
    {
        const auto* known = find_set(view.m_set);
        const bool same =
            known != nullptr && known->m_view.m_epoch == view.m_epoch;
        sets.push_back({view, quorums_of(view, m_disk_losses),
                        same ? known->m_since : m_time.now()});
    }
    m_sets = std::move(sets);
}

const turn_client::set_row* turn_client::find_set(std::uint32_t set) const
{
    const auto found =
        std::find_if(m_sets.begin(), m_sets.end(), [&](const set_row& row) {
            return row.m_view.m_set == set;
        });
    return found == m_sets.end() ? nullptr : &*found;
}

const turn_client::set_row* turn_client::set_for(const id_key& program) const
{
    if (m_sets.empty())
        return nullptr;
    return find_set(set_of(program.m_low, m_sets.front().m_view.m_set_count));
}

bool turn_client::connected() const
{
    const auto now = m_time.now();
    return std::any_of(m_sets.begin(), m_sets.end(), [&](const set_row& set) {
        return std::any_of(set.m_view.m_members.begin(),
                           set.m_view.m_members.end(), [&](const member& row) {
                               return m_links.connected(row.m_name) &&
                                      now - m_links.last_seen(row.m_name) <
                                          liveness_timeout;
                           });
    });
}

bool turn_client::partitioned_since(instant sent_at) const
{
    if (m_time.now() - sent_at < partition_timeout)
        return false;
    return std::none_of(m_sets.begin(), m_sets.end(), [&](const set_row& set) {
        return std::any_of(set.m_view.m_members.begin(),
                           set.m_view.m_members.end(), [&](const member& row) {
                               return m_links.last_seen(row.m_name) > sent_at;
                           });
    });
}

std::vector<std::string>
turn_client::first_members(const set_row& set, std::uint64_t tiebreak) const
{
    struct candidate
    {
        bool m_joining = false;
        zone_distance m_distance = zone_distance::same_zone;
        std::uint64_t m_tiebreak = 0;
        std::string m_name;

        // The linter takes the zero of a rewritten comparison for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const candidate&) const = default;
    };
    std::vector<candidate> candidates;
    for (const auto& row : set.m_view.m_members)
    {
        if (takes_writes(row.m_state) && m_links.reachable(row.m_name))
            candidates.push_back(
                {row.m_state == member_state::joining,
                 distance_between(m_zones, row.m_availability_zone,
                                  m_availability_zone),
                 hash64(row.m_name, tiebreak), row.m_name});
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t enough =
        std::max(set.m_quorums.m_write, set.m_quorums.m_read_all);
    candidates.resize(std::min(candidates.size(), enough));
    std::vector<std::string> out;
    out.reserve(candidates.size());
    for (auto& row : candidates)
        out.push_back(std::move(row.m_name));
    return out;
}

std::string turn_client::nearest_member(const set_row& set) const
{
    std::string best;
    auto nearest = zone_distance::other_region;
    for (const auto& row : set.m_view.m_members)
    {
        if (row.m_state != member_state::full || !m_links.connected(row.m_name))
            continue;
        const auto distance = distance_between(m_zones, row.m_availability_zone,
                                               m_availability_zone);
        if (!best.empty() && distance >= nearest)
            continue;
        best = row.m_name;
        nearest = distance;
    }
    return best;
}

bool turn_client::stored_within(const id_key& program,
                                const std::set<std::string>& regions) const
{
    const auto* set = set_for(program);
    if (set == nullptr)
        return false;
    const auto& members = set->m_view.m_members;
    return std::all_of(members.begin(), members.end(), [&](const member& row) {
        return regions.contains(region_of(m_zones, row.m_availability_zone));
    });
}

void turn_client::request_from(const std::shared_ptr<round>& work,
                               const member& target)
{
    auto& asked = work->m_rows[target.m_name];
    asked.m_pending = true;
    if (asked.m_last == member_reply::not_asked)
        asked.m_last = member_reply::none;
    auto body = work->m_body;
    if (auto* begin = std::get_if<begin_message>(&body))
        begin->m_want_history = target.m_name == work->m_history_member;
    const auto take = [this, work, name = target.m_name,
                       epoch = work->m_epoch](std::optional<frame> reply) {
        if (work->m_closed || work->m_epoch != epoch)
            return;
        auto& reply_row = work->m_rows[name];
        reply_row.m_pending = false;
        reply_row.m_last = reply_of(reply);
        const auto* set = set_for(work->m_program);
        const bool is_behind =
            reply && reply->m_status == frame_status::stale && set != nullptr &&
            reply->m_epoch < set->m_view.m_epoch;
        if (is_behind)
            m_links.send_view(name, set->m_view);
        if (reply && reply->m_status == frame_status::ok)
            reply_row.m_reply = std::move(reply);
        // Most refusals last longer than a round trip: a member that loads its
        // disk would be asked without end. One that has just been sent the view
        // accepts the next request.
        else if (reply_row.m_refusals++ > 0 || !is_behind)
            reply_row.m_ask_at = m_time.now() + retry_interval;
        work->m_changed.notify();
    };
    m_links.call(target.m_name, work->m_epoch, std::move(body), take);
}

void turn_client::send_round(const std::shared_ptr<round>& work)
{
    const auto* set = set_for(work->m_program);
    if (set == nullptr)
        return;
    if (work->m_epoch != set->m_view.m_epoch)
    {
        // Replies under different views must not be counted as one quorum.
        work->m_epoch = set->m_view.m_epoch;
        work->m_rows.clear();
        work->m_history_member = nearest_member(*set);
    }
    const bool request_all = m_time.now() >= work->m_request_all_at;
    const auto first = request_all
                           ? std::vector<std::string>{}
                           : first_members(*set, work->m_random_tiebreak);
    // A leaving member still reports what it stores.
    const bool reads = std::holds_alternative<begin_message>(work->m_body);
    const auto members = set->m_view.m_members;
    for (const auto& target : members)
    {
        const auto& row = work->m_rows[target.m_name];
        const bool writes = takes_writes(target.m_state);
        const bool selected =
            request_all ||
            std::find(first.begin(), first.end(), target.m_name) != first.end();
        const bool useful =
            writes ? selected
                   : reads && target.m_state == member_state::leaving;
        if (useful && !row.m_pending && !row.m_reply &&
            m_time.now() >= row.m_ask_at && m_links.connected(target.m_name))
            request_from(work, target);
    }
}

bool turn_client::wrote_enough(const round& work) const
{
    const auto* set = set_for(work.m_program);
    if (set == nullptr || work.m_epoch != set->m_view.m_epoch)
        return false;
    std::uint32_t count = 0;
    for (const auto& row : set->m_view.m_members)
    {
        if (takes_writes(row.m_state) && work.has_reply(row.m_name))
            ++count;
    }
    return set->m_quorums.m_write > 0 && count >= set->m_quorums.m_write;
}

bool turn_client::read_enough(const round& work) const
{
    const auto* set = set_for(work.m_program);
    if (set == nullptr)
        return false;
    return is_read_quorum(
        set->m_view, set->m_quorums,
        [&](const std::string& name) { return work.has_reply(name); });
}

bool turn_client::all_lack_parent(const round& work) const
{
    const auto* set = set_for(work.m_program);
    if (set == nullptr || set->m_view.m_gap_epoch != 0)
        return false;
    for (const auto& row : set->m_view.m_members)
    {
        if (row.m_state == member_state::joining ||
            row.m_state == member_state::lost)
            continue;
        const auto* begun = work.begun(row.m_name);
        if (begun == nullptr || begun->m_parent_found)
            return false;
    }
    return true;
}

task<> turn_client::await_quorum(std::shared_ptr<round> work, bool has_parent,
                                 instant deadline)
{
    const auto begun_at = m_time.now();
    work->m_request_all_at = begun_at + quorum_timeout;
    std::optional<instant> quorum_at;
    while (m_time.now() < deadline && !partitioned_since(begun_at))
    {
        send_round(work);
        if (wrote_enough(*work) && read_enough(*work))
        {
            if (!has_parent)
                co_return;
            if (!quorum_at)
                quorum_at = m_time.now();
            // A read quorum that lacks the turn shows that this set has not
            // acknowledged it: one silent member must not keep it from being
            // found elsewhere.
            if (!work->parent_found())
                co_return;
            if (work->begun(work->m_history_member) != nullptr ||
                m_time.now() >= *quorum_at + history_timeout)
                co_return;
        }
        const auto wake =
            quorum_at && m_time.now() < *quorum_at + history_timeout
                ? *quorum_at + history_timeout
                : m_time.now() + retry_interval;
        co_await work->m_changed.wait_until(std::min(deadline, wake));
    }
}

task<> turn_client::await_replies(std::shared_ptr<round> work,
                                  bool (turn_client::*enough)(const round&)
                                      const,
                                  instant deadline)
{
    const auto begun_at = m_time.now();
    work->m_request_all_at = begun_at + quorum_timeout;
    while (m_time.now() < deadline && !partitioned_since(begun_at))
    {
        send_round(work);
        if ((this->*enough)(*work))
            break;
        const auto wake = m_time.now() < work->m_request_all_at
                              ? work->m_request_all_at
                              : m_time.now() + retry_interval;
        co_await work->m_changed.wait_until(std::min(deadline, wake));
    }
}

joint_ledger turn_client::join_ledgers(const round& work)
{
    joint_ledger out;
    for (const auto& [name, row] : work.m_rows)
    {
        if (const auto* begun = work.begun(name))
            join_ledger(out, begun->m_ledger);
    }
    return out;
}

task<begin_result> turn_client::begin(begin_request request, instant deadline)
{
    return begin(std::move(request), deadline, history_options());
}

task<begin_result> turn_client::begin(begin_request request, instant deadline,
                                      history_options options)
{
    begin_message message;
    message.m_reservation = {request.m_program, request.m_attempt,
                             request.m_tokens, false};
    message.m_retention_ms = request.m_retention_ms;
    message.m_parent = request.m_parent;
    const auto work = std::make_shared<round>(m_io, request.m_program, message);
    work->m_random_tiebreak = request.m_attempt.m_low;
    const bool has_parent = !request.m_parent.empty();
    begin_result result;
    co_await await_quorum(work, has_parent, deadline);
    if (!wrote_enough(*work) || !read_enough(*work))
    {
        work->m_closed = true;
        const auto* set = set_for(request.m_program);
        result.m_reason =
            "no quorum of storage VMs, set=" +
            (set == nullptr ? "unknown" : std::to_string(set->m_view.m_set));
        result.m_evidence = explain(*work, {});
        co_return result;
    }
    const auto ledger = join_ledgers(*work);
    for (const auto& [attempt, row] : ledger)
    {
        if (row.m_prompt_location.m_runner != 0)
            result.m_prompt_locations.push_back(row.m_prompt_location);
    }
    result.m_unsettled = unsettled_of(ledger, request.m_attempt);
    const auto committed = committed_tokens(ledger, request.m_attempt);
    result.m_reason = "committed=" + std::to_string(committed) +
                      " budget=" + std::to_string(request.m_budget);
    search_result found;
    const bool fits =
        fits_budget(ledger, message.m_reservation, request.m_budget);
    if (has_parent && fits)
        found = co_await find_history(work, request, deadline,
                                      options.m_deadline.value_or(deadline),
                                      options);
    work->m_closed = true;
    if (!fits)
        result.m_outcome = begin_outcome::over_budget;
    else if (!has_parent || !found.m_history.empty())
        result.m_outcome = begin_outcome::granted;
    else if (found.m_not_found)
        result.m_outcome = begin_outcome::no_such_turn;
    else if (found.m_out_of_memory)
        result.m_outcome = begin_outcome::out_of_memory;
    else
        result.m_reason = "turn history could not be fetched completely";
    if (result.m_outcome != begin_outcome::granted)
        result.m_evidence = explain(*work, found);
    if (result.m_outcome == begin_outcome::over_budget)
        result.m_evidence.m_fault = begin_fault::over_budget;
    result.m_history = std::move(found.m_history);
    co_return result;
}

task<std::optional<std::vector<reservation>>>
turn_client::read_unsettled(id_key program, instant deadline)
{
    begin_message message;
    // Members that do not know of reading alone store this, to no effect.
    message.m_reservation = {program, {}, 0, true};
    message.m_read_only = true;
    const auto work = std::make_shared<round>(m_io, program, message);
    co_await await_replies(work, &turn_client::read_enough, deadline);
    work->m_closed = true;
    if (!read_enough(*work))
        co_return std::nullopt;
    co_return unsettled_of(join_ledgers(*work), {});
}

task<bool> turn_client::store(log_entry entry, instant deadline)
{
    const auto& turn = std::get<turn_record>(entry.m_what);
    const auto program = turn.m_program;
    const auto tiebreak = turn.m_attempt.m_low;
    const auto id = caller_turn_id(turn.m_id);
    const log_entry settled{
        entry.m_retention_ms,
        reservation{turn.m_program, turn.m_attempt, turn.m_tokens, true}};
    const auto work = std::make_shared<round>(m_io, program,
                                              append_message{std::move(entry)});
    work->m_random_tiebreak = tiebreak;
    const auto begun_at = m_time.now();
    co_await await_replies(work, &turn_client::wrote_enough, deadline);
    const bool stored = wrote_enough(*work);
    work->m_closed = true;
    auto evidence = observe(*work);
    if (!stored)
    {
        evidence.m_fault = begin_fault::too_few_writers;
        observe_links(evidence);
    }
    LOG(INFO) << "event=turn_stored id=" << id << " stored=" << stored
              << " ms=" << elapsed(begun_at, m_time.now()).count() << ' '
              << describe(evidence);
    if (stored)
        settle_elsewhere(*work, settled);
    co_return stored;
}

void turn_client::settle_elsewhere(const round& work, const log_entry& settled)
{
    const auto* set = set_for(work.m_program);
    if (set == nullptr)
        return;
    for (const auto& row : set->m_view.m_members)
    {
        if (takes_writes(row.m_state) && !work.has_reply(row.m_name))
            m_links.call(row.m_name, set->m_view.m_epoch,
                         append_message{settled},
                         [](const std::optional<frame>&) {});
    }
}

void turn_client::settle(const begin_request& request, std::uint32_t tokens,
                         const prompt_location& location)
{
    const auto* set = set_for(request.m_program);
    if (set == nullptr)
        return;
    const append_message body{{request.m_retention_ms,
                               reservation{request.m_program, request.m_attempt,
                                           tokens, true, location}}};
    for (const auto& row : set->m_view.m_members)
    {
        if (takes_writes(row.m_state))
            m_links.call(row.m_name, set->m_view.m_epoch, body,
                         [](const std::optional<frame>&) {});
    }
}

} // namespace pepperturn
