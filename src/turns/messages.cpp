// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/messages.hpp"

#include "pepperturn/base/hash.hpp"
#include "turns.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace pepperturn {

namespace {

constexpr std::uint64_t second_hash_seed = 0x9e3779b97f4a7c15ULL;
constexpr std::size_t length_bytes = 4;

std::string text_of(capnp::Text::Reader reader)
{
    return {reader.begin(), reader.size()};
}

std::string data_of(capnp::Data::Reader reader)
{
    return {reinterpret_cast<const char*>(reader.begin()), reader.size()};
}

capnp::Data::Reader data_from(const std::string& text)
{
    return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

void fill(turns_wire::Key::Builder out, const id_key& key)
{
    out.setHigh(key.m_high);
    out.setLow(key.m_low);
}

id_key read(turns_wire::Key::Reader in)
{
    return {in.getHigh(), in.getLow()};
}

void fill(turns_wire::Reservation::Builder out, const reservation& row)
{
    fill(out.initProgram(), row.m_program);
    fill(out.initAttempt(), row.m_attempt);
    out.setTokens(row.m_tokens);
    out.setSettled(row.m_settled);
    out.setPromptPart(row.m_place.m_part);
    out.setPromptTokens(row.m_place.m_tokens);
    out.setPromptRunner(row.m_place.m_runner);
}

reservation read(turns_wire::Reservation::Reader in)
{
    return {read(in.getProgram()),
            read(in.getAttempt()),
            in.getTokens(),
            in.getSettled(),
            {in.getPromptPart(), in.getPromptTokens(), in.getPromptRunner()}};
}

void fill(turns_wire::Turn::Builder out, const turn_record& turn)
{
    out.setId(turn.m_id);
    out.setParent(turn.m_parent);
    out.setInput(data_from(turn.m_input));
    out.setOutput(data_from(turn.m_output));
    out.setRunner(turn.m_runner);
    fill(out.initProgram(), turn.m_program);
    fill(out.initAttempt(), turn.m_attempt);
    out.setTokens(turn.m_tokens);
}

turn_record read(turns_wire::Turn::Reader in)
{
    turn_record turn;
    turn.m_id = text_of(in.getId());
    turn.m_parent = text_of(in.getParent());
    turn.m_input = data_of(in.getInput());
    turn.m_output = data_of(in.getOutput());
    turn.m_runner = text_of(in.getRunner());
    turn.m_program = read(in.getProgram());
    turn.m_attempt = read(in.getAttempt());
    turn.m_tokens = in.getTokens();
    return turn;
}

void fill(turns_wire::Entry::Builder out, const log_entry& entry)
{
    out.setRetentionMs(entry.m_retention_ms);
    if (const auto* turn = std::get_if<turn_record>(&entry.m_what))
        fill(out.initTurn(), *turn);
    else
        fill(out.initReservation(), std::get<reservation>(entry.m_what));
}

void fill(turns_wire::Kept::Builder out, const kept_reservation& kept)
{
    out.setRetentionMs(kept.m_retention_ms);
    fill(out.initReservation(), kept.m_row);
}

kept_reservation read(turns_wire::Kept::Reader in)
{
    return {in.getRetentionMs(), read(in.getReservation())};
}

log_entry read(turns_wire::Entry::Reader in)
{
    log_entry entry;
    entry.m_retention_ms = in.getRetentionMs();
    if (in.isTurn())
        entry.m_what = read(in.getTurn());
    else
        entry.m_what = read(in.getReservation());
    return entry;
}

void fill(turns_wire::Member::Builder out, const member& row)
{
    out.setName(row.m_name);
    out.setAddress(row.m_address);
    out.setZone(row.m_availability_zone);
    out.setDisk(row.m_disk);
    out.setState(static_cast<std::uint8_t>(row.m_state));
    out.setIntact(row.m_intact);
}

void fill(turns_wire::Retirement::Builder out, const retirement& row)
{
    out.setVm(row.m_vm);
    out.setRevision(row.m_revision);
    out.setWithdrawn(row.m_withdrawn);
}

retirement read(turns_wire::Retirement::Reader in)
{
    return {text_of(in.getVm()), in.getRevision(), in.getWithdrawn()};
}

void fill(turns_wire::View::Builder out, const cluster_view& view)
{
    out.setEpoch(view.m_epoch);
    auto members = out.initMembers(view.m_members.size());
    for (unsigned i = 0; i < members.size(); ++i)
        fill(members[i], view.m_members[i]);
    out.setSet(view.m_set);
    out.setSetCount(view.m_set_count);
}

template <class List, class Rows> void fill_all(List out, const Rows& rows)
{
    for (unsigned i = 0; i < out.size(); ++i)
        fill(out[i], rows[i]);
}

void fill(turns_wire::State::Builder out, const cluster_state& state)
{
    out.setConfigRevision(state.m_config_revision);
    out.setConfig(state.m_config);
    out.setRunnersRevision(state.m_runners_revision);
    auto runners = out.initRunners(state.m_runners.size());
    for (unsigned i = 0; i < runners.size(); ++i)
    {
        runners[i].setName(state.m_runners[i].m_name);
        runners[i].setText(state.m_runners[i].m_text);
        runners[i].setRevision(state.m_runners[i].m_revision);
        runners[i].setGone(state.m_runners[i].m_gone);
    }
    fill_all(out.initViews(state.m_views.size()), state.m_views);
    fill_all(out.initRetirements(state.m_retirements.size()),
             state.m_retirements);
}

member read(turns_wire::Member::Reader in)
{
    member row;
    row.m_name = text_of(in.getName());
    row.m_address = text_of(in.getAddress());
    row.m_availability_zone = text_of(in.getZone());
    row.m_disk = in.getDisk();
    row.m_state = static_cast<member_state>(in.getState());
    row.m_intact = in.getIntact();
    return row;
}

cluster_view read(turns_wire::View::Reader in)
{
    cluster_view view;
    view.m_epoch = in.getEpoch();
    for (const auto row : in.getMembers())
        view.m_members.push_back(read(row));
    view.m_set = in.getSet();
    view.m_set_count = in.getSetCount();
    return view;
}

template <class Row, class List> std::vector<Row> read_all(List in)
{
    std::vector<Row> rows;
    rows.reserve(in.size());
    for (const auto row : in)
        rows.push_back(read(row));
    return rows;
}

cluster_state read(turns_wire::State::Reader in)
{
    cluster_state state;
    state.m_config_revision = in.getConfigRevision();
    state.m_config = text_of(in.getConfig());
    state.m_runners_revision = in.getRunnersRevision();
    for (const auto row : in.getRunners())
        state.m_runners.push_back({text_of(row.getName()),
                                   text_of(row.getText()), row.getRevision(),
                                   row.getGone()});
    state.m_views = read_all<cluster_view>(in.getViews());
    state.m_retirements = read_all<retirement>(in.getRetirements());
    return state;
}

/// Writes each kind of body into its member of the union.
struct body_writer
{
    turns_wire::Frame::Builder m_out;

    void operator()(const hello_message& body)
    {
        auto out = m_out.initHello();
        out.setName(body.m_name);
        out.setWantsNews(body.m_wants_news);
    }
    void operator()(const cluster_state& body)
    {
        fill(m_out.initState(), body);
    }
    void operator()(const beat_message& body)
    {
        auto out = m_out.initBeat();
        out.setStoreAgeMs(body.m_store_age_ms);
        out.setWatches(body.m_watches);
    }
    void operator()(const begin_message& body)
    {
        auto out = m_out.initBegin();
        fill(out.initReservation(), body.m_reservation);
        out.setRetentionMs(body.m_retention_ms);
        out.setParent(body.m_parent);
        out.setWantChain(body.m_want_chain);
    }
    void operator()(const begun_message& body)
    {
        auto out = m_out.initBegun();
        fill_all(out.initLedger(body.m_ledger.size()), body.m_ledger);
        out.setParentFound(body.m_parent_found);
        fill_all(out.initChain(body.m_chain.size()), body.m_chain);
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
        fill_all(m_out.initFetched(body.m_chain.size()), body.m_chain);
    }
    void operator()(const list_message& body)
    {
        auto out = m_out.initList();
        out.setFrom(body.m_from);
        out.setGathered(body.m_gathered);
    }
    void operator()(const listed_message& body)
    {
        auto out = m_out.initListed();
        out.setNext(body.m_next);
        out.setMore(body.m_more);
        auto turns = out.initTurns(body.m_turns.size());
        for (unsigned i = 0; i < turns.size(); ++i)
        {
            fill(turns[i].initKey(), body.m_turns[i].m_key);
            turns[i].setPosition(body.m_turns[i].m_position);
        }
        fill_all(out.initReservations(body.m_reservations.size()),
                 body.m_reservations);
    }
    void operator()(const read_message& body)
    {
        auto out = m_out.initRead(body.m_positions.size());
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, body.m_positions[i]);
    }
    void operator()(const entries_message& body)
    {
        auto out = m_out.initEntries(body.m_entries.size());
        for (unsigned i = 0; i < out.size(); ++i)
            out.set(i, data_from(body.m_entries[i]));
    }
    void operator()(const copied_message&)
    {
        m_out.setCopied();
    }
    void operator()(const want_config_message&)
    {
        m_out.setWantConfig();
    }
    void operator()(const want_freshness_message&)
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
    void operator()(const quota_question& body)
    {
        auto out = m_out.initQuotaQuestion();
        out.setWorkspace(body.m_workspace);
        out.setRatePerS(body.m_limit.m_rate_per_s);
        out.setBurst(body.m_limit.m_burst);
        out.setConfigRevision(body.m_config_revision);
        out.setBegins(body.m_begins);
        out.setReturned(body.m_returned);
        out.setProgram(body.m_program);
    }
    void operator()(const quota_answer& body)
    {
        auto out = m_out.initQuotaAnswer();
        out.setOutcome(static_cast<std::uint8_t>(body.m_outcome));
        out.setRetryMs(body.m_retry_ms);
    }
};

begin_message read_begin(turns_wire::Begin::Reader in)
{
    return {read(in.getReservation()), in.getRetentionMs(),
            text_of(in.getParent()), in.getWantChain()};
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
        out.m_turns.push_back({read(row.getKey()), row.getPosition()});
    out.m_reservations = read_all<kept_reservation>(in.getReservations());
    return out;
}

read_message read_positions(capnp::List<std::uint64_t>::Reader in)
{
    read_message out;
    for (const auto position : in)
        out.m_positions.push_back(position);
    return out;
}

entries_message read_entries(capnp::List<capnp::Data>::Reader in)
{
    entries_message out;
    for (const auto entry : in)
        out.m_entries.push_back(data_of(entry));
    return out;
}

quota_question read_question(turns_wire::QuotaQuestion::Reader in)
{
    return {in.getWorkspace(),      {in.getRatePerS(), in.getBurst()},
            in.getConfigRevision(), in.getProgram(),
            in.getBegins(),         in.getReturned()};
}

quota_answer read_answer(turns_wire::QuotaAnswer::Reader in)
{
    // What is not known here grants nothing.
    const auto outcome = std::min(
        in.getOutcome(), static_cast<std::uint8_t>(quota_outcome::not_owner));
    return {static_cast<quota_outcome>(outcome), in.getRetryMs()};
}

std::optional<frame_body> read_body(turns_wire::Frame::Reader in)
{
    using kind = turns_wire::Frame;
    switch (in.which())
    {
    case kind::HELLO:
        return hello_message{text_of(in.getHello().getName()),
                             in.getHello().getWantsNews()};
    case kind::STATE:
        return read(in.getState());
    case kind::BEAT:
        return beat_message{in.getBeat().getStoreAgeMs(),
                            in.getBeat().getWatches()};
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
        return list_message{in.getList().getFrom(), in.getList().getGathered()};
    case kind::LISTED:
        return read_listed(in.getListed());
    case kind::READ:
        return read_positions(in.getRead());
    case kind::ENTRIES:
        return read_entries(in.getEntries());
    case kind::COPIED:
        return copied_message{};
    case kind::WANT_CONFIG:
        return want_config_message{};
    case kind::WANT_FRESHNESS:
        return want_freshness_message{};
    case kind::FRESHNESS:
        return freshness_message{in.getFreshness().getConfigRevision(),
                                 in.getFreshness().getConfigAgeMs(),
                                 in.getFreshness().getViewsAgeMs()};
    case kind::QUOTA_QUESTION:
        return read_question(in.getQuotaQuestion());
    case kind::QUOTA_ANSWER:
        return read_answer(in.getQuotaAnswer());
    }
    return std::nullopt;
}

/// Bytes copied to where words may be read.
kj::Array<capnp::word> aligned(std::string_view bytes)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    return words;
}

capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_frame_bytes;
    return options;
}

/// Runs \p decode over the message in \p bytes; the library reports by
/// exception, ours are values.
template <class Root, class Decode>
auto decode_message(std::string_view bytes, std::string& reason, Decode decode)
    -> decltype(decode(std::declval<typename Root::Reader>()))
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    {
        reason = "length " + std::to_string(bytes.size()) + " is not of words";
        return std::nullopt;
    }
    try
    {
        const auto words = aligned(bytes);
        capnp::FlatArrayMessageReader reader(words, reader_options());
        return decode(reader.getRoot<Root>());
    }
    catch (const kj::Exception& error)
    {
        reason = error.getDescription().cStr();
        return std::nullopt;
    }
}

void put_length(std::string& out, std::size_t length)
{
    for (std::size_t i = 0; i < length_bytes; ++i)
        out.push_back(static_cast<char>(length >> (8 * i) & 0xffU));
}

} // namespace

const char* to_string(frame_status status)
{
    switch (status)
    {
    case frame_status::ok:
        return "ok";
    case frame_status::stale:
        return "stale";
    case frame_status::not_member:
        return "not_member";
    case frame_status::failed:
        return "failed";
    }
    return "unknown";
}

id_key key_of(const std::string& id)
{
    return {hash64(id, second_hash_seed), hash64(id)};
}

