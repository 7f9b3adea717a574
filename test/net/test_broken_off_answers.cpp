// SPDX-License-Identifier: BSL-1.0
// Answers of engines and services that are broken off, whatever their framing
// says.
#include "support/net/answers.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

const std::string json_type = "application/json";
const std::string event_type = "text/event-stream";
const std::string body = "{\"a\":1}";

struct plain_row
{
    const char* m_what;
    std::string m_bytes;
    closing m_how;
    transfer_end m_expected;
};

/// \p from without its last \p count bytes.
std::string without_last(std::string from, std::size_t count)
{
    from.resize(from.size() - count);
    return from;
}

const auto by_length = answer_of(framing::length, json_type, body);
const auto by_chunks = answer_of(framing::chunks, json_type, body);
const auto by_close = answer_of(framing::connection_close, json_type, body);
const std::size_t last_chunk_size = std::string(last_chunk).size();

const std::vector<plain_row> plain_rows{
    {"length", by_length, closing::fin, transfer_end::complete},
    {"length, a byte short", without_last(by_length, 1), closing::fin,
     transfer_end::cut},
    {"length, a byte short, reset", without_last(by_length, 1), closing::reset,
     transfer_end::cut},
    {"length, no body", without_last(by_length, body.size()), closing::fin,
     transfer_end::cut},
    {"chunks", by_chunks, closing::fin, transfer_end::complete},
    {"chunks, no last chunk", without_last(by_chunks, last_chunk_size),
     closing::fin, transfer_end::cut},
    {"chunks, no last chunk, reset", without_last(by_chunks, last_chunk_size),
     closing::reset, transfer_end::cut},
    {"chunks, half of the last chunk", without_last(by_chunks, 2), closing::fin,
     transfer_end::cut},
    {"chunks, inside a chunk", without_last(by_chunks, last_chunk_size + 4),
     closing::fin, transfer_end::cut},
    {"close", by_close, closing::fin, transfer_end::complete},
    {"close, reset", by_close, closing::reset, transfer_end::cut},
    {"inside the head", "HTTP/1.1 200 OK\r\nContent-Le", closing::fin,
     transfer_end::cut},
    {"nothing", "", closing::fin, transfer_end::cut},
};

/// Ends of a stream that lie inside its second event.
const std::vector<std::string> unfinished_events{
    "d",           "data: b",   "data: b\n",         "id: 2\n",
    "data: b\r\n", "data: b\r", "data: b\n: alive\n"};

std::string chunk_with(const std::string& text)
{
    return "data: {\"choices\":[{\"delta\":{\"content\":\"" + text +
           "\"}}]}\n\n";
}

const std::string usage_event =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
    "\"completion_tokens\":2}}\n\n";
const std::string end_event = "data: [DONE]\n\n";
const std::string two_pieces = chunk_with("a") + chunk_with("b") + usage_event;

struct chat_row
{
    const char* m_what;
    std::string m_body;
    attempt_end m_expected;
    std::string m_text;
};

std::string replace_all(std::string in, const std::string& from,
                        const std::string& to)
{
    for (auto at = in.find(from); at != std::string::npos;
         at = in.find(from, at + to.size()))
        in.replace(at, from.size(), to);
    return in;
}

const std::vector<chat_row> chat_rows{
    {"whole", two_pieces + end_event, attempt_end::complete, "ab"},
    {"no blank after the colon",
     replace_all(two_pieces + end_event, "data: ", "data:"),
     attempt_end::complete, "ab"},
    {"lines end with a carriage return",
     replace_all(two_pieces + end_event, "\n", "\r"), attempt_end::complete,
     "ab"},
    {"lines end with both", replace_all(two_pieces + end_event, "\n", "\r\n"),
     attempt_end::complete, "ab"},
    {"comments between", ": alive\n\n" + two_pieces + ": alive\n" + end_event,
     attempt_end::complete, "ab"},
    {"an event of several data lines",
     "data: {\"choices\":[{\"delta\":\ndata: {\"content\":\"ab\"}}]}\n\n" +
         end_event,
     attempt_end::complete, "ab"},
    {"no end marker", two_pieces, attempt_end::aborted, "ab"},
    {"nothing", "", attempt_end::aborted, ""},
    {"the end marker's line has not ended", two_pieces + "data: [DONE]",
     attempt_end::aborted, "ab"},
    {"the end marker's event has not ended", two_pieces + "data: [DONE]\n",
     attempt_end::aborted, "ab"},
    {"an event breaks off and the end marker follows",
     chunk_with("a") + "data: {\"choices\":[{\"delta\":{\"cont\n\n" +
         usage_event + end_event,
     attempt_end::aborted, "a"},
    {"an event is no object",
     chunk_with("a") + "data: 7\n\n" + usage_event + end_event,
     attempt_end::aborted, "a"},
    {"an error event and the end marker",
     chunk_with("a") + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n" +
         end_event,
     attempt_end::aborted, "a"},
    {"an error field of null is none",
     "data: {\"error\":null,\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}"
     "\n\n" +
         end_event,
     attempt_end::complete, "ab"},
};

} // namespace

