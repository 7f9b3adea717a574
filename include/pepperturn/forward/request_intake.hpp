// SPDX-License-Identifier: BSL-1.0
/// \file
/// Reads the requests of one connection into memory that is accounted for
/// before it is used. The connection does the I/O.
#pragma once

#include "pepperturn/forward/caller_table.hpp"
#include "pepperturn/http/request_reader.hpp"

namespace pepperturn {

/// Status of a request that is refused for lack of memory.
inline constexpr unsigned no_memory_status = 503;

class request_intake
{
public:
    /// \param table outlives this
    /// \param slot the connection's place in it
    request_intake(caller_table& table, std::unique_ptr<caller_slot> slot,
                   std::shared_ptr<buffer_budget> budget);

    /// \param close closes the connection
    /// \param cancel_read ends the read that waits; the request is refused then
    void set_actions(std::function<void()> close,
                     std::function<void()> cancel_read);

    /// Begins the next request, with a new account.
    void begin(const request_limits& limits);
    /// Adds bytes that have arrived. Without memory for them the request is
    /// refused.
    void take(std::string_view bytes);
    /// Goes on as far as the bytes allow, but stops once a head is parsed: see
    /// \ref request_reader::advance.
    reader_state advance();
    /// Refuses the request for lack of memory.
    void refuse_for_memory();
    /// Refuses the request; its head is kept.
    void refuse(request_refusal why);
    /// The complete request, which is served from now on.
    [[nodiscard]] request_reader::message serve();

    [[nodiscard]] const request_reader& reader() const
    {
        return m_reader;
    }
    [[nodiscard]] reader_state state() const
    {
        return m_reader.state();
    }
    /// Of the last request that was begun.
    [[nodiscard]] const std::shared_ptr<buffer_account>& account() const
    {
        return m_account;
    }

private:
    /// Accounts for \p bytes of \p kind in all, for which incomplete requests
    /// of others may be given up.
    [[nodiscard]] bool hold(buffer_kind kind, std::size_t bytes);
    void give_up();

    caller_table& m_table;
    std::unique_ptr<caller_slot> m_slot;
    std::shared_ptr<buffer_budget> m_budget;
    std::shared_ptr<buffer_account> m_account;
    std::function<void()> m_cancel_read;
    request_reader m_reader;
    /// A request has been served.
    bool m_used = false;
};

} // namespace pepperturn
