// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_store.hpp"

#include "pepperturn/turns/crash_ledger.hpp"
#include "pepperturn/turns/messages.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace pepperturn {

namespace {

/// A segment is rewritten once live turns are at most this share of its bytes:
/// copying a quarter is cheap and frees three quarters.
constexpr std::size_t rewrite_share = 4;
/// With its reservations, rewriting it frees at least this share.
constexpr std::size_t min_gain_share = 4;
/// About what a reservation takes in the log.
constexpr std::size_t reservation_bytes = 100;
/// Entries read in one batch: a few milliseconds on a third of a core.
constexpr std::uint64_t load_batch = 1000;
/// Bytes of a segment that are rewritten in one call: they are held in memory
/// until they are synced.
constexpr std::size_t rewrite_bytes = 4U << 20U;

std::uint32_t remaining_ms(instant end, instant now)
{
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(
        elapsed(now, end).count(), 0, std::numeric_limits<int>::max()));
}

/// As remaining_ms, but never the 0 that means that it is unknown.
std::uint32_t listed_remaining_ms(instant end, instant now)
{
    return std::max<std::uint32_t>(remaining_ms(end, now), 1);
}

/// When an entry that is written now is no longer needed.
instant end_of_retention(const log_entry& entry, instant now,
                         milliseconds remaining)
{
    return now + (remaining > milliseconds(0)
                      ? remaining
                      : milliseconds(entry.m_retention_ms));
}

} // namespace

turn_store::turn_store(turn_log& log) : m_log(log) {}

bool turn_store::load(instant now, bool& damaged, std::string& reason,
                      const std::function<void()>& between)
{
    std::uint64_t unreadable = 0;
    std::uint64_t count = 0;
    const bool loaded = m_log.load(
        [&](const loaded_entry& row) {
            std::string why;
            const auto entry = decode_entry(row.m_bytes, why);
            if (entry)
                insert(*entry, {row.m_position, row.m_bytes.size()},
                       end_of_retention(*entry, now, {}));
            else
                ++unreadable;
            if (between && ++count % load_batch == 0)
                between();
        },
        damaged, reason);
    if (unreadable > 0)
    {
        LOG(ERROR) << "event=log_unreadable entries=" << unreadable;
        damaged = true;
    }
    return loaded;
}

bool turn_store::is_known(const log_entry& entry) const
{
    if (const auto* turn = std::get_if<turn_record>(&entry.m_what))
        return has_turn(turn->m_id);
    const auto& row = std::get<reservation>(entry.m_what);
    const auto program = m_programs.find(row.m_program);
    if (program == m_programs.end())
        return false;
    const auto attempt = program->second.m_attempts.find(row.m_attempt);
    if (attempt == program->second.m_attempts.end())
        return false;
    // A settled reservation is final; an unsettled one is known only if it is
    // equal.
    return attempt->second.m_settled ||
           (!row.m_settled && attempt->second.m_tokens == row.m_tokens);
}

void turn_store::append(const log_entry& entry, instant now,
                        milliseconds remaining)
{
    if (is_known(entry))
        return;
    const auto bytes = encode_entry(entry);
    insert(entry, {m_log.append(bytes), bytes.size()},
           end_of_retention(entry, now, remaining));
}

bool turn_store::append_encoded(const std::string& bytes, instant now,
                                milliseconds remaining, std::string& reason,
                                const std::optional<id_key>& expected)
{
    const auto entry = decode_entry(bytes, reason);
    if (!entry)
        return false;
    const auto* turn = std::get_if<turn_record>(&entry->m_what);
    if (expected && (turn == nullptr || key_of(turn->m_id) != *expected))
    {
        reason = "not the turn that was requested";
        return false;
    }
    if (!is_known(*entry))
        insert(*entry, {m_log.append(bytes), bytes.size()},
               end_of_retention(*entry, now, remaining));
    return true;
}