TEST_CASE("a plain answer that was broken off is never complete", "[net]")
{
    for (const auto& row : plain_rows)
    {
        INFO(row.m_what);
        const raw_server server(row.m_bytes, row.m_how);
        const auto got = fetch_from(server);
        CHECK(got.m_end == row.m_expected);
        if (row.m_expected == transfer_end::complete)
            CHECK(got.m_body == body);
        // An effect that may have been made is not asked for again.
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("a service's answer that was broken off is reported as aborted",
          "[net]")
{
    for (const auto& row : plain_rows)
    {
        INFO(row.m_what);
        const raw_server server(row.m_bytes, row.m_how);
        const auto report = send_service_to(server);
        CHECK((report.m_end == attempt_end::complete) ==
              (row.m_expected == transfer_end::complete));
        CHECK(report.m_end != attempt_end::not_sent);
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("a service's events that end inside an event are broken off", "[net]")
{
    const std::string one_event = "data: a\n\n";
    for (const auto how : all_framings)
    {
        for (const auto& rest : unfinished_events)
        {
            INFO(to_string(how) << ": " << rest);
            const raw_server server(
                answer_of(how, event_type, one_event + rest));
            CHECK(fetch_from(server).m_end == transfer_end::cut);
            const auto report = send_service_to(server);
            CHECK(report.m_end == attempt_end::aborted);
            CHECK_FALSE(report.m_reason.empty());
        }
    }
}

TEST_CASE("a failure of the type of a stream is returned unchanged", "[net]")
{
    for (const auto how : all_framings)
    {
        INFO(to_string(how));
        auto bytes = answer_of(how, event_type, "boom");
        bytes.replace(bytes.find("200 OK"), 6, "500 No");
        const raw_server server(bytes);
        const auto report = send_service_to(server);
        CHECK(report.m_end == attempt_end::complete);
        CHECK(report.m_status == 500);
        CHECK(report.m_body == "boom");
    }
}

TEST_CASE("a service's events that ended are complete", "[net]")
{
    const std::vector<std::string> samples{
        "data: a\n\n", "data: a\r\r", "data: a\r\n\r\n", "data: a\n\n: alive\n",
        "data: a\n\n\n"};
    for (const auto how : all_framings)
    {
        for (const auto& sample : samples)
        {
            INFO(to_string(how) << ": " << sample);
            for (const auto* type :
                 {"text/event-stream", "Text/Event-Stream; charset=utf-8"})
            {
                const raw_server server(answer_of(how, type, sample));
                const auto got = fetch_from(server);
                CHECK(got.m_end == transfer_end::complete);
                CHECK(got.m_body == sample);
            }
        }
    }
}

TEST_CASE("events that close before the first one are broken off", "[net]")
{
    for (const auto how : all_framings)
    {
        INFO(to_string(how));
        const raw_server server(answer_of(how, event_type, ""));
        CHECK(fetch_from(server).m_end == (how == framing::connection_close
                                               ? transfer_end::cut
                                               : transfer_end::complete));
    }
}

TEST_CASE("a chat answer is complete only if all of its events came", "[net]")
{
    for (const auto how : all_framings)
    {
        for (const auto& row : chat_rows)
        {
            INFO(to_string(how) << ": " << row.m_what);
            const raw_server server(answer_of(how, event_type, row.m_body));
            const auto got = send_chat_to(server);
            CHECK(got.m_report.m_end == row.m_expected);
            CHECK(got.m_report.m_body == row.m_text);
            CHECK(got.m_streamed == row.m_text);
            if (row.m_expected == attempt_end::aborted)
                CHECK_FALSE(got.m_report.m_reason.empty());
            // What a caller has seen is not tried again behind its back.
            if (row.m_expected == attempt_end::aborted)
                CHECK(got.m_report.m_no_retry == !row.m_text.empty());
        }
    }
}

TEST_CASE("a chat answer whose connection breaks is complete by its end marker",
          "[net]")
{
    const auto whole =
        answer_of(framing::chunks, event_type, two_pieces + end_event);
    for (const auto how : {closing::fin, closing::reset})
    {
        const raw_server marked(without_last(whole, last_chunk_size), how);
        const auto got = send_chat_to(marked);
        CHECK(got.m_report.m_end == attempt_end::complete);
        CHECK(got.m_report.m_body == "ab");
        REQUIRE(got.m_report.m_usage);
        CHECK(got.m_report.m_usage->m_prompt_tokens == 5);
        const auto tail = last_chunk_size + 2 + end_event.size();
        const raw_server unmarked(without_last(whole, tail), how);
        CHECK(send_chat_to(unmarked).m_report.m_end == attempt_end::aborted);
    }
}
