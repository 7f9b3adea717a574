// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/codec/wire.hpp"

#include <capnp/message.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace pepperturn;

namespace {

rc::Gen<std::string> text()
{
    // Cap'n Proto text ends at a NUL; names and contents hold none.
    return rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

session_key any_session()
{
    return {{*text(), *text(), *text()}, *text()};
}

record any_record(int kind)
{
    switch (kind)
    {
    case 0:
        return takeover_record{*text(), *rc::gen::arbitrary<std::uint64_t>()};
    case 1:
        return handoff_record{
            *text(), *text(), {{*text(), any_session(), 4, 5}}};
    case 2:
        return program_record{any_session().m_program, 1, 2, 3, 4, true,
                              {*text(), "r"}};
    case 3:
        return started_record{*text(), any_session(), 7, 8, *text(), "r"};
    case 4: {
        ended_record out;
        out.m_call = *text();
        out.m_session = any_session();
        out.m_seq = *rc::gen::arbitrary<std::uint64_t>();
        out.m_messages = {{"user", *text()}};
        out.m_answer.m_body = *rc::gen::arbitrary<std::string>();
        out.m_answer.m_outcome = outcome::ran;
        out.m_cost = 3;
        return out;
    }
    case 5:
        return resolved_record{any_session(), 2, outcome::not_run};
    default:
        return released_record{any_session().m_program, *text()};
    }
}

} // namespace

TEST_CASE("log entries survive their encoding", "[codec]")
{
    CHECK(rc::check("encode, decode", [] {
        batch entry;
        entry.m_nonce = *rc::gen::arbitrary<std::uint64_t>();
        entry.m_epoch = 3;
        for (int kind = 0; kind < 7; ++kind)
            entry.m_records.push_back(any_record(kind));
        std::string reason;
        const auto read =
            codec::decode_batch(codec::encode_batch(entry), reason);
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == entry);
    }));
}

TEST_CASE("reports between VMs keep whether usage was stated", "[codec]")
{
    call_report report;
    report.m_call = "vm-1";
    report.m_end = attempt_end::complete;
    report.m_status = 200;
    for (const auto& usage :
         {std::optional<token_usage>{}, std::optional(token_usage{}),
          std::optional(token_usage{7, 2, 3})})
    {
        report.m_usage = usage;
        report.m_broken_answer = !usage;
        capnp::MallocMessageBuilder message;
        codec::write(report, message.initRoot<wire::Report>());
        CHECK(codec::read(message.getRoot<wire::Report>().asReader()) ==
              report);
    }
}

TEST_CASE("damaged entries are refused with a reason", "[codec][fuzz]")
{
    CHECK(rc::check("decode", [] {
        batch entry;
        entry.m_records.push_back(any_record(4));
        auto bytes = codec::encode_batch(entry);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 255));
        bytes.resize(bytes.size() - *rc::gen::element(0, 1, 8, 64));
        std::string reason;
        if (!codec::decode_batch(bytes, reason))
            RC_ASSERT(!reason.empty());
    }));
}

// What says nothing of a status says nothing of whether a call has run.
TEST_CASE("a report whose status no response can have is aborted", "[codec]")
{
    struct sample
    {
        attempt_end m_end;
        std::int32_t m_status;
        attempt_end m_expected;
    };
    using end = attempt_end;
    const std::vector<sample> samples{
        {end::complete, 200, end::complete},
        {end::complete, 599, end::complete},
        {end::complete, 0, end::aborted},
        {end::complete, -20, end::aborted},
        {end::complete, 20, end::aborted},
        {end::complete, 199, end::aborted},
        {end::complete, 600, end::aborted},
        {end::complete, 999, end::aborted},
        {end::not_sent, 0, end::not_sent},
        {end::aborted, 0, end::aborted},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_status);
        call_report report;
        report.m_end = each.m_end;
        report.m_status = each.m_status;
        capnp::MallocMessageBuilder message;
        codec::write(report, message.initRoot<wire::Report>());
        const auto read =
            codec::read(message.getRoot<wire::Report>().asReader());
        CHECK(read.m_end == each.m_expected);
        CHECK(read.m_broken_answer == (each.m_expected != each.m_end));
    }
}