std::vector<located_turn> turn_store::list_turns(instant now) const
{
    std::vector<located_turn> out;
    out.reserve(m_turns.size());
    for (const auto& [key, row] : m_turns)
        out.push_back(
            {key, pack(row.m_position),
             listed_remaining_ms(m_retention.end_of(key).value_or(now), now),
             static_cast<std::uint32_t>(row.m_bytes)});
    std::sort(out.begin(), out.end(), [](const auto& left, const auto& right) {
        return std::tie(left.m_remaining_ms, left.m_position) >
               std::tie(right.m_remaining_ms, right.m_position);
    });
    return out;
}

turn_entry turn_store::read_entry(const id_key& key, instant now) const
{
    const auto found = m_turns.find(key);
    if (found == m_turns.end())
        return {{}, turn_entry_state::gone, 0};
    const auto remaining =
        listed_remaining_ms(m_retention.end_of(key).value_or(now), now);
    auto bytes = m_log.read(found->second.m_position);
    if (!bytes)
        return {{}, turn_entry_state::unreadable, remaining};
    return {std::move(*bytes), turn_entry_state::present, remaining};
}

std::vector<kept_reservation> turn_store::list_reservations(instant now) const
{
    std::vector<kept_reservation> out;
    for (const auto& [program, row] : m_programs)
    {
        for (const auto& [attempt, stored] : row.m_attempts)
            out.push_back(
                {row.m_retention_ms,
                 reservation{program, attempt, stored.m_tokens,
                             stored.m_settled, stored.m_prompt_location},
                 listed_remaining_ms(row.m_expiry, now)});
    }
    return out;
}

std::vector<suspect> turn_store::list_suspects(instant now) const
{
    std::vector<suspect> out;
    for (const auto& [ledger, row] : m_programs)
    {
        const auto fingerprint = fingerprint_of_ledger(ledger);
        if (!fingerprint)
            continue;
        // An attempt under way counts as well: it may have ended its runner
        // when its VM lost power.
        std::uint64_t weight = 0;
        for (const auto& [attempt, reserved] : row.m_attempts)
            weight += reserved.m_settled ? 0 : reserved.m_tokens;
        if (weight > 0)
            out.push_back({*fingerprint, ends_of_weight(weight),
                           remaining_ms(row.m_expiry, now)});
    }
    return out;
}

void turn_store::insert(const log_entry& entry, const turn_row& stored,
                        instant until)
{
    if (const auto* row = std::get_if<reservation>(&entry.m_what))
    {
        insert_reservation(*row, entry.m_retention_ms, stored.m_position,
                           until);
        return;
    }
    const auto& turn = std::get<turn_record>(entry.m_what);
    const auto key = key_of(turn.m_id);
    m_turns[key] = stored;
    // Turns of older versions name their parent only.
    auto ancestors = turn.m_ancestors;
    if (ancestors.empty() && !turn.m_parent.empty())
        ancestors.push_back(key_of(turn.m_parent));
    m_retention.retain(key, ancestors, until);
    insert_reservation({turn.m_program, turn.m_attempt, turn.m_tokens, true},
                       entry.m_retention_ms, stored.m_position, until);
}

void turn_store::insert_reservation(const reservation& row,
                                    std::uint32_t retention_ms,
                                    const log_position& position, instant until)
{
    auto& program = m_programs[row.m_program];
    program.m_retention_ms = std::max(program.m_retention_ms, retention_ms);
    program.m_expiry = std::max(program.m_expiry, until);
    auto& attempt = program.m_attempts[row.m_attempt];
    if (attempt.m_settled && !row.m_settled)
        return;
    attempt = {row.m_tokens, row.m_settled, row.m_prompt_location, position};
}

