// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/member_links.hpp"

#include "pepperturn/cluster/relay_limits.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A beat that tells of the platform's store within this is good news.
constexpr milliseconds fresh_store{2500};
/// How often a connection is looked at that may be of no more use.
constexpr milliseconds unused_check{1000};
/// Why such a connection is closed.
constexpr const char* unused_reason = "not used any more";
} // namespace

member_links::member_links(asio::io_context& io, const clock& time,
                           std::string self_name)
    : m_io(io), m_time(time), m_self_name(std::move(self_name)),
      m_alone_since(time.now())
{}

void member_links::on_state(
    std::function<void(const std::string&, const cluster_state&)> handler)
{
    m_on_state = std::move(handler);
}

void member_links::add_row(const std::string& name, const std::string& address)
{
    auto fresh = std::make_shared<link_row>(m_io);
    fresh->m_name = name;
    fresh->m_address = address;
    // Silence counts from now on.
    fresh->m_heard = m_time.now();
    m_rows[name] = fresh;
    spawn(m_io, "member_links.connect", keep_connected(fresh));
}

void member_links::seek(const std::vector<std::string>& addresses)
{
    if (m_following)
        return;
    for (const auto& address : addresses)
        add_row(address, address);
}

void member_links::follow(const std::vector<member>& members)
{
    m_following = true;
    auto before = std::exchange(m_rows, {});
    for (const auto& row : members)
    {
        if (row.m_name == m_self_name)
            continue;
        if (auto known = take_row(before, row))
            m_rows[row.m_name] = std::move(known);
        else
            add_row(row.m_name, row.m_address);
    }
    for (const auto& [name, row] : before)
    {
        row->m_dropped = true;
        row->m_wake.notify();
        fail_waiting(*row);
        if (m_detours != nullptr)
            m_detours->end(name);
        if (const auto link = row->m_link)
            link->close("not followed any more");
    }
    greet_anew();
}

std::shared_ptr<member_links::link_row>
member_links::take_row(std::map<std::string, std::shared_ptr<link_row>>& rows,
                       const member& target)
{
    // A seed is known by its address until the members are: its connection
    // goes on under its name.
    for (const auto& key : {target.m_name, target.m_address})
    {
        const auto found = rows.find(key);
        if (found == rows.end() || found->second->m_address != target.m_address)
            continue;
        auto out = std::move(found->second);
        rows.erase(found);
        out->m_name = target.m_name;
        return out;
    }
    return nullptr;
}

void member_links::subscribe(std::vector<std::string> sources)
{
    if (m_sources == sources)
        return;
    m_sources = std::move(sources);
    // Seeds have no names yet; follow() gives them theirs.
    if (m_following)
        greet_anew();
}

void member_links::greet_anew()
{
    wake_needed();
    for (const auto& [name, row] : m_rows)
    {
        const bool told = row->m_told_wants == wants_news_of(name) &&
                          row->m_told_seeks == !m_following;
        if (row->m_link && !told)
            greet(*row);
    }
}

bool member_links::wants_news_of(const std::string& name) const
{
    return !m_sources || std::find(m_sources->begin(), m_sources->end(),
                                   name) != m_sources->end();
}

void member_links::greet(link_row& row)
{
    row.m_told_wants = wants_news_of(row.m_name);
    row.m_told_seeks = !m_following;
    row.m_link->send(
        {0, 0, frame_status::ok,
         hello_message{m_self_name, row.m_told_wants, m_relay_address,
                       m_availability_zone,
                       m_known_runners ? m_known_runners() : 0, !m_following}});
}

void member_links::stop()
{
    m_stopped = true;
    follow({});
}

dial_times member_links::choose_times(unsigned failures) const
{
    return choose_dial_times({elapsed(m_alone_since, m_time.now()), failures});
}

task<> member_links::keep_connected(std::shared_ptr<link_row> row)
{
    unsigned failures = 0;
    while (!row->m_dropped && !m_stopped)
    {
        if (!needed(*row))
        {
            failures = 0;
            co_await row->m_wake.wait_until(instant::max());
            continue;
        }
        std::string reason;
        const auto times = choose_times(failures);
        auto link = co_await connect_frames(m_io, row->m_address,
                                            times.m_patience, reason);
        if (row->m_dropped || m_stopped)
            co_return;
        row->m_failed = !link;
        if (!link)
        {
            row->m_failed_at = m_time.now();
            fail_waiting(*row);
            if (failures++ == 0)
                LOG(WARNING) << "event=storage_unreachable vm=" << row->m_name
                             << " address=" << row->m_address << " reason=\""
                             << reason << '"';
            co_await sleep_for(m_io, choose_times(failures).m_pause);
            continue;
        }
        failures = 0;
        const auto closed_reason = co_await serve_link(row, link);
        if (closed_reason == unused_reason)
            LOG(INFO) << "event=storage_released vm=" << row->m_name;
        else
            LOG(WARNING) << "event=storage_lost vm=" << row->m_name
                         << " reason=\"" << closed_reason << '"';
    }
}

