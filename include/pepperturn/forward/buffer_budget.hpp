// SPDX-License-Identifier: BSL-1.0
/// \file
/// Accounts for the bytes that an edge VM buffers for callers and runners: by
/// kind, by connection, by workspace and for the whole VM.
///
/// Memory is reserved before bytes arrive. Buffered bytes and the reservations
/// beyond them never exceed the bound together, whatever the order of requests.
/// Connections, and what is read of requests beside their bodies, have a bound
/// of their own, so that neither they nor responses take the other's memory.
#pragma once

#include "pepperturn/scheduling/memory_pressure.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pepperturn {

/// What bytes are buffered for.
enum class buffer_kind : std::uint8_t
{
    /// A caller's body, while it is received and while runners may need it.
    request,
    /// The turn history that is sent before the body.
    history,
    /// A body that a runner has not read yet: its part in kernel buffers.
    unsent_body,
    /// A response that is buffered before it is forwarded.
    response,
    /// Kernel buffers of a response that is not read on for lack of memory.
    receive_buffer,
    /// What a caller has not read, kernel buffers included.
    undelivered,
    /// A connection without a request.
    connection,
    /// The head of a request, raw and parsed, and what is decoded from it.
    head
};

constexpr std::size_t buffer_kind_count = 8;

/// Whether \p kind counts to the bound of connections and heads.
[[nodiscard]] constexpr bool is_intake(buffer_kind kind)
{
    return kind == buffer_kind::connection || kind == buffer_kind::head;
}

[[nodiscard]] const char* to_string(buffer_kind kind);

class buffer_account;

/// The totals of one VM and their bound. Used from one thread.
class buffer_budget
{
public:
    explicit buffer_budget(std::uint64_t bound) : m_bound(bound) {}

    void set_bound(std::uint64_t bound);
    /// Of connections and heads together; without a call, there is none.
    void set_intake_bound(std::uint64_t bound)
    {
        m_intake_bound = bound;
    }
    [[nodiscard]] std::uint64_t intake_bound() const
    {
        return m_intake_bound;
    }
    /// Bytes of connections and heads.
    [[nodiscard]] std::uint64_t intake() const
    {
        return m_intake;
    }
    [[nodiscard]] std::uint64_t bound() const
    {
        return m_bound;
    }
    [[nodiscard]] std::uint64_t total() const
    {
        return m_total;
    }
    /// Buffered bytes and reservations beyond them.
    [[nodiscard]] std::uint64_t committed() const
    {
        return m_committed;
    }
    /// Highest total so far.
    [[nodiscard]] std::uint64_t peak() const
    {
        return m_peak;
    }
    /// Highest number of bytes of all kinds since the last \ref
    /// begin_recent_peak.
    [[nodiscard]] std::uint64_t recent_peak() const
    {
        return m_recent_peak;
    }
    void begin_recent_peak()
    {
        m_recent_peak = all();
    }
    /// Bytes of all kinds.
    [[nodiscard]] std::uint64_t all() const
    {
        return m_total + m_intake;
    }
    [[nodiscard]] std::uint64_t workspace_bytes(const std::string& name) const;
    [[nodiscard]] std::uint64_t kind_bytes(buffer_kind kind) const;
    [[nodiscard]] pressure_level level() const
    {
        return m_level;
    }
    /// Called when the level has changed; must not change any account.
    void on_level(std::function<void(pressure_level)> handler)
    {
        m_on_level = std::move(handler);
    }
    /// Called with the kind and number of bytes that were refused; must not
    /// change any account.
    void on_refused(std::function<void(buffer_kind, std::uint64_t)> handler)
    {
        m_on_refused = std::move(handler);
    }
    /// Whether \p bytes more can be reserved or buffered now.
    [[nodiscard]] bool fits(buffer_kind kind, std::uint64_t bytes) const;
    /// The oldest request whose response is blocked on memory while it is
    /// buffered; null: none.
    [[nodiscard]] const buffer_account* first_blocked() const
    {
        return m_blocked.empty() ? nullptr : m_blocked.begin()->second;
    }
    /// Accounts whose callers have unread data.
    [[nodiscard]] const std::set<buffer_account*>& waiting_accounts() const
    {
        return m_waiting_accounts;
    }
    /// Number of waits so far for callers that read unusually slowly.
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
    /// \returns false and changes nothing if memory does not suffice
    [[nodiscard]] bool commit(buffer_kind kind, std::uint64_t before,
                              std::uint64_t after);
    void count_workspace(const std::string& name, std::uint64_t before,
                         std::uint64_t after);
    void update_level();

