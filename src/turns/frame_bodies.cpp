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

/// Reads a value that a newer VM may have added as \p unknown, the last value
/// known here.
template <class Enum> Enum read_enum(std::uint8_t value, Enum unknown)
{
    return static_cast<Enum>(
        std::min(value, static_cast<std::uint8_t>(unknown)));
}

begin_message read_begin(turns_wire::Begin::Reader in)
{
    return {read(in.getReservation()), in.getRetentionMs(),
            text_of(in.getParent()), in.getWantChain(), in.getReadOnly()};
}

begun_message read_begun(turns_wire::Begun::Reader in)
{
    return {read_all<reservation>(in.getLedger()), in.getParentFound(),
            read_all<turn_record>(in.getChain())};
}

listed_message read_listed(turns_wire::Listed::Reader in)
{
    listed_message out;
    out.m_next = in.getNext();
    out.m_more = in.getMore();
    for (const auto row : in.getTurns())
        out.m_turns.push_back({read(row.getKey()), row.getPosition(),
                               row.getRemainingMs(), row.getBytes()});
    out.m_reservations = read_all<kept_reservation>(in.getReservations());
    out.m_listing = in.getListing();
    out.m_turn_count = in.getTurnCount();
    out.m_turn_bytes = in.getTurnBytes();
    return out;
}

template <class Value>
std::vector<Value> read_values(typename capnp::List<Value>::Reader in)
{
    std::vector<Value> out;
    out.reserve(in.size());
    for (const auto value : in)
        out.push_back(value);
    return out;
}

remaining_retention read_remaining(turns_wire::RetentionAnswer::Reader in)
{
    return {read_values<std::uint32_t>(in.getTurnsMs()),
            read_values<std::uint32_t>(in.getProgramsMs())};
}

entries_message read_entries(capnp::List<capnp::Data>::Reader in)
{
    entries_message out;
    for (const auto entry : in)
        out.m_entries.push_back(data_of(entry));
    return out;
}

turn_entries_message
read_turn_entries(capnp::List<turns_wire::TurnEntry>::Reader in)
{
    turn_entries_message out;
    out.m_entries.reserve(in.size());
    for (const auto row : in)
        out.m_entries.push_back(
            {data_of(row.getEntry()),
             read_enum(row.getState(), turn_entry_state::unreadable),
             row.getRemainingMs()});
    return out;
}

quota_request read_quota_request(turns_wire::QuotaQuestion::Reader in)
{
    return {in.getWorkspace(),      {in.getRatePerS(), in.getBurst()},
            in.getConfigRevision(), in.getProgram(),
            in.getBegins(),         in.getReturned(),
            in.getPatienceMs(),     in.getPlace(),
            in.getExact()};
}

quota_reply read_quota_reply(turns_wire::QuotaAnswer::Reader in)
{
    // An unknown outcome grants nothing.
    return {read_enum(in.getOutcome(), quota_outcome::not_owner),
            in.getRetryMs(), in.getPlace()};
}

hello_message read_hello(turns_wire::Hello::Reader in)
{
    return {text_of(in.getName()),
            in.getWantsNews(),
            text_of(in.getRelayAddress()),
            text_of(in.getZone()),
            in.getKnownRunners(),
            in.getSeeks(),
            in.getTakesParts()};
}

relay_peers_message
read_relay_peers(capnp::List<turns_wire::Neighbour>::Reader in)
{
    relay_peers_message out;
    for (const auto row : in)
        out.m_relay_peers.push_back({text_of(row.getName()),
                                     text_of(row.getAddress()),
                                     text_of(row.getZone())});
    return out;
}

placement_request read_placement_request(turns_wire::PlaceQuestion::Reader in)
{
    placement_request out;
    out.m_service = in.getService();
    out.m_call = in.getCall();
    out.m_workspace = in.getWorkspace();
    for (const auto part : in.getParts())
        out.m_parts.push_back({part.getId(), part.getTokens()});
    out.m_prompt_tokens = in.getPromptTokens();
    out.m_max_output_tokens = in.getMostTokens();
    out.m_expected_output_tokens = in.getExpectedTokens();
    out.m_rank = read_enum(in.getRank(), call_rank::late);
    out.m_priority = in.getPriority();
    out.m_queue_timeout_ms = in.getPatienceMs();
    out.m_program_time_left_ms = in.getProgramLeftMs();
    out.m_availability_zone = text_of(in.getZone());
    for (const auto runner : in.getExcluded())
        out.m_excluded.push_back(runner);
    out.m_already_queued = in.getCollects();
    for (const auto region : in.getRegions())
        out.m_regions.push_back(text_of(region));
    return out;
}

