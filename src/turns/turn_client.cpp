// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_client.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// How often members that have not answered are tried again.
constexpr milliseconds retry_interval{60};
/// How long the nearest member may be later with a chain than the quorum.
constexpr milliseconds chain_patience{30};
/// How long one member may take over a part of a chain before the next is
/// asked.
constexpr milliseconds fetch_patience{150};
/// Members beyond a quorum are asked only if it has not answered by then:
/// several times what it usually takes.
constexpr milliseconds quorum_patience{25};
/// A member that has missed two beats is not heard.
constexpr milliseconds heard_within{1200};
/// Without a word of any member for this long after it was asked, this VM is
/// cut off: they send beats twice a second, and the next VM may hear them.
constexpr milliseconds cut_off_patience{800};

} // namespace

/// One question to all members, repeated until enough have answered.
struct turn_client::round
{
    struct row
    {
        bool m_pending = false;
        std::optional<frame> m_answer;
    };

    round(asio::io_context& io, frame_body body)
        : m_body(std::move(body)), m_changed(io)
    {}

    frame_body m_body;
    /// The one member that is asked for the chain as well.
    std::string m_chain_from;
    /// Spreads the members that are asked first.
    std::uint64_t m_draw = 0;
    /// From then on every member is asked.
    instant m_ask_all_at{};
    std::uint64_t m_epoch = 0;
    std::map<std::string, row> m_rows;
    async_event m_changed;
    bool m_closed = false;

    [[nodiscard]] bool answered(const std::string& name) const
    {
        const auto found = m_rows.find(name);
        return found != m_rows.end() && found->second.m_answer;
    }
    [[nodiscard]] const begun_message* begun(const std::string& name) const
    {
        const auto found = m_rows.find(name);
        if (found == m_rows.end() || !found->second.m_answer)
            return nullptr;
        return std::get_if<begun_message>(&found->second.m_answer->m_body);
    }
};

turn_client::turn_client(asio::io_context& io, const clock& time,
                         member_links& links, std::string availability_zone,
                         std::uint32_t disk_losses)
    : m_io(io), m_time(time), m_links(links),
      m_availability_zone(std::move(availability_zone)),
      m_disk_losses(disk_losses)
{}

void turn_client::follow(const cluster_view& view)
{
    m_view = view;
    m_quorums = quorums_of(view, m_disk_losses);
}

bool turn_client::connected() const
{
    const auto now = m_time.now();
    return std::any_of(m_view.m_members.begin(), m_view.m_members.end(),
                       [&](const member& row) {
                           return m_links.connected(row.m_name) &&
                                  now - m_links.last_heard(row.m_name) <
                                      heard_within;
                       });
}

bool turn_client::cut_off_since(instant asked) const
{
    if (m_time.now() - asked < cut_off_patience)
        return false;
    return std::none_of(m_view.m_members.begin(), m_view.m_members.end(),
                        [&](const member& row) {
                            return m_links.last_heard(row.m_name) > asked;
                        });
}

