// SPDX-License-Identifier: BSL-1.0
#include "frame_bodies.hpp"

#include "wire_rows.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

/// Writes each kind of body to its member of the union.
struct body_writer
{
    turns_wire::Frame::Builder m_out;

    void operator()(const hello_message& body)
    {
        auto out = m_out.initHello();
        out.setName(body.m_name);
        out.setWantsNews(body.m_subscribes);
        out.setRelayAddress(body.m_relay_address);
        out.setZone(body.m_availability_zone);
        out.setKnownRunners(body.m_known_runners);
        out.setSeeks(body.m_seeks_members);
        out.setTakesParts(body.m_accepts_parts);
    }
    void operator()(const cluster_state& body)
    {
        fill(m_out.initState(), body);
    }
    void operator()(const heartbeat_message& body)
    {
        auto out = m_out.initBeat();
        out.setStoreAgeMs(body.m_store_age_ms);
        out.setWatches(body.m_watches);
        out.setVersion(body.m_frame_version);
    }
    void operator()(const begin_message& body)
    {
        auto out = m_out.initBegin();
        fill(out.initReservation(), body.m_reservation);
        out.setRetentionMs(body.m_retention_ms);
        out.setParent(body.m_parent);
        out.setWantChain(body.m_want_history);
        out.setReadOnly(body.m_read_only);
    }
    void operator()(const begun_message& body)
    {
        auto out = m_out.initBegun();
        fill_all(out.initLedger(body.m_ledger.size()), body.m_ledger);
        out.setParentFound(body.m_parent_found);
        fill_all(out.initChain(body.m_history.size()), body.m_history);
    }
    void operator()(const append_message& body)
    {
        fill(m_out.initAppend(), body.m_entry);
    }
    void operator()(const appended_message&)
    {
        m_out.setAppended();
    }
    void operator()(const fetch_message& body)
    {
        auto out = m_out.initFetch();
        out.setTurn(body.m_turn);
        out.setRetentionMs(body.m_retention_ms);
    }
    void operator()(const fetched_message& body)
    {
        fill_all(m_out.initFetched(body.m_history.size()), body.m_history);
    }
    void operator()(const list_message& body)
    {
        auto out = m_out.initList();
        out.setFrom(body.m_from);
        out.setGathered(body.m_gathered);
        out.setListing(body.m_listing);
    }
    void operator()(const listed_message& body)
    {
        auto out = m_out.initListed();
        out.setNext(body.m_next);
        out.setMore(body.m_more);
        out.setListing(body.m_listing);
        out.setTurnCount(body.m_turn_count);
        out.setTurnBytes(body.m_turn_bytes);
        auto turns = out.initTurns(body.m_turns.size());
        for (unsigned i = 0; i < turns.size(); ++i)
        {
            fill(turns[i].initKey(), body.m_turns[i].m_key);
            turns[i].setPosition(body.m_turns[i].m_position);
            turns[i].setRemainingMs(body.m_turns[i].m_remaining_ms);
            turns[i].setBytes(body.m_turns[i].m_bytes);
        }
        fill_all(out.initReservations(body.m_reservations.size()),
                 body.m_reservations);
    }
    void operator()(const read_message& body)
    {
        fill_values(m_out.initRead(body.m_positions.size()), body.m_positions);
    }
    void operator()(const entries_message& body)
    {
        auto out = m_out.initEntries(body.m_entries.size());
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, data_from(body.m_entries[i]));
    }
    void operator()(const read_turns_message& body)
    {
        fill_all(m_out.initReadTurns(body.m_keys.size()), body.m_keys);
    }
    void operator()(const turn_entries_message& body)
    {
        auto out = m_out.initTurnEntries(body.m_entries.size());
        for (unsigned i = 0; i < out.size(); ++i)
        {
            const auto& entry = body.m_entries[i];
            out[i].setEntry(data_from(entry.m_bytes));
            out[i].setState(static_cast<std::uint8_t>(entry.m_state));
            out[i].setRemainingMs(entry.m_remaining_ms);
        }
    }
    void operator()(const copied_message&)
    {
        m_out.setCopied();
    }
    void operator()(const config_request_message&)
    {
        m_out.setWantConfig();
    }
    void operator()(const freshness_request_message&)
    {
        m_out.setWantFreshness();
    }
    void operator()(const freshness_message& body)
    {
        auto out = m_out.initFreshness();
        out.setConfigRevision(body.m_config_revision);
        out.setConfigAgeMs(body.m_config_age_ms);
        out.setViewsAgeMs(body.m_views_age_ms);
    }
    void operator()(const quota_request& body)
    {
        auto out = m_out.initQuotaQuestion();
        out.setWorkspace(body.m_workspace);
        out.setRatePerS(body.m_limit.m_rate_per_s);
        out.setBurst(body.m_limit.m_burst);
        out.setConfigRevision(body.m_config_revision);
        out.setBegins(body.m_begins_program);
        out.setReturned(body.m_is_return);
        out.setProgram(body.m_program);
        out.setPatienceMs(body.m_queue_timeout_ms);
        out.setPlace(body.m_packed_grant);
        out.setExact(body.m_exact);
    }
    void operator()(const quota_reply& body)
    {
        auto out = m_out.initQuotaAnswer();
        out.setOutcome(static_cast<std::uint8_t>(body.m_outcome));
        out.setRetryMs(body.m_retry_after_ms);
        out.setPlace(body.m_packed_grant);
    }
    void operator()(const relay_peers_request_message&)
    {
        m_out.setWantNeighbours();
    }
    void operator()(const relay_peers_message& body)
    {
        auto out = m_out.initNeighbours(body.m_relay_peers.size());
        for (unsigned i = 0; i < out.size(); ++i)
        {
            out[i].setName(body.m_relay_peers[i].m_name);
            out[i].setAddress(body.m_relay_peers[i].m_address);
            out[i].setZone(body.m_relay_peers[i].m_availability_zone);
        }
    }
    void operator()(const relayed_message& body)
    {
        auto out = m_out.initRelayed();
        out.setMember(body.m_member);
        out.setFrame(data_from(body.m_frame));
    }
    void operator()(const placement_request& body)
    {
        auto out = m_out.initPlaceQuestion();
        out.setService(body.m_service);
        out.setCall(body.m_call);
        out.setWorkspace(body.m_workspace);
        auto parts = out.initParts(body.m_parts.size());
        for (unsigned i = 0; i < parts.size(); ++i)
        {
            parts[i].setId(body.m_parts[i].m_id);
            parts[i].setTokens(body.m_parts[i].m_tokens);
        }
        out.setPromptTokens(body.m_prompt_tokens);
        out.setMostTokens(body.m_max_output_tokens);
        out.setExpectedTokens(body.m_expected_output_tokens);
        out.setRank(static_cast<std::uint8_t>(body.m_rank));
        out.setPriority(body.m_priority);
        out.setPatienceMs(body.m_queue_timeout_ms);
        out.setProgramLeftMs(body.m_program_time_left_ms);
        out.setZone(body.m_availability_zone);
        auto excluded = out.initExcluded(body.m_excluded.size());
        for (unsigned i = 0; i < excluded.size(); ++i)
            excluded.set(i, body.m_excluded[i]);
        out.setCollects(body.m_already_queued);
        auto regions = out.initRegions(body.m_regions.size());
        for (unsigned i = 0; i < regions.size(); ++i)
            regions.set(i, body.m_regions[i]);
    }
    void operator()(const placement_reply& body)
    {
        auto out = m_out.initPlaceAnswer();
        out.setOutcome(static_cast<std::uint8_t>(body.m_outcome));
        out.setRunner(body.m_runner);
        out.setCachedTokens(body.m_cached_tokens);
        out.setUnderWay(body.m_under_way);
        out.setExpectedMs(body.m_expected_ms);
        out.setRetryMs(body.m_retry_after_ms);
    }
    void operator()(const placement_report& body)
    {
        auto out = m_out.initPlaceReport();
        out.setService(body.m_service);
        out.setCall(body.m_call);
        out.setRunner(body.m_runner);
        out.setEnd(static_cast<std::uint8_t>(body.m_end));
        out.setFirstByteMs(body.m_first_byte_ms);
        out.setRunMs(body.m_run_ms);
        out.setTokens(body.m_output_tokens);
    }
    void operator()(const suspects_message& body)
    {
        auto out = m_out.initSuspects(body.m_rows.size());
        for (unsigned i = 0; i < out.size(); ++i)
        {
            out[i].setFingerprint(body.m_rows[i].m_fingerprint);
            out[i].setEnds(body.m_rows[i].m_ends);
            out[i].setRemainingMs(body.m_rows[i].m_remaining_ms);
        }
    }
    void operator()(const retained_keys& body)
    {
        auto out = m_out.initWantRetention();
        fill_all(out.initTurns(body.m_turns.size()), body.m_turns);
        fill_all(out.initPrograms(body.m_programs.size()), body.m_programs);
    }
    void operator()(const remaining_retention& body)
    {
        auto out = m_out.initRetention();
        fill_values(out.initTurnsMs(body.m_turns_ms.size()), body.m_turns_ms);
        fill_values(out.initProgramsMs(body.m_programs_ms.size()),
                    body.m_programs_ms);
    }

private:
    template <class List, class Values>
    static void fill_values(List out, const Values& values)
    {
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, values[i]);
    }
};

} // namespace

void write_body(turns_wire::Frame::Builder out, const frame_body& body)
{
    std::visit(body_writer{out}, body);
}

} // namespace pepperturn::detail
