// SPDX-License-Identifier: BSL-1.0
// What callers get over the wire: a stream that was not answered whole never
// ends as one that was.
#include "support/net/answers.hpp"

#include "pepperturn/daemon/caller_sink.hpp"
#include "pepperturn/standin/servers.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

const std::string request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string stream_end = std::string("\r\n") + last_chunk;

using script = std::function<void(const std::shared_ptr<http_responder>&)>;

/// What a caller gets from a server whose handler is \p answer.
std::string ask_server(const script& answer,
                       const http_server_options& options = {})
{
    std::string reason;
    const auto server = open_http_server(
        options,
        [&answer](const http_call&,
                  const std::shared_ptr<http_responder>& out) { answer(out); },
        reason);
    REQUIRE(server != nullptr);
    auto got = ask_raw(server->port(), request, stream_end);
    server->close();
    return got;
}

bool has(const std::string& in, const std::string& what)
{
    return in.find(what) != std::string::npos;
}

const http_headers event_headers{{"Content-Type", "text/event-stream"}};

answer answer_with(outcome verdict, std::int32_t status,
                   const std::string& text)
{
    answer out;
    out.m_call = "vm-1";
    out.m_outcome = verdict;
    out.m_status = status;
    out.m_body = text;
    out.m_reason = verdict == outcome::ran ? "" : "the response was incomplete";
    return out;
}

/// What a streaming caller gets of \p pieces and of the answer that follows.
std::string ask_chat(const std::vector<std::string>& pieces,
                     const answer& reply)
{
    return ask_server([&](const std::shared_ptr<http_responder>& out) {
        const auto sink = make_chat_sink(out, "model", true);
        for (const auto& piece : pieces)
            sink->on_token(piece);
        sink->on_answer(reply);
    });
}

} // namespace

TEST_CASE("a stream that was ended ends with its last chunk", "[net]")
{
    const auto got = ask_server([](const auto& out) {
        out->begin(200, event_headers);
        out->write("data: a\n\n");
        out->end();
    });
    CHECK(has(got, "data: a\n\n"));
    CHECK(got.ends_with(stream_end));
}

TEST_CASE("a stream that was dropped has no last chunk", "[net]")
{
    const std::vector<std::string> pieces{"", "data: a\n\n"};
    for (const auto& piece : pieces)
    {
        INFO(piece);
        const auto got = ask_server([&piece](const auto& out) {
            out->begin(200, event_headers);
            out->write(piece);
        });
        CHECK(has(got, "HTTP/1.1 200"));
        CHECK(has(got, piece));
        CHECK_FALSE(has(got, last_chunk));
    }
}

TEST_CASE("an answer that was dropped ends, and its connection with a stream",
          "[net]")
{
    using responder_ptr = std::shared_ptr<http_responder>;
    const std::string last = "GET /x HTTP/1.1\r\nHost: x\r\n"
                             "Connection: close\r\n\r\n";
    for (const bool begun : {false, true})
    {
        INFO(begun);
        std::string reason;
        const auto server = open_http_server(
            {},
            [begun](const http_call&, const responder_ptr& out) {
                if (begun)
                    out->begin(200, event_headers);
            },
            reason);
        REQUIRE(server != nullptr);
        CHECK(is_ended_by_server(server->port(), begun ? request : last));
        const auto got = ask_raw(server->port(), last, "{}");
        CHECK(has(got, begun ? "HTTP/1.1 200" : "HTTP/1.1 500"));
        server->close();
    }
}

TEST_CASE("a stream that left out a piece has no last chunk", "[net]")
{
    http_server_options options;
    options.m_max_unread_bytes = 1000;
    const auto got = ask_server(
        [](const auto& out) {
            // Nothing is read before the response begins.
            const std::string large(2000, 'x');
            out->begin(200, event_headers);
            bool taken = true;
            for (int i = 0; i < 10000 && taken; ++i)
                taken = out->write(large);
            CHECK_FALSE(taken);
            std::this_thread::sleep_for(milliseconds(300));
            out->write("data: last\n\n");
            out->end();
        },
        options);
    CHECK_FALSE(has(got, "data: last"));
    CHECK_FALSE(has(got, stream_end));
}

TEST_CASE("a chat that was answered whole ends with its marker", "[net]")
{
    const auto got = ask_chat({"a", "b"}, answer_with(outcome::ran, 200, "ab"));
    CHECK(has(got, "data: [DONE]\n\n"));
    CHECK(got.ends_with(stream_end));
}

TEST_CASE("a chat that failed under way has no last chunk", "[net]")
{
    const auto got = ask_chat({"a"}, answer_with(outcome::unknown, 502, "ab"));
    CHECK(has(got, "\"content\":\"a\""));
    CHECK(has(got, "pepperturn_unknown"));
    CHECK_FALSE(has(got, "[DONE]"));
    CHECK_FALSE(has(got, stream_end));
}

// The answer of record may be another attempt's than the one that the caller
// has seen part of.
TEST_CASE("a chat's caller gets the whole answer of record or no end", "[net]")
{
    const auto rest =
        ask_chat({"a", "b"}, answer_with(outcome::ran, 200, "abc"));
    CHECK(has(rest, "\"content\":\"c\""));
    CHECK(has(rest, "[DONE]"));
    CHECK(rest.ends_with(stream_end));

    const auto other =
        ask_chat({"a", "b"}, answer_with(outcome::ran, 200, "xyz"));
    CHECK_FALSE(has(other, "[DONE]"));
    CHECK_FALSE(has(other, stream_end));
}

TEST_CASE("the stand-in of a service cuts the answers that it loses", "[net]")
{
    std::string reason;
    const auto service = standin::open_service(0, reason);
    REQUIRE(service != nullptr);
    const std::string faults = "{\"lose_answers\": 1}";
    const auto set = ask_raw(
        service->port(),
        "PUT /standin/faults HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Content-Length: " +
            std::to_string(faults.size()) + "\r\n\r\n" + faults,
        stream_end);
    REQUIRE(has(set, "200"));
    const auto got = ask_raw(service->port(), request, stream_end);
    CHECK(has(got, "500"));
    CHECK_FALSE(has(got, last_chunk));
}