task<std::string> member_links::serve_link(std::shared_ptr<link_row> row,
                                           std::shared_ptr<frame_link> link)
{
    async_event closed(m_io);
    std::string reason;
    row->m_link = link;
    row->m_number = ++m_last_number;
    note_heard(row->m_name, *row);
    link->start(
        [this, row](frame value) { take_frame(*row, std::move(value)); },
        [&closed, &reason](const std::string& why) {
            reason = why;
            closed.notify();
        });
    greet(*row);
    send_waiting(*row);
    LOG(INFO) << "event=storage_connected vm=" << row->m_name
              << " address=" << row->m_address;
    while (link->open())
    {
        co_await closed.wait_until(m_time.now() + unused_check);
        if (link->open() && !needed(*row) && row->m_calls.empty())
            link->close(unused_reason);
    }
    row->m_link = nullptr;
    row->m_failed = reason != unused_reason;
    row->m_failed_at = m_time.now();
    end_calls(row->m_name, *row);
    note_lost();
    co_return reason;
}

void member_links::note_lost()
{
    const bool alone =
        std::none_of(m_rows.begin(), m_rows.end(), [](const auto& row) {
            return row.second->m_link != nullptr;
        });
    if (alone)
        m_alone_since = m_time.now();
}

void member_links::take_frame(link_row& row, frame value)
{
    note_heard(row.m_name, row);
    if (value.m_call != 0)
    {
        row.m_answered = row.m_heard;
        const auto found = row.m_calls.find(value.m_call);
        if (found == row.m_calls.end())
            return;
        const auto done = std::move(found->second.m_done);
        row.m_calls.erase(found);
        done(std::move(value));
        return;
    }
    if (const auto* state = std::get_if<cluster_state>(&value.m_body))
    {
        // Whoever takes it may learn the sender's name from it, so it is told
        // by reference.
        if (m_on_state)
            m_on_state(row.m_name, *state);
    }
    else if (const auto* beat = std::get_if<beat_message>(&value.m_body))
        take_beat(row, *beat);
}

void member_links::take_beat(link_row& row, const beat_message& beat)
{
    const milliseconds age{beat.m_store_age_ms};
    if (age > fresh_store)
        return;
    const auto heard = m_time.now() - age;
    m_store_heard = std::max(m_store_heard, heard);
    if (!beat.m_watches)
        return;
    row.m_watched = std::max(row.m_watched, heard);
    m_store_watched = std::max(m_store_watched, heard);
}

bool member_links::watches_store(const std::string& name) const
{
    const auto found = m_rows.find(name);
    return found != m_rows.end() && found->second->m_link &&
           m_time.now() - found->second->m_watched <= fresh_store;
}

void member_links::note_heard(const std::string& name, link_row& row)
{
    row.m_heard = m_time.now();
    row.m_silent = false;
    if (m_detours != nullptr)
        m_detours->end(name);
}

void member_links::offer_relay(std::string relay_address,
                               std::string availability_zone)
{
    m_relay_address = std::move(relay_address);
    m_availability_zone = std::move(availability_zone);
}

void member_links::call(const std::string& name, std::uint64_t epoch,
                        frame_body body, frame_done done, milliseconds patience)
{
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
    {
        done(std::nullopt);
        return;
    }
    const auto row = found->second;
    row->m_used = m_time.now();
    const bool may_go_round = m_detours != nullptr && may_be_relayed(body);
    frame question{0, epoch, frame_status::ok, std::move(body)};
    if (may_go_round && !presumed(*row) &&
        !reached(facts_of(*row), m_time.now()) && m_detours->hopeful(name))
    {
        m_detours->ask(name, reason_of(*row), question, std::move(done),
                       silence_before_detour(patience));
        return;
    }
    direct_call asked{std::move(done), m_time.now(),
                      silence_before_detour(patience), std::nullopt, false};
    if (may_go_round)
        asked.m_question.emplace();
    ask_link(*row, std::move(question), std::move(asked));
}

