// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/detours.hpp"

#include "pepperturn/cluster/link_silence.hpp"
#include "pepperturn/cluster/relay_limits.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A neighbour in the same region answers a connect within milliseconds.
constexpr milliseconds connect_patience{60};
/// A neighbour that has said nothing for this long is left for the next one:
/// several times what a member's answer takes through it.
constexpr milliseconds neighbour_patience{40};
/// One that speaks, but has no answer to this question yet: its member may be
/// syncing a disk.
constexpr milliseconds answer_patience{150};
/// How often questions under way are looked at.
constexpr milliseconds watch_interval{20};
/// Longest time that a question is held: callers give up sooner, and what
/// comes later is of no use to them.
constexpr milliseconds question_patience{1500};
/// A neighbour is left alone after a failure, twice as long after each more.
constexpr milliseconds first_avoidance{500};
constexpr std::uint32_t most_doublings = 3;
/// After a neighbour's word that it does not reach a member or has no room.
constexpr milliseconds cannot_for{1000};
/// Between signs of life of a member: as often as beats.
constexpr milliseconds probe_interval{400};
constexpr milliseconds longest_probe_interval{3200};

} // namespace

detours::detours(asio::io_context& io, const clock& time, std::string self_name,
                 std::string availability_zone)
    : m_io(io), m_time(time), m_self_name(std::move(self_name)),
      m_availability_zone(std::move(availability_zone))
{}

void detours::follow(std::vector<neighbour> neighbours)
{
    if (neighbours.empty())
        return;
    auto before = std::exchange(m_rows, {});
    for (auto& who : neighbours)
    {
        const auto found =
            std::find_if(before.begin(), before.end(),
                         [&](const auto& row) { return row->m_who == who; });
        if (found == before.end())
        {
            m_rows.push_back(std::make_shared<neighbour_row>());
            m_rows.back()->m_who = std::move(who);
            continue;
        }
        m_rows.push_back(*found);
        before.erase(found);
    }
    for (const auto& row : before)
    {
        row->m_dropped = true;
        lose(*row);
    }
}

void detours::want_news(bool wanted)
{
    if (std::exchange(m_wants_news, wanted) == wanted)
        return;
    for (const auto& row : m_rows)
    {
        if (row->m_link)
            row->m_link->send(
                {0, 0, frame_status::ok, hello_message{m_self_name, wanted}});
    }
}

void detours::stop()
{
    m_stopped = true;
    for (const auto& row : std::exchange(m_rows, {}))
    {
        row->m_dropped = true;
        lose(*row);
    }
}

std::vector<neighbour_facts>
detours::facts_for(const std::string& member,
                   const std::set<std::string>& tried) const
{
    std::vector<neighbour_facts> out;
    out.reserve(m_rows.size());
    for (const auto& row : m_rows)
    {
        const auto cannot = row->m_cannot_until.find(member);
        out.push_back(
            {row->m_who.m_name, row->m_who.m_availability_zone,
             tried.contains(row->m_who.m_name), row->m_open.size(),
             row->m_avoid_until,
             cannot == row->m_cannot_until.end() ? instant{} : cannot->second});
    }
    return out;
}

bool detours::hopeful(const std::string& member) const
{
    return next_neighbour(facts_for(member, {}), member, m_availability_zone,
                          m_time.now())
        .has_value();
}

void detours::ask(const std::string& member, const char* reason,
                  const frame& question, frame_done done, milliseconds patience)
{
    constexpr std::size_t length_bytes = 4;
    auto bytes = encode_frame(question).substr(length_bytes);
    if (bytes.size() > most_relayed_ask_bytes)
    {
        done(std::nullopt);
        return;
    }
    m_members[member].m_reason = reason;
    const auto id = m_next_question++;
    auto& row = m_questions[id];
    row.m_member = member;
    row.m_frame = {id, 0, frame_status::ok,
                   relayed_message{member, std::move(bytes)}};
    row.m_done = std::move(done);
    row.m_patience = patience;
    // An asker with little time has gone elsewhere by then.
    row.m_until = m_time.now() +
                  (patience < usual_silence ? 2 * patience : question_patience);
    ++m_counts.m_asked;
    try_next(id);
    start_watch();
}

