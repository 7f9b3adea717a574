// SPDX-License-Identifier: BSL-1.0
/// \file
/// The callers' connections of an edge VM: counts them and their memory, and
/// closes those that scheduling/connection_pressure.hpp names when there is no
/// room for another one, or for a request.
#pragma once

#include "pepperturn/forward/buffer_budget.hpp"
#include "pepperturn/scheduling/connection_pressure.hpp"

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace pepperturn {

/// What a connection is used for.
enum class caller_phase : std::uint8_t
{
    /// It has sent nothing so far.
    silent,
    /// Between two requests.
    resting,
    /// A request is arriving.
    receiving,
    /// A request is refused, and the connection is about to be closed.
    refused,
    /// A request is served.
    serving
};

constexpr std::size_t caller_phase_count = 5;

/// What a table asks of a connection. Both act at once.
struct caller_actions
{
    /// Closes the connection.
    std::function<void()> m_close;
    /// Frees the memory of the incomplete request, which is then refused.
    std::function<void()> m_give_up;
};

class caller_table;

/// A connection's place in the table; the destructor frees it.
class caller_slot
{
public:
    caller_slot(caller_table& table, std::string address);
    ~caller_slot();
    caller_slot(const caller_slot&) = delete;
    caller_slot& operator=(const caller_slot&) = delete;

    /// To be called before the first phase is entered.
    void set_actions(caller_actions actions)
    {
        m_actions = std::move(actions);
    }
    /// \param account of the request; null: there is none
    void enter(caller_phase phase,
               std::shared_ptr<const buffer_account> account);

private:
    friend class caller_table;

    /// Memory that is held for an incomplete request, in bytes.
    [[nodiscard]] std::uint64_t held_bytes() const;

    caller_table& m_table;
    std::string m_address;
    caller_actions m_actions;
    /// Memory of the connection itself.
    buffer_account m_own;
    std::shared_ptr<const buffer_account> m_account;
    caller_phase m_phase = caller_phase::silent;
    instant m_since{};
    std::list<caller_slot*>::iterator m_position;
    /// It counts, and may be chosen to be closed.
    bool m_listed = false;
};

class caller_table
{
public:
    caller_table(const clock& time, std::shared_ptr<buffer_budget> budget);
    ~caller_table();
    caller_table(const caller_table&) = delete;
    caller_table& operator=(const caller_table&) = delete;

    /// \param connections at once
    /// \param per_address from one address; 0: as many as in all
    void set_limits(std::size_t connections, std::size_t per_address);
    /// Whether connections are counted by their addresses.
    [[nodiscard]] bool counts_addresses() const
    {
        return m_per_address > 0;
    }
    /// A place for a new connection, for which others may be closed; null: all
    /// are in use, and it cannot be taken.
    /// \param address of the caller; empty: not known
    [[nodiscard]] std::unique_ptr<caller_slot> admit(std::string address);
    /// Frees memory for \p bytes of \p kind, which \p slot needs.
    /// \returns false if there is not enough, or if \p slot itself would be the
    /// first to give way
    [[nodiscard]] bool make_room(const caller_slot& slot, buffer_kind kind,
                                 std::uint64_t bytes);

    [[nodiscard]] std::size_t size() const;
    /// Appends metrics, one line each.
    void write_metrics(std::string& out) const;

private:
    friend class caller_slot;

    using slots = std::list<caller_slot*>;

    void list(caller_slot& slot, caller_phase phase);
    void unlist(caller_slot& slot);
    /// Closes the connection that serves no request for longest: one whose
    /// request was refused, else one that is silent, else one that rests.
    /// \returns false if there is none
    bool close_unused();
    /// Closes the connection whose incomplete request holds most for longest.
    /// \returns false if there is none
    bool close_incomplete();
    /// Gives up incomplete requests until \p bytes are freed.
    /// \returns false if none was, or if \p slot is to give way
    bool give_up_incomplete(const caller_slot* slot, std::uint64_t bytes);
    /// The slots of the incomplete requests to give up, in order.
    [[nodiscard]] std::vector<caller_slot*>
    incomplete_to_free(std::uint64_t bytes) const;
    void close(caller_slot& slot, const char* cause);
    [[nodiscard]] bool has_place(const std::string& address) const;
    void log_closed(const char* cause);

    const clock& m_time;
    std::shared_ptr<buffer_budget> m_budget;
    std::size_t m_limit = SIZE_MAX;
    std::size_t m_per_address = 0;
    /// By phase, the one that entered it first at the front.
    std::array<slots, caller_phase_count> m_slots;
    std::unordered_map<std::string, std::size_t> m_addresses;
    std::uint64_t m_closed = 0;
    std::uint64_t m_given_up = 0;
    std::uint64_t m_refused = 0;
    std::size_t m_most = 0;
    std::optional<instant> m_last_logged;
};

} // namespace pepperturn
