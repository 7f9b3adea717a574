// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/codec/wire.hpp"

#include "pepperturn/http/response_status.hpp"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace pepperturn::codec {

namespace {

// The overloads below would hide the public ones.
using codec::read;
using codec::read_outcome;
using codec::write;

capnp::Data::Reader as_data(const std::string& text)
{
    return {reinterpret_cast<const capnp::byte*>(text.data()), text.size()};
}

std::string as_string(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

std::string as_string(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

void write(const std::vector<message>& value,
           capnp::List<wire::Message>::Builder out)
{
    for (unsigned i = 0; i < value.size(); ++i)
    {
        out[i].setRole(value[i].m_role);
        out[i].setContent(value[i].m_content);
    }
}

std::vector<message> read(capnp::List<wire::Message>::Reader in)
{
    std::vector<message> out;
    out.reserve(in.size());
    for (const auto entry : in)
        out.push_back(
            {as_string(entry.getRole()), as_string(entry.getContent())});
    return out;
}

void write(const grant& value, wire::Grant::Builder out)
{
    out.setCall(value.m_call);
    out.setAttempt(value.m_attempt);
    out.setPartition(value.m_partition);
    out.setEpoch(value.m_epoch);
    out.setSeq(value.m_seq);
    out.setRunner(value.m_runner);
    out.setAddress(value.m_address);
    out.setCacheKey(value.m_cache_key);
    write(value.m_prompt, out.initPrompt(value.m_prompt.size()));
    out.setMaxTokens(value.m_max_tokens);
    out.setPriority(value.m_priority);
    out.setTimeoutMs(value.m_timeout.count());
}

grant read(wire::Grant::Reader in)
{
    grant out;
    out.m_call = as_string(in.getCall());
    out.m_attempt = in.getAttempt();
    out.m_partition = in.getPartition();
    out.m_epoch = in.getEpoch();
    out.m_seq = in.getSeq();
    out.m_runner = as_string(in.getRunner());
    out.m_address = as_string(in.getAddress());
    out.m_cache_key = as_string(in.getCacheKey());
    out.m_prompt = read(in.getPrompt());
    out.m_max_tokens = in.getMaxTokens();
    out.m_priority = in.getPriority();
    out.m_timeout = milliseconds(in.getTimeoutMs());
    return out;
}

void write(const answer& value, wire::Answer::Builder out)
{
    out.setCall(value.m_call);
    out.setOutcome(static_cast<std::uint8_t>(value.m_outcome));
    out.setStatus(value.m_status);
    out.setReason(value.m_reason);
    out.setBody(as_data(value.m_body));
    out.setRunner(value.m_runner);
    out.setSeq(value.m_seq);
    out.setPromptTokens(value.m_prompt_tokens);
    out.setCachedTokens(value.m_cached_tokens);
    out.setOutputTokens(value.m_output_tokens);
    out.setPending(value.m_pending);
    out.setRetryAfterMs(value.m_retry_after.count());
}

call_kind read_kind(std::uint8_t value)
{
    return value == static_cast<std::uint8_t>(call_kind::service)
               ? call_kind::service
               : call_kind::chat;
}

answer read(wire::Answer::Reader in)
{
    answer out;
    out.m_call = as_string(in.getCall());
    out.m_outcome = read_outcome(in.getOutcome());
    out.m_status = in.getStatus();
    out.m_reason = as_string(in.getReason());
    out.m_body = as_string(in.getBody());
    out.m_runner = as_string(in.getRunner());
    out.m_seq = in.getSeq();
    out.m_prompt_tokens = in.getPromptTokens();
    out.m_cached_tokens = in.getCachedTokens();
    out.m_output_tokens = in.getOutputTokens();
    out.m_pending = in.getPending();
    out.m_retry_after = milliseconds(in.getRetryAfterMs());
    return out;
}

void write(const takeover_record& value, wire::Record::Builder out)
{
    auto group = out.initTakeover();
    group.setVm(value.m_vm);
    group.setEpoch(value.m_epoch);
}

void write(const handoff_record& value, wire::Record::Builder out)
{
    auto group = out.initHandoff();
    group.setFromVm(value.m_vm);
    group.setToVm(value.m_to);
    auto calls = group.initInFlight(value.m_in_flight.size());
    for (unsigned i = 0; i < value.m_in_flight.size(); ++i)
    {
        const auto& entry = value.m_in_flight[i];
        calls[i].setCall(entry.m_call);
        write(entry.m_session, calls[i].initSession());
        calls[i].setSeq(entry.m_seq);
        calls[i].setDigest(entry.m_digest);
    }
}

void write(const program_record& value, wire::Record::Builder out)
{
    auto target = out.initProgram();
    write(value.m_key, target.initKey());
    target.setBudget(value.m_budget);
    target.setSpent(value.m_spent);
    target.setReserved(value.m_reserved);
    target.setOpenedEpoch(value.m_opened_epoch);
    target.setEnded(value.m_ended);
    auto holders = target.initHolders(value.m_holders.size());
    unsigned i = 0;
    for (const auto& holder : value.m_holders)
        holders.set(i++, holder);
}

void write(const started_record& value, wire::Record::Builder out)
{
    auto target = out.initStarted();
    target.setCall(value.m_call);
    write(value.m_session, target.initSession());
    target.setSeq(value.m_seq);
    target.setDigest(value.m_digest);
    target.setIdempotencyKey(value.m_idempotency_key);
    target.setRunner(value.m_runner);
}

void write(const ended_record& value, wire::Record::Builder out)
{
    auto target = out.initEnded();
    target.setCall(value.m_call);
    write(value.m_session, target.initSession());
    target.setSeq(value.m_seq);
    target.setDigest(value.m_digest);
    target.setIdempotencyKey(value.m_idempotency_key);
    target.setKind(static_cast<std::uint8_t>(value.m_kind));
    write(value.m_messages, target.initMessages(value.m_messages.size()));
    write(value.m_answer, target.initAnswer());
    target.setCost(value.m_cost);
    target.setReserved(value.m_reserved);
    target.setRepeatable(value.m_repeatable);
}

void write(const resolved_record& value, wire::Record::Builder out)
{
    auto group = out.initResolved();
    write(value.m_session, group.initSession());
    group.setSeq(value.m_seq);
    group.setOutcome(static_cast<std::uint8_t>(value.m_outcome));
}

void write(const released_record& value, wire::Record::Builder out)
{
    auto group = out.initReleased();
    write(value.m_key, group.initKey());
    group.setRunner(value.m_runner);
}

program_record read(wire::ProgramRecord::Reader in)
{
    program_record out;
    out.m_key = read(in.getKey());
    out.m_budget = in.getBudget();
    out.m_spent = in.getSpent();
    out.m_reserved = in.getReserved();
    out.m_opened_epoch = in.getOpenedEpoch();
    out.m_ended = in.getEnded();
    for (const auto holder : in.getHolders())
        out.m_holders.insert(as_string(holder));
    return out;
}

started_record read(wire::StartedRecord::Reader in)
{
    return {as_string(in.getCall()),
            read(in.getSession()),
            in.getSeq(),
            in.getDigest(),
            as_string(in.getIdempotencyKey()),
            as_string(in.getRunner())};
}

ended_record read(wire::EndedRecord::Reader in)
{
    ended_record out;
    out.m_call = as_string(in.getCall());
    out.m_session = read(in.getSession());
    out.m_seq = in.getSeq();
    out.m_digest = in.getDigest();
    out.m_idempotency_key = as_string(in.getIdempotencyKey());
    out.m_kind = read_kind(in.getKind());
    out.m_messages = read(in.getMessages());
    out.m_answer = read(in.getAnswer());
    out.m_cost = in.getCost();
    out.m_reserved = in.getReserved();
    out.m_repeatable = in.getRepeatable();
    return out;
}

handoff_record read_handoff(wire::Record::Handoff::Reader in)
{
    handoff_record out{as_string(in.getFromVm()), as_string(in.getToVm()), {}};
    for (const auto entry : in.getInFlight())
        out.m_in_flight.push_back({as_string(entry.getCall()),
                                   read(entry.getSession()), entry.getSeq(),
                                   entry.getDigest()});
    return out;
}

std::optional<record> read(wire::Record::Reader in)
{
    switch (in.which())
    {
    case wire::Record::TAKEOVER:
        return takeover_record{as_string(in.getTakeover().getVm()),
                               in.getTakeover().getEpoch()};
    case wire::Record::HANDOFF:
        return read_handoff(in.getHandoff());
    case wire::Record::PROGRAM:
        return read(in.getProgram());
    case wire::Record::STARTED:
        return read(in.getStarted());
    case wire::Record::ENDED:
        return read(in.getEnded());
    case wire::Record::RESOLVED:
        return resolved_record{read(in.getResolved().getSession()),
                               in.getResolved().getSeq(),
                               read_outcome(in.getResolved().getOutcome())};
    case wire::Record::RELEASED:
        return released_record{read(in.getReleased().getKey()),
                               as_string(in.getReleased().getRunner())};
    }
    return std::nullopt;
}

} // namespace

void write(const program_key& value, wire::ProgramKey::Builder out)
{
    out.setWorkspace(value.m_workspace);
    out.setRoot(value.m_root);
    out.setProgram(value.m_program);
}

program_key read(wire::ProgramKey::Reader in)
{
    return {as_string(in.getWorkspace()), as_string(in.getRoot()),
            as_string(in.getProgram())};
}

void write(const session_key& value, wire::SessionKey::Builder out)
{
    write(value.m_program, out.initProgram());
    out.setSession(value.m_session);
}

session_key read(wire::SessionKey::Reader in)
{
    return {read(in.getProgram()), as_string(in.getSession())};
}

/// Values of a newer version read as the one that promises least.
outcome read_outcome(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(outcome::unknown)
               ? static_cast<outcome>(value)
               : outcome::unknown;
}

void write(const call_request& value, wire::Request::Builder out)
{
    out.setId(value.m_id);
    out.setEntryVm(value.m_entry_vm);
    write(value.m_session, out.initSession());
    out.setSeq(value.m_seq.value_or(0));
    out.setIdempotencyKey(value.m_idempotency_key);
    out.setKind(static_cast<std::uint8_t>(value.m_kind));
    out.setUpstream(value.m_upstream);
    out.setRepeatable(value.m_repeatable);
    out.setMethod(value.m_method);
    out.setPath(value.m_path);
    out.setBody(as_data(value.m_body));
    write(value.m_messages, out.initMessages(value.m_messages.size()));
    out.setMaxTokens(value.m_max_tokens);
    out.setPatienceMs(value.m_queue_timeout.count());
}

call_request read(wire::Request::Reader in)
{
    call_request out;
    out.m_id = as_string(in.getId());
    out.m_entry_vm = as_string(in.getEntryVm());
    out.m_session = read(in.getSession());
    if (in.getSeq() != 0)
        out.m_seq = in.getSeq();
    out.m_idempotency_key = as_string(in.getIdempotencyKey());
    out.m_kind = read_kind(in.getKind());
    out.m_upstream = as_string(in.getUpstream());
    out.m_repeatable = in.getRepeatable();
    out.m_method = as_string(in.getMethod());
    out.m_path = as_string(in.getPath());
    out.m_body = as_string(in.getBody());
    out.m_messages = read(in.getMessages());
    out.m_max_tokens = in.getMaxTokens();
    out.m_queue_timeout = milliseconds(in.getPatienceMs());
    return out;
}

void write(const decision& value, wire::Decision::Builder out)
{
    if (const auto* permit = std::get_if<grant>(&value))
    {
        write(*permit, out.initGrant());
        return;
    }
    if (const auto* reply = std::get_if<answer>(&value))
    {
        write(*reply, out.initAnswer());
        return;
    }
    const auto& other = std::get<redirect>(value);
    auto target = out.initRedirect();
    target.setCall(other.m_call);
    target.setPartition(other.m_partition);
    target.setOwnerVm(other.m_owner_vm);
}

std::optional<decision> read(wire::Decision::Reader in)
{
    switch (in.which())
    {
    case wire::Decision::GRANT:
        return read(in.getGrant());
    case wire::Decision::ANSWER:
        return read(in.getAnswer());
    case wire::Decision::REDIRECT:
        return redirect{as_string(in.getRedirect().getCall()),
                        in.getRedirect().getPartition(),
                        as_string(in.getRedirect().getOwnerVm())};
    }
    return std::nullopt;
}

void write(const call_report& value, wire::Report::Builder out)
{
    out.setCall(value.m_call);
    out.setAttempt(value.m_attempt);
    out.setEpoch(value.m_epoch);
    out.setEnd(static_cast<std::uint8_t>(value.m_end));
    out.setStatus(value.m_status);
    out.setBody(as_data(value.m_body));
    out.setRunner(value.m_runner);
    out.setReason(value.m_reason);
    const auto usage = value.m_usage.value_or(token_usage{});
    out.setPromptTokens(usage.m_prompt_tokens);
    out.setCachedTokens(usage.m_cached_tokens);
    out.setOutputTokens(usage.m_output_tokens);
    out.setUsageUnknown(!value.m_usage);
    out.setNoRetry(value.m_no_retry);
    out.setBrokenAnswer(value.m_broken_answer);
}

call_report read(wire::Report::Reader in)
{
    call_report out;
    out.m_call = as_string(in.getCall());
    out.m_attempt = in.getAttempt();
    out.m_epoch = in.getEpoch();
    // An end that this version does not know may have been sent.
    out.m_end = in.getEnd() <= static_cast<std::uint8_t>(attempt_end::complete)
                    ? static_cast<attempt_end>(in.getEnd())
                    : attempt_end::aborted;
    out.m_status = in.getStatus();
    out.m_body = as_string(in.getBody());
    out.m_runner = as_string(in.getRunner());
    out.m_reason = as_string(in.getReason());
    // Earlier versions leave it unset, and tell unknown usage as zeros.
    if (!in.getUsageUnknown())
        out.m_usage = {in.getPromptTokens(), in.getCachedTokens(),
                       in.getOutputTokens()};
    out.m_no_retry = in.getNoRetry();
    out.m_broken_answer = in.getBrokenAnswer();
    // Earlier versions report whatever a runner sent as a status. It says
    // nothing, not even that the runner refused the call.
    if (out.m_end == attempt_end::complete && !is_final_status(out.m_status))
    {
        out.m_end = attempt_end::aborted;
        out.m_broken_answer = true;
        out.m_reason = "broken status " + std::to_string(out.m_status);
    }
    return out;
}

void write(const heartbeat& value, wire::Heartbeat::Builder out)
{
    out.setVm(value.m_vm);
    out.setIncarnation(value.m_incarnation);
    out.setConfigRevision(value.m_config_revision);
    out.setLeaving(value.m_leaving);
    out.setStoreDown(value.m_store_down);
    auto owned = out.initOwned(value.m_owned.size());
    for (unsigned i = 0; i < value.m_owned.size(); ++i)
    {
        owned[i].setPartition(value.m_owned[i].m_partition);
        owned[i].setEpoch(value.m_owned[i].m_epoch);
    }
}

heartbeat read(wire::Heartbeat::Reader in)
{
    heartbeat out;
    out.m_vm = as_string(in.getVm());
    out.m_incarnation = in.getIncarnation();
    out.m_config_revision = in.getConfigRevision();
    out.m_leaving = in.getLeaving();
    out.m_store_down = in.getStoreDown();
    for (const auto hint : in.getOwned())
        out.m_owned.push_back({hint.getPartition(), hint.getEpoch()});
    return out;
}

void write(const batch& value, wire::Batch::Builder out)
{
    out.setNonce(value.m_nonce);
    out.setEpoch(value.m_epoch);
    auto records = out.initRecords(value.m_records.size());
    for (unsigned i = 0; i < value.m_records.size(); ++i)
    {
        std::visit([&](const auto& entry) { write(entry, records[i]); },
                   value.m_records[i]);
    }
}

std::optional<batch> read(wire::Batch::Reader in)
{
    batch out;
    out.m_nonce = in.getNonce();
    out.m_epoch = in.getEpoch();
    for (const auto entry : in.getRecords())
    {
        auto value = read(entry);
        if (!value)
            return std::nullopt;
        out.m_records.push_back(std::move(*value));
    }
    return out;
}

std::string encode_batch(const batch& value)
{
    capnp::MallocMessageBuilder builder;
    write(value, builder.initRoot<wire::Batch>());
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<batch> decode_batch(std::string_view bytes, std::string& reason)
{
    if (bytes.size() % sizeof(capnp::word) != 0)
    {
        reason = "log entry is not a whole number of words";
        return std::nullopt;
    }
    // The bytes come from base64 and need not be aligned.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    std::optional<batch> out;
    const auto failure = kj::runCatchingExceptions([&] {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = 64U << 20U;
        capnp::FlatArrayMessageReader reader(words, options);
        out = read(reader.getRoot<wire::Batch>());
        if (!out)
            reason = "log entry holds a record of a newer version";
    });
    KJ_IF_MAYBE (error, failure)
    {
        reason = std::string("log entry is damaged: ") +
                 error->getDescription().cStr();
        return std::nullopt;
    }
    return out;
}

} // namespace pepperturn::codec