placement_reply read_placement_reply(turns_wire::PlaceAnswer::Reader in)
{
    return {read_enum(in.getOutcome(), placement_outcome::not_placing),
            in.getRunner(),
            in.getCachedTokens(),
            in.getUnderWay(),
            in.getExpectedMs(),
            in.getRetryMs()};
}

placement_report read_placement_report(turns_wire::PlaceReport::Reader in)
{
    return {in.getService(),     in.getCall(),
            in.getRunner(),      read_enum(in.getEnd(), placement_end::not_run),
            in.getFirstByteMs(), in.getRunMs(),
            in.getTokens()};
}

suspects_message read_suspects(capnp::List<turns_wire::Suspect>::Reader in)
{
    suspects_message out;
    for (const auto row : in)
        out.m_rows.push_back(
            {row.getFingerprint(), row.getEnds(), row.getRemainingMs()});
    return out;
}

} // namespace

void write_body(turns_wire::Frame::Builder out, const frame_body& body)
{
    std::visit(body_writer{out}, body);
}

std::optional<frame_body> read_body(turns_wire::Frame::Reader in)
{
    using kind = turns_wire::Frame;
    switch (in.which())
    {
    case kind::HELLO:
        return read_hello(in.getHello());
    case kind::STATE:
        return read(in.getState());
    case kind::BEAT:
        return heartbeat_message{in.getBeat().getStoreAgeMs(),
                                 in.getBeat().getWatches(),
                                 in.getBeat().getVersion()};
    case kind::BEGIN:
        return read_begin(in.getBegin());
    case kind::BEGUN:
        return read_begun(in.getBegun());
    case kind::APPEND:
        return append_message{read(in.getAppend())};
    case kind::APPENDED:
        return appended_message{};
    case kind::FETCH:
        return fetch_message{text_of(in.getFetch().getTurn()),
                             in.getFetch().getRetentionMs()};
    case kind::FETCHED:
        return fetched_message{read_all<turn_record>(in.getFetched())};
    case kind::LIST:
        return list_message{in.getList().getFrom(), in.getList().getGathered(),
                            in.getList().getListing()};
    case kind::LISTED:
        return read_listed(in.getListed());
    case kind::READ:
        return read_message{read_values<std::uint64_t>(in.getRead())};
    case kind::ENTRIES:
        return read_entries(in.getEntries());
    case kind::COPIED:
        return copied_message{};
    case kind::WANT_CONFIG:
        return config_request_message{};
    case kind::WANT_FRESHNESS:
        return freshness_request_message{};
    case kind::FRESHNESS:
        return freshness_message{in.getFreshness().getConfigRevision(),
                                 in.getFreshness().getConfigAgeMs(),
                                 in.getFreshness().getViewsAgeMs()};
    case kind::QUOTA_QUESTION:
        return read_quota_request(in.getQuotaQuestion());
    case kind::QUOTA_ANSWER:
        return read_quota_reply(in.getQuotaAnswer());
    case kind::WANT_NEIGHBOURS:
        return relay_peers_request_message{};
    case kind::NEIGHBOURS:
        return read_relay_peers(in.getNeighbours());
    case kind::RELAYED:
        return relayed_message{text_of(in.getRelayed().getMember()),
                               data_of(in.getRelayed().getFrame())};
    case kind::PLACE_QUESTION:
        return read_placement_request(in.getPlaceQuestion());
    case kind::PLACE_ANSWER:
        return read_placement_reply(in.getPlaceAnswer());
    case kind::PLACE_REPORT:
        return read_placement_report(in.getPlaceReport());
    case kind::SUSPECTS:
        return read_suspects(in.getSuspects());
    case kind::WANT_RETENTION:
        return retained_keys{
            read_all<id_key>(in.getWantRetention().getTurns()),
            read_all<id_key>(in.getWantRetention().getPrograms())};
    case kind::RETENTION:
        return read_remaining(in.getRetention());
    case kind::READ_TURNS:
        return read_turns_message{read_all<id_key>(in.getReadTurns())};
    case kind::TURN_ENTRIES:
        return read_turn_entries(in.getTurnEntries());
    }
    return std::nullopt;
}

} // namespace pepperturn::detail
