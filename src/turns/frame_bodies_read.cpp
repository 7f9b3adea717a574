// SPDX-License-Identifier: BSL-1.0
// How the bodies of frames are read.
#include "frame_bodies.hpp"

#include "wire_rows.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

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