void member_links::ask_link(link_row& row, frame question, direct_call asked)
{
    if (presumed(row))
    {
        send_later(row, std::move(question), std::move(asked));
        return;
    }
    if (!row.m_link)
    {
        asked.m_done(std::nullopt);
        return;
    }
    ++m_asked_directly;
    const bool watched = asked.m_question || asked.m_direct_only;
    question.m_call = m_next_call++;
    const auto call = question.m_call;
    row.m_calls[call] = std::move(asked);
    row.m_link->send(question);
    if (row.m_calls[call].m_question)
        row.m_calls[call].m_question = std::move(question);
    if (watched && !std::exchange(m_watching_silence, true))
        spawn(m_io, "member_links.watch", watch_silence());
}

task<std::optional<frame>> member_links::ask(std::string name,
                                             std::uint64_t epoch,
                                             frame_body body, instant until)
{
    return await_answer(std::move(name), epoch, std::move(body), until, false);
}

task<std::optional<frame>> member_links::ask_directly(std::string name,
                                                      std::uint64_t epoch,
                                                      frame_body body,
                                                      instant until)
{
    return await_answer(std::move(name), epoch, std::move(body), until, true);
}

task<std::optional<frame>>
member_links::await_answer(std::string name, std::uint64_t epoch,
                           frame_body body, instant until, bool direct_only)
{
    struct asked
    {
        explicit asked(asio::io_context& io) : m_changed(io) {}
        async_event m_changed;
        bool m_done = false;
        std::optional<frame> m_answer;
    };
    const auto state = std::make_shared<asked>(m_io);
    const auto take = [state](std::optional<frame> answer) {
        state->m_done = true;
        state->m_answer = std::move(answer);
        state->m_changed.notify();
    };
    const auto found = m_rows.find(name);
    if (!direct_only)
        call(name, epoch, std::move(body), take,
             std::chrono::duration_cast<milliseconds>(until - m_time.now()));
    else if (found != m_rows.end())
        ask_link(*found->second, {0, epoch, frame_status::ok, std::move(body)},
                 {take, m_time.now(), usual_silence, std::nullopt, true});
    else
        co_return std::nullopt;
    while (!state->m_done && m_time.now() < until)
        co_await state->m_changed.wait_until(until);
    co_return std::move(state->m_answer);
}

void member_links::tell(const std::string& name, frame_body body)
{
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
        return;
    auto& row = *found->second;
    row.m_used = m_time.now();
    frame notice{0, 0, frame_status::ok, std::move(body)};
    if (presumed(row))
        send_later(row, std::move(notice), std::nullopt);
    else if (m_detours != nullptr && !reached(facts_of(row), m_time.now()) &&
             may_be_relayed(notice.m_body) && m_detours->hopeful(name))
        m_detours->ask(
            name, reason_of(row), notice, [](const std::optional<frame>&) {},
            usual_silence);
    else if (row.m_link)
        row.m_link->send(notice);
}

void member_links::tell_view(const std::string& name, const cluster_view& view)
{
    const auto found = m_rows.find(name);
    if (found == m_rows.end() || !found->second->m_link)
        return;
    cluster_state told;
    told.m_views = {view};
    found->second->m_link->send(
        {0, view.m_epoch, frame_status::ok, std::move(told)});
}

bool member_links::connected(const std::string& name) const
{
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
        return false;
    return found->second->m_link != nullptr || presumed(*found->second) ||
           (m_detours != nullptr &&
            m_time.now() - m_detours->last_heard(name) < heard_within);
}

bool member_links::reached_directly(const std::string& name) const
{
    const auto found = m_rows.find(name);
    return found != m_rows.end() &&
           reached(facts_of(*found->second), m_time.now());
}

std::uint64_t member_links::standing_link(const std::string& name) const
{
    return reached_directly(name) ? m_rows.at(name)->m_number : 0;
}

bool member_links::hopeful(const std::string& name) const
{
    const auto found = m_rows.find(name);
    return found == m_rows.end() || !found->second->m_failed;
}

instant member_links::last_heard(const std::string& name) const
{
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
        return {};
    const auto round =
        m_detours == nullptr ? instant{} : m_detours->last_heard(name);
    return std::max(found->second->m_heard, round);
}

} // namespace pepperturn