std::string encode_frame(const frame& value)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<turns_wire::Frame>();
    root.setCall(value.m_call);
    root.setEpoch(value.m_epoch);
    root.setStatus(static_cast<turns_wire::Status>(value.m_status));
    std::visit(body_writer{root}, value.m_body);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    std::string out;
    out.reserve(bytes.size() + length_bytes);
    put_length(out, bytes.size());
    out.append(bytes.begin(), bytes.size());
    return out;
}

std::optional<frame> decode_frame(std::string_view bytes, std::string& reason)
{
    return decode_message<turns_wire::Frame>(
        bytes, reason,
        [&](turns_wire::Frame::Reader root) -> std::optional<frame> {
            auto body = read_body(root);
            if (!body)
            {
                reason = "unknown kind of frame";
                return std::nullopt;
            }
            return frame{root.getCall(), root.getEpoch(),
                         static_cast<frame_status>(root.getStatus()),
                         std::move(*body)};
        });
}

std::string encode_entry(const log_entry& value)
{
    capnp::MallocMessageBuilder builder;
    fill(builder.initRoot<turns_wire::Entry>(), value);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

std::optional<log_entry> decode_entry(std::string_view bytes,
                                      std::string& reason)
{
    return decode_message<turns_wire::Entry>(
        bytes, reason,
        [](turns_wire::Entry::Reader root) -> std::optional<log_entry> {
            return read(root);
        });
}

} // namespace pepperturn
