// SPDX-License-Identifier: BSL-1.0
/// \file
/// The turns and reservations that one storage VM stores: tables in memory
/// that point into its log.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/cluster/suspects.hpp"
#include "pepperturn/turns/records.hpp"
#include "pepperturn/turns/turn_log.hpp"
#include "pepperturn/turns/turn_retention.hpp"

#include <map>
#include <unordered_map>

namespace pepperturn {

/// How much of a history is read in one call.
struct history_page
{
    std::size_t m_max_bytes = 0;
    /// A first turn that is larger than that is read all the same.
    bool m_first_whole = true;
};

/// A page that is requested for itself. A history of any length is sent in
/// such pages, so that no reply is too large for its receiver.
constexpr history_page fetched_page{1U << 20U, true};
/// A page in the reply to a begin, which many requests wait for at a time.
constexpr history_page begun_page{256U << 10U, false};

class turn_store
{
public:
    explicit turn_store(turn_log& log);

    /// Reads the log. Retention starts again for every entry, since the time
    /// for which the process was down is unknown.
    /// \param damaged set if acknowledged entries may be missing
    /// \param between called at regular intervals, so that a caller can do
    /// other work in between
    [[nodiscard]] bool load(instant now, bool& damaged, std::string& reason,
                            const std::function<void()>& between = {});

    /// Queues an entry for the log and inserts it. Idempotent; a settled
    /// reservation never becomes unsettled.
    /// \param remaining how long it is still needed; zero: for its whole
    /// retention
    void append(const log_entry& entry, instant now,
                milliseconds remaining = {});

    /// As append, for an encoded entry of another log; false with \p reason set
    /// if it cannot be decoded.
    /// \param expected the turn that it has to be, if that is known
    bool append_encoded(const std::string& bytes, instant now,
                        milliseconds remaining, std::string& reason,
                        const std::optional<id_key>& expected = {});

    [[nodiscard]] std::vector<reservation>
    ledger_of(const id_key& program) const;
    [[nodiscard]] bool has_turn(const std::string& id) const;
    [[nodiscard]] bool has_turn(const id_key& key) const;
    /// Everything that is stored, for a member that copies it; the turns that
    /// are needed longest first, and of those the ones written last.
    [[nodiscard]] std::vector<located_turn> list_turns(instant now) const;
    /// The turn's entry, wherever the log has it now.
    [[nodiscard]] turn_entry read_entry(const id_key& key, instant now) const;
    [[nodiscard]] std::vector<kept_reservation>
    list_reservations(instant now) const;
    /// Requests under which runners have ended, by their crash ledgers here.
    [[nodiscard]] std::vector<suspect> list_suspects(instant now) const;
    /// The turn and its ancestors, newest first, as far as this store has
    /// them and they fit into \p page; extends their retention to \p retention
    /// from \p now.
    [[nodiscard]] std::vector<turn_record>
    history(const std::string& id, milliseconds retention, instant now,
            const history_page& page = fetched_page);

    /// At most \p max_rows rows whose retention has ended as far as this VM
    /// knows. Another member may know that they are still needed.
    [[nodiscard]] retained_keys expired(instant now,
                                        std::size_t max_rows) const;
    /// For how long the rows are needed, as far as this VM knows.
    [[nodiscard]] remaining_retention remaining(const retained_keys& keys,
                                                instant now) const;
    /// Takes over another member's reply to \p keys.
    /// \param since a time before the reply was made
    void extend(const retained_keys& keys, const remaining_retention& reply,
                instant since);
    /// Removes those of \p keys whose retention has ended.
    void remove_expired(const retained_keys& keys, instant now);
    /// Reclaims disk space of what was removed.
    void reclaim(instant now);
    /// Removes all that has expired as far as this VM knows, for a VM that no
    /// other one shares its rows with.
    void expire(instant now);

    [[nodiscard]] std::size_t turn_count() const
    {
        return m_turns.size();
    }
    [[nodiscard]] std::size_t program_count() const
    {
        return m_programs.size();
    }

private:
    struct turn_row
    {
        log_position m_position;
        /// Size of its entry in the log.
        std::size_t m_bytes = 0;
    };
    struct reservation_row
    {
        std::uint32_t m_tokens = 0;
        bool m_settled = false;
        prompt_location m_prompt_location;
        log_position m_position;
    };
    struct program_row
    {
        std::unordered_map<id_key, reservation_row, id_key_hash> m_attempts;
        std::uint32_t m_retention_ms = 0;
        instant m_expiry{};
    };

    [[nodiscard]] bool is_known(const log_entry& entry) const;
    void insert(const log_entry& entry, const turn_row& stored, instant until);
    void insert_reservation(const reservation& row, std::uint32_t retention_ms,
                            const log_position& position, instant until);
    [[nodiscard]] std::optional<turn_record>
    read_turn(const log_position& position) const;
    /// Bytes of a segment's entries that are in use, roughly.
    struct segment_use
    {
        std::size_t m_turn_bytes = 0;
        std::size_t m_reservation_bytes = 0;
    };
    [[nodiscard]] std::map<std::uint32_t, segment_use> segment_uses() const;
    /// The oldest segment of which little is in use.
    [[nodiscard]] std::optional<std::uint32_t> segment_to_rewrite() const;
    /// Removes that segment in steps.
    void compact_segment();
    /// Appends a bounded part of the segment's entries that are in use again.
    /// \returns false if none is in use
    bool rewrite_entries(std::uint32_t segment);

    /// A segment of which no entry is in use.
    struct unused_segment
    {
        std::uint32_t m_segment = 0;
        /// All entries that replace those of the segment are before this.
        log_position m_replaced_before;
    };

    turn_log& m_log;
    std::optional<unused_segment> m_unused_segment;
    std::unordered_map<id_key, turn_row, id_key_hash> m_turns;
    turn_retention m_retention;
    std::unordered_map<id_key, program_row, id_key_hash> m_programs;
};

} // namespace pepperturn