void detours::try_next(std::uint64_t id)
{
    auto& question = m_questions.at(id);
    const auto choice =
        next_neighbour(facts_for(question.m_member, question.m_tried),
                       question.m_member, m_availability_zone, m_time.now());
    if (!choice)
    {
        if (!is_open(id))
            finish(id, std::nullopt);
        return;
    }
    const auto row = m_rows[*choice];
    question.m_tried.insert(row->m_who.m_name);
    row->m_open.insert(id);
    question.m_last_try = m_time.now();
    question.m_last_neighbour = row->m_who.m_name;
    if (row->m_link)
    {
        row->m_link->send(question.m_frame);
        return;
    }
    row->m_queued.push_back(id);
    if (!std::exchange(row->m_connecting, true))
        spawn(m_io, "detours.connect", connect(row));
}

task<> detours::connect(std::shared_ptr<neighbour_row> row)
{
    std::string reason;
    const auto link = co_await connect_frames(
        m_io, row->m_who.m_address, connect_patience, reason,
        most_relayed_answer_bytes + relay_frame_overhead);
    row->m_connecting = false;
    if (row->m_dropped || m_stopped)
        co_return;
    if (!link)
    {
        lose(*row);
        co_return;
    }
    row->m_link = link;
    row->m_heard = m_time.now();
    // The link holds its handlers, so they must not hold the row.
    link->start(
        [this, weak = std::weak_ptr(row)](const frame& value) {
            if (const auto held = weak.lock())
                take_frame(held, value);
        },
        [this, weak = std::weak_ptr(row)](const std::string&) {
            if (const auto held = weak.lock())
                lose(*held);
        });
    link->send(
        {0, 0, frame_status::ok, hello_message{m_self_name, m_wants_news}});
    for (const auto id : std::exchange(row->m_queued, {}))
    {
        const auto question = m_questions.find(id);
        if (question != m_questions.end() && row->m_link)
            row->m_link->send(question->second.m_frame);
    }
}

void detours::lose(neighbour_row& row)
{
    if (const auto link = std::exchange(row.m_link, nullptr))
        link->close("neighbour left");
    row.m_queued.clear();
    if (!row.m_dropped)
        avoid(row);
    for (const auto id : std::exchange(row.m_open, {}))
    {
        if (m_questions.contains(id) && !is_open(id))
            try_next(id);
    }
}

bool detours::is_open(std::uint64_t id) const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& row) {
        return row->m_open.contains(id);
    });
}

void detours::avoid(neighbour_row& row)
{
    const auto doublings = std::min(row.m_failures++, most_doublings);
    row.m_avoid_until = m_time.now() + first_avoidance * (1U << doublings);
}

void detours::give_up(neighbour_row& row, std::uint64_t id)
{
    // Others that were asked meanwhile may still answer.
    if (row.m_open.erase(id) > 0 && !is_open(id))
        try_next(id);
}

void detours::take_frame(const std::shared_ptr<neighbour_row>& row,
                         const frame& value)
{
    row->m_heard = m_time.now();
    row->m_failures = 0;
    row->m_avoid_until = {};
    if (const auto* news = std::get_if<cluster_state>(&value.m_body))
    {
        if (m_on_state)
            m_on_state(*news);
        return;
    }
    const auto question = m_questions.find(value.m_call);
    const auto* told = std::get_if<relayed_message>(&value.m_body);
    if (told == nullptr || question == m_questions.end() ||
        !row->m_open.contains(value.m_call) ||
        told->m_member != question->second.m_member)
        return;
    std::string reason;
    auto answer = value.m_status == frame_status::ok
                      ? decode_frame(told->m_frame, reason)
                      : std::nullopt;
    if (answer)
    {
        take_answer(*row, value.m_call, std::move(*answer));
        return;
    }
    row->m_cannot_until[told->m_member] = m_time.now() + cannot_for;
    give_up(*row, value.m_call);
}