std::vector<std::string> turn_client::first_members(std::uint64_t draw) const
{
    struct candidate
    {
        bool m_joining = false;
        bool m_far = false;
        std::uint64_t m_draw = 0;
        std::string m_name;

        // The linter takes the zero of a rewritten comparison for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const candidate&) const = default;
    };
    std::vector<candidate> candidates;
    const auto now = m_time.now();
    for (const auto& row : m_view.m_members)
    {
        if (takes_writes(row.m_state) && m_links.connected(row.m_name) &&
            now - m_links.last_heard(row.m_name) < heard_within)
            candidates.push_back(
                {row.m_state == member_state::joining,
                 row.m_availability_zone != m_availability_zone,
                 hash64(row.m_name, draw), row.m_name});
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t enough =
        std::max(m_quorums.m_write, m_quorums.m_read_all);
    candidates.resize(std::min(candidates.size(), enough));
    std::vector<std::string> out;
    out.reserve(candidates.size());
    for (auto& row : candidates)
        out.push_back(std::move(row.m_name));
    return out;
}

std::string turn_client::nearest_member() const
{
    std::string best;
    for (const auto& row : m_view.m_members)
    {
        if (row.m_state != member_state::full || !m_links.connected(row.m_name))
            continue;
        if (row.m_availability_zone == m_availability_zone)
            return row.m_name;
        if (best.empty())
            best = row.m_name;
    }
    return best;
}

void turn_client::send_round(const std::shared_ptr<round>& work)
{
    if (work->m_epoch != m_view.m_epoch)
    {
        // Answers under another view do not add up with those of this one.
        work->m_epoch = m_view.m_epoch;
        work->m_rows.clear();
        work->m_chain_from = nearest_member();
    }
    const bool ask_all = m_time.now() >= work->m_ask_all_at;
    const auto first =
        ask_all ? std::vector<std::string>{} : first_members(work->m_draw);
    for (const auto& target : m_view.m_members)
    {
        auto& row = work->m_rows[target.m_name];
        const bool wanted = ask_all || std::find(first.begin(), first.end(),
                                                 target.m_name) != first.end();
        // What leaves still tells what it holds.
        const bool useful =
            takes_writes(target.m_state) ||
            (target.m_state == member_state::leaving &&
             std::holds_alternative<begin_message>(work->m_body));
        if (!useful || row.m_pending || row.m_answer ||
            (!wanted && takes_writes(target.m_state)) ||
            !m_links.connected(target.m_name))
            continue;
        row.m_pending = true;
        auto body = work->m_body;
        if (auto* begin = std::get_if<begin_message>(&body))
            begin->m_want_chain = target.m_name == work->m_chain_from;
        m_links.call(target.m_name, std::move(body),
                     [this, work, name = target.m_name,
                      epoch = work->m_epoch](std::optional<frame> answer) {
                         if (work->m_closed || work->m_epoch != epoch)
                             return;
                         auto& asked = work->m_rows[name];
                         asked.m_pending = false;
                         if (answer &&
                             answer->m_status == frame_status::stale &&
                             answer->m_epoch < m_view.m_epoch)
                             m_links.tell_view(name);
                         if (answer && answer->m_status == frame_status::ok)
                             asked.m_answer = std::move(answer);
                         work->m_changed.notify();
                     });
    }
}

bool turn_client::wrote_enough(const round& work) const
{
    if (work.m_epoch != m_view.m_epoch)
        return false;
    std::uint32_t count = 0;
    for (const auto& row : m_view.m_members)
    {
        if (takes_writes(row.m_state) && work.answered(row.m_name))
            ++count;
    }
    return m_quorums.m_write > 0 && count >= m_quorums.m_write;
}

bool turn_client::read_enough(const round& work) const
{
    std::uint32_t full = 0;
    std::uint32_t leaving = 0;
    for (const auto& row : m_view.m_members)
    {
        if (!work.answered(row.m_name))
            continue;
        full += row.m_state == member_state::full ? 1 : 0;
        leaving += row.m_state == member_state::leaving ? 1 : 0;
    }
    return full >= m_quorums.m_read && full + leaving >= m_quorums.m_read_all;
}

bool turn_client::all_lack_parent(const round& work) const
{
    for (const auto& row : m_view.m_members)
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

task<bool> turn_client::complete_chain(std::shared_ptr<round> work,
                                       std::string parent,
                                       std::vector<turn_record>& chain,
                                       instant until)
{
    const auto* near = work->begun(work->m_chain_from);
    if (near != nullptr)
        chain = near->m_chain;
    // Newest first until the end, so that what is missing is appended.
    while (true)
    {
        const std::string missing =
            chain.empty() ? parent : chain.back().m_parent;
        if (missing.empty())
            break;
        bool grown = false;
        const auto members = m_view.m_members;
        for (const auto& row : members)
        {
            if (row.m_state == member_state::joining ||
                !m_links.connected(row.m_name))
                continue;
            // A local: GCC 12 destroys aggregate temporaries of an awaiting
            // expression twice.
            const frame_body question = fetch_message{missing};
            const auto answer = co_await m_links.ask(
                row.m_name, question,
                std::min(until, m_time.now() + fetch_patience));
            const auto* fetched =
                answer ? std::get_if<fetched_message>(&answer->m_body)
                       : nullptr;
            if (fetched == nullptr || fetched->m_chain.empty())
                continue;
            chain.insert(chain.end(), fetched->m_chain.begin(),
                         fetched->m_chain.end());
            grown = true;
            break;
        }
        if (!grown || m_time.now() >= until)
            co_return false;
    }
    std::reverse(chain.begin(), chain.end());
    co_return true;
}

task<begin_result> turn_client::begin(begin_request request, instant until)
{
    begin_message question;
    question.m_reservation = {request.m_program, request.m_attempt,
                              request.m_tokens, false};
    question.m_retention_ms = request.m_retention_ms;
    question.m_parent = request.m_parent;
    const auto work = std::make_shared<round>(m_io, question);
    work->m_draw = request.m_attempt.m_low;
    const auto begun_at = m_time.now();
    work->m_ask_all_at = begun_at + quorum_patience;
    begin_result result;
    const bool has_parent = !request.m_parent.empty();
    std::optional<instant> quorum_at;
    bool parent_found = !has_parent;
    while (m_time.now() < until && !cut_off_since(begun_at))
    {
        send_round(work);
        if (wrote_enough(*work) && read_enough(*work))
        {
            if (!quorum_at)
                quorum_at = m_time.now();
            for (const auto& [name, row] : work->m_rows)
            {
                const auto* begun = work->begun(name);
                parent_found =
                    parent_found || (begun != nullptr && begun->m_parent_found);
            }
            const bool chain_due = work->begun(work->m_chain_from) != nullptr ||
                                   m_time.now() >= *quorum_at + chain_patience;
            if (parent_found && (!has_parent || chain_due))
                break;
            if (all_lack_parent(*work))
                break;
            // Only every member together knows that a turn is not there.
            if (!parent_found && m_time.now() < work->m_ask_all_at)
            {
                work->m_ask_all_at = m_time.now();
                continue;
            }
        }
        const auto wake =
            quorum_at && m_time.now() < *quorum_at + chain_patience
                ? *quorum_at + chain_patience
                : m_time.now() + retry_interval;
        co_await work->m_changed.wait_until(std::min(until, wake));
    }
    if (!wrote_enough(*work) || !read_enough(*work))
    {
        work->m_closed = true;
        result.m_reason = "no quorum of storage VMs";
        co_return result;
    }
    joint_ledger ledger;
    for (const auto& [name, row] : work->m_rows)
    {
        if (const auto* begun = work->begun(name))
            join_ledger(ledger, begun->m_ledger);
    }
    for (const auto& [attempt, row] : ledger)
    {
        if (row.m_place.m_runner != 0)
            result.m_places.push_back(row.m_place);
    }
    const auto committed = committed_tokens(ledger, request.m_attempt);
    result.m_reason = "committed=" + std::to_string(committed) +
                      " budget=" + std::to_string(request.m_budget);
    bool chain_whole = !has_parent;
    if (has_parent && parent_found)
        chain_whole = co_await complete_chain(work, request.m_parent,
                                              result.m_chain, until);
    if (!fits_budget(ledger, question.m_reservation, request.m_budget))
        result.m_outcome = begin_outcome::over_budget;
    else if (chain_whole)
        result.m_outcome = begin_outcome::granted;
    else if (!parent_found && all_lack_parent(*work))
        result.m_outcome = begin_outcome::no_such_turn;
    else
        result.m_reason = "the chain is not all within reach";
    work->m_closed = true;
    co_return result;
}

task<bool> turn_client::keep(log_entry entry, instant until)
{
    const auto id = std::get<turn_record>(entry.m_what).m_attempt.m_low;
    const auto work =
        std::make_shared<round>(m_io, append_message{std::move(entry)});
    work->m_draw = id;
    const auto begun_at = m_time.now();
    work->m_ask_all_at = begun_at + quorum_patience;
    while (m_time.now() < until && !cut_off_since(begun_at))
    {
        send_round(work);
        if (wrote_enough(*work))
            break;
        const auto wake = m_time.now() < work->m_ask_all_at
                              ? work->m_ask_all_at
                              : m_time.now() + retry_interval;
        co_await work->m_changed.wait_until(std::min(until, wake));
    }
    const bool kept = wrote_enough(*work);
    work->m_closed = true;
    co_return kept;
}

void turn_client::settle(const begin_request& request, std::uint32_t tokens,
                         const prompt_place& place)
{
    const append_message body{{request.m_retention_ms,
                               reservation{request.m_program, request.m_attempt,
                                           tokens, true, place}}};
    for (const auto& row : m_view.m_members)
    {
        if (takes_writes(row.m_state))
            m_links.call(row.m_name, body, [](const std::optional<frame>&) {});
    }
}

} // namespace pepperturn
