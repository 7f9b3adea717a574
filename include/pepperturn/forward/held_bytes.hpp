// SPDX-License-Identifier: BSL-1.0
/// \file
/// Bytes that an edge VM holds for callers and runners: by what they are, by
/// connection, by workspace and for the whole VM.
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
    /// Called with the kind and the bytes of each change that takes the sum
    /// past the bound; it may not change any account.
    void on_passed(std::function<void(held_kind, std::uint64_t)> handler)
    {
        m_on_passed = std::move(handler);
    }
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
    void adjust_level();

    std::uint64_t m_bound;
    std::uint64_t m_total = 0;
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
    std::function<void(held_kind, std::uint64_t)> m_on_passed;
};

/// What one request or connection holds; all of it is given back at its end.
class held_account
{
public:
    explicit held_account(std::shared_ptr<held_book> book);
    ~held_account();
    held_account(const held_account&) = delete;
    held_account& operator=(const held_account&) = delete;

    void set(held_kind kind, std::uint64_t bytes);
    void add(held_kind kind, std::uint64_t bytes);
    void give_back(held_kind kind, std::uint64_t bytes);
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
    std::shared_ptr<held_book> m_book;
    std::array<std::uint64_t, held_kinds> m_held{};
    std::string m_workspace;
    std::uint64_t m_number;
    instant m_since{};
    instant m_last_taken{};
    std::uint64_t m_taken = 0;
    bool m_was_slow = false;
    std::function<void()> m_cut;
};

} // namespace pepperturn
