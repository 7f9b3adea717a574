// SPDX-License-Identifier: BSL-1.0
/// \file
/// Bytes that an edge VM holds for callers and runners: by what they are, by
/// connection, by workspace and for the whole VM.
///
/// Bytes that may come are reserved first. What is held and what is reserved
/// beyond it never pass the bound together, whoever asks and in which order.
#pragma once

#include "pepperturn/scheduling/read_pressure.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pepperturn {

/// What bytes are held for.
enum class held_kind : std::uint8_t
{
    /// A caller's body, while it comes and while runners may need it.
    request,
    /// The earlier turns that go before it.
    chain,
    /// A body that a runner has not taken yet: what the kernel has of it.
    late_body,
    /// An answer that is gathered before it is passed on.
    answer,
    /// What the kernel has of an answer that is not read on for want of room.
    incoming,
    /// What a caller has not taken, with what the kernel has of it.
    unread
};

constexpr std::size_t held_kinds = 6;

[[nodiscard]] const char* to_string(held_kind kind);

class held_account;

/// The sums of one VM. Used from one thread.
class held_book
{
public:
    explicit held_book(std::uint64_t bound) : m_bound(bound) {}

    void set_bound(std::uint64_t bound);
    [[nodiscard]] std::uint64_t bound() const
    {
        return m_bound;
    }
    [[nodiscard]] std::uint64_t total() const
    {
        return m_total;
    }
    /// Held, and reserved beyond that.
    [[nodiscard]] std::uint64_t committed() const
    {
        return m_committed;
    }
    /// The most that was ever held at once.
    [[nodiscard]] std::uint64_t most() const
    {
        return m_most;
    }
    [[nodiscard]] std::uint64_t of_workspace(const std::string& name) const;
    [[nodiscard]] std::uint64_t of_kind(held_kind kind) const;
    [[nodiscard]] pressure_level level() const
    {
        return m_level;
    }
    /// Called when the level has changed; it may not change any account.
    void on_level(std::function<void(pressure_level)> handler)
    {
        m_on_level = std::move(handler);
    }
    /// Called with the kind and the bytes that found no room; it may not
    /// change any account.
    void on_refused(std::function<void(held_kind, std::uint64_t)> handler)
    {
        m_on_refused = std::move(handler);
    }
    /// There is room for \p bytes more now.
    [[nodiscard]] bool fits(held_kind kind, std::uint64_t bytes) const;
    /// The oldest request whose answer was held up for want of room while it
    /// is gathered; null: there is none.
    [[nodiscard]] const held_account* first_gathering() const
    {
        return m_gathering.empty() ? nullptr : m_gathering.begin()->second;
    }
    /// Accounts whose callers leave something unread now.
    [[nodiscard]] const std::set<held_account*>& waiting() const
    {
        return m_waiting;
    }
    /// Waits for callers that were too slow to be usual, so far.
    [[nodiscard]] std::uint64_t slow_readers() const
    {
        return m_slow_readers;
    }
    [[nodiscard]] std::uint64_t readers_cut() const
    {
        return m_readers_cut;
    }

private:
    friend class held_account;

    void change(held_kind kind, const std::string& workspace,
                std::uint64_t before, std::uint64_t after);
    /// \returns false and changes nothing if there is no room for it
    [[nodiscard]] bool commit(held_kind kind, std::uint64_t before,
                              std::uint64_t after);
    void count_workspace(const std::string& name, std::uint64_t before,
                         std::uint64_t after);
    void adjust_level();

    std::uint64_t m_bound;
    std::uint64_t m_total = 0;
    std::uint64_t m_committed = 0;
    std::uint64_t m_most = 0;
    std::array<std::uint64_t, held_kinds> m_by_kind{};
    /// Only those that hold something.
    std::map<std::string, std::uint64_t> m_by_workspace;
    std::set<held_account*> m_waiting;
    /// By the order in which they came.
    std::map<std::uint64_t, const held_account*> m_gathering;
    std::uint64_t m_last_number = 0;
    std::uint64_t m_slow_readers = 0;
    std::uint64_t m_readers_cut = 0;
    pressure_level m_level = pressure_level::calm;
    std::function<void(pressure_level)> m_on_level;
    std::function<void(held_kind, std::uint64_t)> m_on_refused;
};

/// What one request or connection holds; all of it is given back at its end.
class held_account
{
public:
    explicit held_account(std::shared_ptr<held_book> book);
    ~held_account();
    held_account(const held_account&) = delete;
    held_account& operator=(const held_account&) = delete;

    /// Sees to it that \p bytes of \p kind may be held from now on, those that
    /// are held already among them.
    /// \returns false and changes nothing if there is no room for it
    [[nodiscard]] bool reserve(held_kind kind, std::uint64_t bytes);
    /// The same for \p bytes beyond those that are held.
    [[nodiscard]] bool reserve_more(held_kind kind, std::uint64_t bytes);
    /// \returns false and changes nothing if there is no room for it, which
    /// cannot be within what is reserved
    [[nodiscard]] bool set(held_kind kind, std::uint64_t bytes);
    [[nodiscard]] bool add(held_kind kind, std::uint64_t bytes);
    /// Holds all that is reserved of \p kind.
    void hold_reserved(held_kind kind);
    /// Holds less; what is reserved stays so.
    void give_back(held_kind kind, std::uint64_t bytes);
    /// Reserves nothing beyond what is held.
    void end_reserve(held_kind kind);
    /// Whose the bytes are from now on; empty: nobody's.
    void set_workspace(const std::string& name);
    [[nodiscard]] std::uint64_t total() const;

    /// Its answer is being gathered and has been held up, until \ref
    /// end_gathering: requests go on in the order in which they came, since
    /// half gathered answers of all of them would help nobody.
    void begin_gathering();
    void end_gathering();

    /// The caller leaves something unread.
    /// \param cut ends its connection
    void begin_wait(instant now, std::function<void()> cut);
    void note_taken(std::uint64_t bytes, instant now);
    /// It has taken all, or will take no more.
    void end_wait(instant now);
    [[nodiscard]] bool waits() const
    {
        return static_cast<bool>(m_cut);
    }
    [[nodiscard]] unread_answer unread(instant now) const;
    /// Ends the connection of a caller that does not read.
    void cut();

private:
    void hold(held_kind kind, std::uint64_t bytes);
    [[nodiscard]] std::uint64_t committed(held_kind kind) const;

    std::shared_ptr<held_book> m_book;
    std::array<std::uint64_t, held_kinds> m_held{};
    std::array<std::uint64_t, held_kinds> m_reserved{};
    std::string m_workspace;
    std::uint64_t m_number;
    instant m_since{};
    instant m_last_taken{};
    std::uint64_t m_taken = 0;
    bool m_was_slow = false;
    std::function<void()> m_cut;
};

} // namespace pepperturn