void detours::take_answer(neighbour_row& row, std::uint64_t id, frame answer)
{
    auto& member = m_members[m_questions.at(id).m_member];
    member.m_heard = m_time.now();
    if (!std::exchange(member.m_begun, true))
        LOG(INFO) << "event=relay_begun member=" << m_questions.at(id).m_member
                  << " through=" << row.m_who.m_name
                  << " reason=" << member.m_reason;
    finish(id, std::move(answer));
}

void detours::finish(std::uint64_t id, std::optional<frame> answer)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end())
        return;
    const auto done = std::move(found->second.m_done);
    m_questions.erase(found);
    for (const auto& row : m_rows)
        row->m_open.erase(id);
    if (!answer)
        ++m_counts.m_unanswered;
    done(std::move(answer));
}

void detours::start_watch()
{
    if (!m_questions.empty() && !std::exchange(m_watching, true))
        spawn(m_io, "detours.watch", watch_questions());
}

task<> detours::watch_questions()
{
    while (!m_questions.empty())
    {
        const auto before = m_time.now();
        co_await sleep_for(m_io, watch_interval);
        // What came while this process did not run is read first.
        if (m_time.now() - before >= longest_lag)
            co_await sleep_for(m_io, watch_interval);
        std::vector<std::uint64_t> ids;
        ids.reserve(m_questions.size());
        for (const auto& [id, question] : m_questions)
            ids.push_back(id);
        for (const auto id : ids)
            look_at(id);
    }
    m_watching = false;
}

void detours::look_at(std::uint64_t id)
{
    const auto found = m_questions.find(id);
    if (found == m_questions.end())
        return;
    const auto now = m_time.now();
    auto& question = found->second;
    if (now >= question.m_until)
    {
        finish(id, std::nullopt);
        return;
    }
    const auto row =
        std::find_if(m_rows.begin(), m_rows.end(), [&](const auto& candidate) {
            return candidate->m_who.m_name == question.m_last_neighbour;
        });
    const bool speaks =
        row != m_rows.end() && (*row)->m_heard > question.m_last_try;
    const auto patience = std::min(
        question.m_patience, speaks ? answer_patience : neighbour_patience);
    if (now - question.m_last_try < patience)
        return;
    if (row != m_rows.end() && !speaks && (*row)->m_avoid_until <= now)
        avoid(**row);
    try_next(id);
}

void detours::probe(const std::string& member, const char* reason)
{
    auto& row = m_members[member];
    const auto now = m_time.now();
    if (row.m_probing || now < row.m_next_probe ||
        now - row.m_heard < probe_interval || !hopeful(member))
        return;
    row.m_probing = true;
    ask(
        member, reason, {0, 0, frame_status::ok, want_freshness_message{}},
        [this, member](const std::optional<frame>& answer) {
            const auto found = m_members.find(member);
            if (found != m_members.end())
                note_probe(found->second, answer.has_value());
        },
        answer_patience);
}

void detours::note_probe(member_row& row, bool answered) const
{
    row.m_probing = false;
    row.m_probe_interval =
        answered ? probe_interval
                 : std::clamp(2 * row.m_probe_interval, probe_interval,
                              longest_probe_interval);
    row.m_next_probe = m_time.now() + row.m_probe_interval;
}

void detours::end(const std::string& member)
{
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return;
    if (found->second.m_begun)
        LOG(INFO) << "event=relay_ended member=" << member;
    m_members.erase(found);
}

instant detours::last_heard(const std::string& member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? instant{} : found->second.m_heard;
}

} // namespace pepperturn
