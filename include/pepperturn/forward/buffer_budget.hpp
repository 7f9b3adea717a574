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
enum class buffer_kind : std::uint8_t
{
    /// A caller's body, while it comes and while runners may need it.
    request,
    /// The earlier turns that go before it.
    history,
    /// A body that a runner has not taken yet: what the kernel has of it.
    unsent_body,
    /// An answer that is gathered before it is passed on.
    response,
    /// What the kernel has of an answer that is not read on for want of room.
    receive_buffer,
    /// What a caller has not taken, with what the kernel has of it.
    undelivered
};

constexpr std::size_t buffer_kind_count = 6;

[[nodiscard]] const char* to_string(buffer_kind kind);

class buffer_account;

/// The sums of one VM. Used from one thread.
class buffer_budget
{
public:
    explicit buffer_budget(std::uint64_t bound) : m_bound(bound) {}

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
    [[nodiscard]] std::uint64_t peak() const
    {
        return m_peak;
    }
    [[nodiscard]] std::uint64_t workspace_bytes(const std::string& name) const;
    [[nodiscard]] std::uint64_t kind_bytes(buffer_kind kind) const;
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
    void on_refused(std::function<void(buffer_kind, std::uint64_t)> handler)
    {
        m_on_refused = std::move(handler);
    }
    /// There is room for \p bytes more now.
    [[nodiscard]] bool fits(buffer_kind kind, std::uint64_t bytes) const;
    /// The oldest request whose answer was held up for want of room while it
    /// is gathered; null: there is none.
    [[nodiscard]] const buffer_account* first_blocked() const
    {
        return m_blocked.empty() ? nullptr : m_blocked.begin()->second;
    }
    /// Accounts whose callers leave something unread now.
    [[nodiscard]] const std::set<buffer_account*>& waiting_accounts() const
    {
        return m_waiting_accounts;
    }
    /// Waits for callers that were too slow to be usual, so far.
    [[nodiscard]] std::uint64_t slow_readers() const
    {
        return m_slow_readers;
    }
    [[nodiscard]] std::uint64_t disconnected_readers() const
    {
        return m_disconnected_readers;
    }

private:
    friend class buffer_account;

    void change(buffer_kind kind, const std::string& workspace,
                std::uint64_t before, std::uint64_t after);
    /// \returns false and changes nothing if there is no room for it
    [[nodiscard]] bool commit(buffer_kind kind, std::uint64_t before,
                              std::uint64_t after);
    void count_workspace(const std::string& name, std::uint64_t before,
                         std::uint64_t after);
    void update_level();

    std::uint64_t m_bound;
    std::uint64_t m_total = 0;
    std::uint64_t m_committed = 0;
    std::uint64_t m_peak = 0;
    std::array<std::uint64_t, buffer_kind_count> m_by_kind{};
    /// Only those that hold something.
    std::map<std::string, std::uint64_t> m_by_workspace;
    std::set<buffer_account*> m_waiting_accounts;
    /// By the order in which they came.
    std::map<std::uint64_t, const buffer_account*> m_blocked;
    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_slow_readers = 0;
    std::uint64_t m_disconnected_readers = 0;
    pressure_level m_level = pressure_level::calm;
    std::function<void(pressure_level)> m_on_level;
    std::function<void(buffer_kind, std::uint64_t)> m_on_refused;
};

/// What one request or connection holds; all of it is given back at its end.
class buffer_account
{
public:
    explicit buffer_account(std::shared_ptr<buffer_budget> book);
    ~buffer_account();
    buffer_account(const buffer_account&) = delete;
    buffer_account& operator=(const buffer_account&) = delete;

    /// Sees to it that \p bytes of \p kind may be held from now on, those that
    /// are held already among them.
    /// \returns false and changes nothing if there is no room for it
    [[nodiscard]] bool reserve(buffer_kind kind, std::uint64_t bytes);
    /// The same for \p bytes beyond those that are held.
    [[nodiscard]] bool reserve_more(buffer_kind kind, std::uint64_t bytes);
    /// \returns false and changes nothing if there is no room for it, which
    /// cannot be within what is reserved
    [[nodiscard]] bool set(buffer_kind kind, std::uint64_t bytes);
    [[nodiscard]] bool add(buffer_kind kind, std::uint64_t bytes);
    /// Holds all that is reserved of \p kind.
    void use_reservation(buffer_kind kind);
    /// Holds less; what is reserved stays so.
    void release(buffer_kind kind, std::uint64_t bytes);
    /// Reserves nothing beyond what is held.
    void end_reservation(buffer_kind kind);
    /// Whose the bytes are from now on; empty: nobody's.
    void set_workspace(const std::string& name);
    [[nodiscard]] std::uint64_t total() const;

    /// Its answer is being gathered and has been held up, until \ref
    /// end_gathering: requests go on in the order in which they came, since
    /// half gathered answers of all of them would help nobody.
    void mark_blocked();
    void clear_blocked();

    /// The caller leaves something unread.
    /// \param cut ends its connection
    void begin_reader_wait(instant now, std::function<void()> cut);
    void record_read(std::uint64_t bytes, instant now);
    /// It has taken all, or will take no more.
    void end_reader_wait(instant now);
    [[nodiscard]] bool waits_for_reader() const
    {
        return static_cast<bool>(m_disconnect);
    }
    [[nodiscard]] unread_response unread(instant now) const;
    /// Ends the connection of a caller that does not read.
    void disconnect();

private:
    void set_buffered(buffer_kind kind, std::uint64_t bytes);
    [[nodiscard]] std::uint64_t committed(buffer_kind kind) const;

    std::shared_ptr<buffer_budget> m_budget;
    std::array<std::uint64_t, buffer_kind_count> m_buffered{};
    std::array<std::uint64_t, buffer_kind_count> m_reserved{};
    std::string m_workspace;
    std::uint64_t m_sequence;
    instant m_wait_start{};
    instant m_last_read{};
    std::uint64_t m_read_bytes = 0;
    bool m_was_slow = false;
    std::function<void()> m_disconnect;
};

} // namespace pepperturn
