// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/request_intake.hpp"

namespace pepperturn {

namespace {

constexpr const char* no_memory_reason = "not enough memory for the request";

} // namespace

request_intake::request_intake(caller_table& table,
                               std::unique_ptr<caller_slot> slot,
                               std::shared_ptr<buffer_budget> budget)
    : m_table(table), m_slot(std::move(slot)), m_budget(std::move(budget)),
      m_account(std::make_shared<buffer_account>(m_budget)),
      m_reader(request_limits{})
{}

void request_intake::set_actions(std::function<void()> close,
                                 std::function<void()> cancel_read)
{
    m_cancel_read = std::move(cancel_read);
    m_slot->set_actions({std::move(close), [this] { give_up(); }});
}

void request_intake::begin(const request_limits& limits)
{
    m_reader.begin(limits);
    m_account = std::make_shared<buffer_account>(m_budget);
    if (m_reader.begun())
        m_slot->enter(caller_phase::receiving, m_account);
    else if (m_used)
        m_slot->enter(caller_phase::resting, nullptr);
}

bool request_intake::hold(buffer_kind kind, std::size_t bytes)
{
    const auto held = m_account->buffered(kind);
    const auto more = bytes > held ? bytes - held : 0;
    return m_table.make_room(*m_slot, kind, more) &&
           m_account->set(kind, bytes);
}

void request_intake::take(std::string_view bytes)
{
    if (!m_reader.begun())
        m_slot->enter(caller_phase::receiving, m_account);
    if (hold(buffer_kind::head, m_reader.head_memory_after(bytes.size())) &&
        hold(buffer_kind::request, m_reader.body_memory_after(bytes.size())))
        m_reader.feed(bytes);
    else
        refuse_for_memory();
}

reader_state request_intake::advance()
{
    const bool parses_head = m_reader.state() == reader_state::head_complete;
    bool room =
        !parses_head || hold(buffer_kind::head, m_reader.head_memory_after(0));
    if (room)
        m_reader.advance();
    // The whole body is accounted for before any of it is read.
    if (room && parses_head && m_reader.state() != reader_state::refused)
        room = hold(buffer_kind::request, m_reader.announced_bytes());
    if (!room)
        refuse_for_memory();
    if (m_reader.state() == reader_state::refused)
        m_slot->enter(caller_phase::refused, nullptr);
    return m_reader.state();
}

void request_intake::refuse_for_memory()
{
    refuse({no_memory_status, no_memory_reason});
}

void request_intake::refuse(request_refusal why)
{
    m_reader.refuse(std::move(why));
    m_slot->enter(caller_phase::refused, nullptr);
}

request_reader::message request_intake::serve()
{
    m_used = true;
    m_slot->enter(caller_phase::serving, nullptr);
    // Never refused: they are no more than was accounted for above.
    (void)m_account->set(buffer_kind::head, m_reader.head_memory());
    (void)m_account->set(buffer_kind::request, m_reader.body_memory());
    return m_reader.release();
}

void request_intake::give_up()
{
    m_reader.drop({no_memory_status, no_memory_reason});
    // A decrease is never refused.
    (void)m_account->set(buffer_kind::head, 0);
    (void)m_account->set(buffer_kind::request, 0);
    m_slot->enter(caller_phase::refused, nullptr);
    m_cancel_read();
}

} // namespace pepperturn