std::vector<reservation> turn_store::ledger_of(const id_key& program) const
{
    std::vector<reservation> out;
    const auto found = m_programs.find(program);
    if (found == m_programs.end())
        return out;
    out.reserve(found->second.m_attempts.size());
    for (const auto& [attempt, row] : found->second.m_attempts)
        out.push_back({program, attempt, row.m_tokens, row.m_settled,
                       row.m_prompt_location});
    return out;
}

bool turn_store::has_turn(const std::string& id) const
{
    return has_turn(key_of(id));
}

bool turn_store::has_turn(const id_key& key) const
{
    return m_turns.contains(key);
}

std::optional<turn_record>
turn_store::read_turn(const log_position& position) const
{
    const auto bytes = m_log.read(position);
    if (!bytes)
        return std::nullopt;
    std::string reason;
    auto entry = decode_entry(*bytes, reason);
    if (!entry || !std::holds_alternative<turn_record>(entry->m_what))
    {
        LOG(ERROR) << "event=turn_unreadable segment=" << position.m_segment
                   << " offset=" << position.m_offset << " reason=\"" << reason
                   << '"';
        return std::nullopt;
    }
    return std::get<turn_record>(std::move(entry->m_what));
}

std::vector<turn_record> turn_store::history(const std::string& id,
                                             milliseconds retention,
                                             instant now,
                                             const history_page& page)
{
    std::vector<turn_record> out;
    m_retention.extend(key_of(id), now + retention);
    std::string next = id;
    std::size_t bytes = 0;
    while (!next.empty())
    {
        const auto found = m_turns.find(key_of(next));
        if (found == m_turns.end())
            break;
        bytes += found->second.m_bytes;
        const bool whole_first = out.empty() && page.m_first_whole;
        if (bytes > page.m_max_bytes && !whole_first)
            break;
        auto turn = read_turn(found->second.m_position);
        if (!turn || turn->m_id != next)
            break;
        // Nobody needs them in a reply, and in each turn of a long history they
        // would be most of it.
        turn->m_ancestors.clear();
        next = turn->m_parent;
        out.push_back(std::move(*turn));
    }
    return out;
}

retained_keys turn_store::expired(instant now, std::size_t max_rows) const
{
    retained_keys out;
    for (const auto& [key, row] : m_turns)
    {
        if (out.m_turns.size() >= max_rows)
            break;
        if (m_retention.end_of(key).value_or(now) <= now)
            out.m_turns.push_back(key);
    }
    for (const auto& [key, row] : m_programs)
    {
        if (out.m_turns.size() + out.m_programs.size() >= max_rows)
            break;
        if (row.m_expiry <= now)
            out.m_programs.push_back(key);
    }
    return out;
}

remaining_retention turn_store::remaining(const retained_keys& keys,
                                          instant now) const
{
    remaining_retention out;
    for (const auto& key : keys.m_turns)
        out.m_turns_ms.push_back(
            remaining_ms(m_retention.end_of(key).value_or(now), now));
    for (const auto& key : keys.m_programs)
    {
        const auto found = m_programs.find(key);
        out.m_programs_ms.push_back(
            found == m_programs.end()
                ? 0
                : remaining_ms(found->second.m_expiry, now));
    }
    return out;
}

void turn_store::extend(const retained_keys& keys,
                        const remaining_retention& reply, instant since)
{
    const auto turns = std::min(keys.m_turns.size(), reply.m_turns_ms.size());
    for (std::size_t i = 0; i < turns; ++i)
        m_retention.extend(keys.m_turns[i],
                           since + milliseconds(reply.m_turns_ms[i]));
    const auto programs =
        std::min(keys.m_programs.size(), reply.m_programs_ms.size());
    for (std::size_t i = 0; i < programs; ++i)
    {
        const auto found = m_programs.find(keys.m_programs[i]);
        if (found == m_programs.end())
            continue;
        const auto until = since + milliseconds(reply.m_programs_ms[i]);
        found->second.m_expiry = std::max(found->second.m_expiry, until);
    }
}