    std::uint64_t m_bound;
    std::uint64_t m_intake_bound = UINT64_MAX;
    std::uint64_t m_intake = 0;
    std::uint64_t m_total = 0;
    std::uint64_t m_committed = 0;
    std::uint64_t m_peak = 0;
    std::uint64_t m_recent_peak = 0;
    std::array<std::uint64_t, buffer_kind_count> m_by_kind{};
    /// Only workspaces with buffered bytes.
    std::map<std::string, std::uint64_t> m_by_workspace;
    std::set<buffer_account*> m_waiting_accounts;
    /// By sequence number, that is, in order of arrival.
    std::map<std::uint64_t, const buffer_account*> m_blocked;
    std::uint64_t m_last_sequence = 0;
    std::uint64_t m_slow_readers = 0;
    std::uint64_t m_disconnected_readers = 0;
    pressure_level m_level = pressure_level::calm;
    std::function<void(pressure_level)> m_on_level;
    std::function<void(buffer_kind, std::uint64_t)> m_on_refused;
};

/// Bytes of one request or connection; the destructor releases them all.
class buffer_account
{
public:
    explicit buffer_account(std::shared_ptr<buffer_budget> budget);
    ~buffer_account();
    buffer_account(const buffer_account&) = delete;
    buffer_account& operator=(const buffer_account&) = delete;

    /// Ensures that \p bytes of \p kind can be buffered, including those that
    /// already are.
    /// \returns false and changes nothing if memory does not suffice
    [[nodiscard]] bool reserve(buffer_kind kind, std::uint64_t bytes);
    /// The same for \p bytes beyond those that are buffered.
    [[nodiscard]] bool reserve_more(buffer_kind kind, std::uint64_t bytes);
    /// \returns false and changes nothing if memory does not suffice; never
    /// fails within the reservation
    [[nodiscard]] bool set(buffer_kind kind, std::uint64_t bytes);
    [[nodiscard]] bool add(buffer_kind kind, std::uint64_t bytes);
    /// Counts the whole reservation of \p kind as buffered.
    void use_reservation(buffer_kind kind);
    /// Lowers the buffered bytes; the reservation remains.
    void release(buffer_kind kind, std::uint64_t bytes);
    /// Drops the reservation beyond the buffered bytes.
    void end_reservation(buffer_kind kind);
    /// Attributes the bytes to a workspace; empty: to none.
    void set_workspace(const std::string& name);
    /// Of all kinds but connections and heads.
    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] std::uint64_t buffered(buffer_kind kind) const
    {
        return m_buffered.at(static_cast<std::size_t>(kind));
    }

    /// The response is blocked on memory while it is buffered, until \ref
    /// clear_blocked. Requests proceed in order of arrival: otherwise all could
    /// stop with incomplete responses, and none would free its memory.
    void mark_blocked();
    void clear_blocked();

    /// The caller has unread data.
    /// \param disconnect ends its connection
    void begin_reader_wait(instant now, std::function<void()> disconnect);
    void record_read(std::uint64_t bytes, instant now);
    /// The caller has read everything, or will read no more.
    void end_reader_wait(instant now);
    [[nodiscard]] bool waits_for_reader() const
    {
        return static_cast<bool>(m_disconnect);
    }
    [[nodiscard]] unread_response unread(instant now) const;
    /// Disconnects the caller if it has unread data.
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