void turn_store::remove_expired(const retained_keys& keys, instant now)
{
    for (const auto& key : keys.m_turns)
    {
        if (m_retention.end_of(key).value_or(now) <= now)
            m_turns.erase(key);
    }
    for (const auto& key : keys.m_programs)
    {
        const auto found = m_programs.find(key);
        if (found != m_programs.end() && found->second.m_expiry <= now)
            m_programs.erase(found);
    }
}

void turn_store::expire(instant now)
{
    remove_expired(expired(now, SIZE_MAX), now);
    reclaim(now);
}

void turn_store::reclaim(instant now)
{
    m_retention.forget_ended(
        now, [this](const id_key& key) { return m_turns.contains(key); });
    compact_segment();
}

bool turn_store::rewrite_entries(std::uint32_t segment)
{
    std::size_t rewritten = 0;
    const auto move_entry = [&](const std::string& bytes) {
        rewritten += bytes.size();
        return m_log.append(bytes);
    };
    // Turns settle reservations: both point to the same entry.
    std::map<log_position, log_position> moved;
    for (auto& [key, row] : m_turns)
    {
        auto& position = row.m_position;
        if (position.m_segment != segment || rewritten >= rewrite_bytes)
            continue;
        const auto bytes = m_log.read(position);
        if (!bytes)
            continue;
        const auto before = std::exchange(position, move_entry(*bytes));
        moved[before] = position;
    }
    for (auto& [program, row] : m_programs)
    {
        for (auto& [attempt, stored] : row.m_attempts)
        {
            if (stored.m_position.m_segment != segment)
                continue;
            const auto found = moved.find(stored.m_position);
            if (found != moved.end())
                stored.m_position = found->second;
            else if (rewritten < rewrite_bytes)
                stored.m_position = move_entry(encode_entry(
                    {row.m_retention_ms,
                     reservation{program, attempt, stored.m_tokens,
                                 stored.m_settled, stored.m_prompt_location}}));
        }
    }
    return rewritten > 0;
}

std::map<std::uint32_t, turn_store::segment_use>
turn_store::segment_uses() const
{
    std::map<std::uint32_t, segment_use> out;
    for (const auto& [key, row] : m_turns)
        out[row.m_position.m_segment].m_turn_bytes += row.m_bytes;
    // A reservation that a turn has settled is counted with the turn and once
    // more here, which is little beside it.
    for (const auto& [program, row] : m_programs)
    {
        for (const auto& [attempt, stored] : row.m_attempts)
            out[stored.m_position.m_segment].m_reservation_bytes +=
                reservation_bytes;
    }
    return out;
}

std::optional<std::uint32_t> turn_store::segment_to_rewrite() const
{
    const auto uses = segment_uses();
    for (const auto segment : m_log.segments())
    {
        if (segment >= m_log.current_segment())
            break;
        const auto found = uses.find(segment);
        const auto use = found == uses.end() ? segment_use{} : found->second;
        const auto bytes = m_log.bytes_of(segment);
        const auto live = use.m_turn_bytes + use.m_reservation_bytes;
        if (use.m_turn_bytes * rewrite_share <= bytes &&
            live * min_gain_share <= bytes * (min_gain_share - 1))
            return segment;
    }
    return std::nullopt;
}

void turn_store::compact_segment()
{
    const auto chosen = segment_to_rewrite();
    // The segment is removed in a later call than its last entry is rewritten.
    if (!chosen || rewrite_entries(*chosen))
        return;
    const auto segment = *chosen;
    // What replaces the segment's entries may not be on the disk yet, and never
    // is if the disk refuses writes.
    if (!m_unused_segment || m_unused_segment->m_segment != segment)
        m_unused_segment = {segment, m_log.end()};
    if (!m_log.durable_before(m_unused_segment->m_replaced_before))
        return;
    m_unused_segment.reset();
    LOG(INFO) << "event=segment_removed segment=" << segment;
    m_log.remove_segment(segment);
}

} // namespace pepperturn
