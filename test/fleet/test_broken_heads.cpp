// SPDX-License-Identifier: BSL-1.0
// Runners whose answers are broken in their heads: callers get none of it, and
// nothing in it is believed.
#include "pepperturn/http/response_head.hpp"

#include "support/fleet/isolated_edge.hpp"
#include "support/fleet/log_lines.hpp"
#include "support/fleet/stored_turns_fixture.hpp"
#include "support/heads/head_forms.hpp"

#include <algorithm>
#include <boost/asio/read.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;
using after = runner_step::after;

constexpr const char* not_run_line = "Pepperturn-Not-Run: 1\r\n";
constexpr const char* last_chunk = "\r\n0\r\n\r\n";

runner_step step_of(const std::string& bytes, bool closes)
{
    return {bytes, true, closes ? after::close : after::keep};
}

/// Whether \p received holds a whole response.
bool is_whole(const std::string& received)
{
    const auto head_end = received.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return false;
    const auto length = received.find("Content-Length: ");
    if (length == std::string::npos || length > head_end)
        return received.ends_with(last_chunk);
    return received.size() >=
           head_end + 4 + std::stoul(received.substr(length + 16));
}

std::string ask(isolated_edge& edge, const std::string& request)
{
    edge.connect();
    edge.send(request);
    CHECK(edge.wait_for(
        [&] { return is_whole(edge.m_received) || edge.m_ended; }));
    return edge.m_received;
}

/// How the response of a sound runner ends.
std::string length_and_body()
{
    const std::string body = sound_body;
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Checks a 502 byte by byte, but for the reason that is its body.
void check_unknown(const std::string& got)
{
    const auto head_end = got.find("\r\n\r\n");
    REQUIRE(head_end != std::string::npos);
    const auto body = got.substr(head_end + 4);
    CHECK(got.substr(0, head_end) ==
          "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/plain\r\n"
          "Pepperturn-Call: c1\r\nContent-Length: " +
              std::to_string(body.size()));
    CHECK_FALSE(has(body, broken_body));
    CHECK_FALSE(has(body, "not run"));
    CHECK_FALSE(body.empty());
}

struct route_row
{
    const char* m_path;
    bool m_streams;
};

/// Routes on which another runner may serve a request that may have run.
const std::vector<route_row> repeatable_routes{{"/get/", false},
                                               {"/resume/", true}};
/// Routes on which no other runner may.
const std::vector<const char*> unrepeatable_routes{"/once/", "/stream/"};

std::vector<broken_head> all_broken_heads()
{
    auto out = broken_heads();
    for (auto& form : broken_heads(not_run_line))
    {
        form.m_name += ", says 'not run'";
        out.push_back(form);
    }
    return out;
}

} // namespace

TEST_CASE("a response with a broken head is served by another runner",
          "[proxy][broken_heads]")
{
    const auto route = GENERATE(from_range(repeatable_routes));
    for (const auto& form : all_broken_heads())
    {
        INFO(route.m_path << ' ' << form.m_name);
        isolated_edge edge;
        edge.m_first.script({step_of(form.m_bytes, form.m_closes)});
        edge.m_second.script(
            {{route.m_streams ? event_answer({"a"})
                              : whole_answer(200, sound_body)}});
        const auto got = ask(edge, proxy_fixture::post(route.m_path, "x"));
        const std::string head = "HTTP/1.1 200 OK\r\nPepperturn-Call: c1\r\n"
                                 "Pepperturn-Signature: s\r\n";
        if (route.m_streams)
            CHECK(got == head +
                             "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n" +
                             chunk_of("id: 1\ndata: a\n\n") + "0\r\n\r\n");
        else
            CHECK(got == head + length_and_body());
        CHECK(edge.m_first.requests().size() == 1);
        CHECK(edge.m_second.requests().size() == 1);
        // What is left on its connection belongs to no request.
        CHECK((form.m_closes ||
               edge.wait_for([&] { return edge.m_first.closed() > 0; })));
    }
}

TEST_CASE("a response with a broken head is no answer and claims nothing",
          "[proxy][broken_heads]")
{
    const std::string path = GENERATE(from_range(unrepeatable_routes));
    for (const auto& form : all_broken_heads())
    {
        INFO(path << ' ' << form.m_name);
        isolated_edge edge;
        edge.m_first.script({step_of(form.m_bytes, form.m_closes)});
        edge.m_second.script({{whole_answer(200, sound_body)}});
        check_unknown(ask(edge, proxy_fixture::post(path, "x")));
        CHECK(edge.m_first.requests().size() == 1);
        // It may have run, so nobody else runs it.
        CHECK(edge.m_second.requests().empty());
        CHECK((form.m_closes ||
               edge.wait_for([&] { return edge.m_first.closed() > 0; })));
    }
}

TEST_CASE("a turn whose response has a broken head is not stored",
          "[proxy][broken_heads]")
{
    auto forms = all_broken_heads();
    // Each fleet takes a while to start: forms that differ in a byte alone are
    // left to the routes above.
    std::erase_if(forms, [](const broken_head& form) {
        return form.m_name.starts_with("byte ") ||
               form.m_name.starts_with("version ") ||
               form.m_name.find("', ") != std::string::npos;
    });
    stored_turns_fixture fleet;
    fleet.m_first.script({{event_answer({"a"})}});
    CHECK(has(fleet.take_turn("t0", ""), last_chunk));
    int number = 0;
    for (const auto& form : forms)
    {
        INFO(form.m_name);
        // A runner of its own: one that has failed is left alone for a while.
        const auto name = std::to_string(++number);
        scripted_runner runner(fleet.proxy_fixture::m_io);
        runner.script({step_of(form.m_bytes, form.m_closes)});
        fleet.m_proxy.set_runners(
            {{"b" + name, "svc", runner.address(), "z", 4, false}});
        const auto got = fleet.take_turn("t" + name, "t0");
        CHECK(has(got, "HTTP/1.1 502 Bad Gateway\r\n"));
        CHECK(has(got, "Pepperturn-Call: t" + name + "\r\n"));
        CHECK_FALSE(has(got, broken_body));
        CHECK_FALSE(has(got, "Signature"));
        CHECK(runner.requests().size() == 1);
        fleet.m_proxy.set_runners(
            {{"r1", "svc", fleet.m_first.address(), "z", 4, false}});
        CHECK(has(fleet.take_turn("u" + name, "t" + name), "HTTP/1.1 404 "));
    }
    fleet.m_proxy.set_runners(
        {{"r1", "svc", fleet.m_first.address(), "z", 4, false}});
    CHECK(has(fleet.take_turn("last", "t0"), last_chunk));
}

TEST_CASE("100 without an answer behind it is waited behind for the time left",
          "[proxy][broken_heads]")
{
    struct sample
    {
        const char* m_path;
        const char* m_status;
        std::size_t m_runs_elsewhere;
    };
    const auto each = GENERATE(values<sample>({
        {"/get/", "HTTP/1.1 200 OK\r\n", 1},
        {"/once/", "HTTP/1.1 504 Gateway Timeout\r\n", 0},
    }));
    isolated_edge edge;
    edge.m_first.script({{"HTTP/1.1 100 Continue\r\n\r\n"}});
    edge.m_second.script({{whole_answer(200, sound_body)}});
    const auto got = ask(edge, proxy_fixture::post(each.m_path, "x"));
    CHECK(got.starts_with(each.m_status));
    CHECK(edge.m_second.requests().size() == each.m_runs_elsewhere);
}

TEST_CASE("a response with a broken trailer is not whole",
          "[proxy][broken_heads]")
{
    for (const auto& form : broken_trailers())
    {
        INFO(form.m_name);
        const auto ask_first = [&form](const std::string& path,
                                       const std::string& second) {
            isolated_edge edge;
            edge.m_first.script({step_of(form.m_bytes, false)});
            edge.m_second.script({{second}});
            auto got = ask(edge, proxy_fixture::post(path, "x"));
            CHECK(edge.m_first.requests().size() == 1);
            const bool repeats = path == "/get/" || path == "/resume/";
            CHECK(edge.m_second.requests().size() == (repeats ? 1 : 0));
            return got;
        };
        const auto whole = whole_answer(200, sound_body);
        CHECK(ask_first("/get/", whole).ends_with(length_and_body()));
        check_unknown(ask_first("/once/", whole));
        // What came of a stream before it was passed on already.
        CHECK_FALSE(has(ask_first("/stream/", whole), last_chunk));
        const auto resumed = ask_first("/resume/", event_answer({"a"}));
        CHECK_FALSE(has(resumed, broken_body));
        CHECK(resumed.ends_with(chunk_of("id: 1\ndata: a\n\n") + "0\r\n\r\n"));
    }
}

TEST_CASE("a trailer says nothing of whether a request has run",
          "[proxy][broken_heads]")
{
    isolated_edge edge;
    edge.m_first.script({{"HTTP/1.1 500 X\r\nPepperturn-Call: ID\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          "4\r\nboom\r\n0\r\n" +
                          std::string(not_run_line) + "\r\n"}});
    edge.m_second.script({{whole_answer(200, sound_body)}});
    const auto got = ask(edge, proxy_fixture::post("/once/", "x"));
    CHECK(got == "HTTP/1.1 500 Internal Server Error\r\n"
                 "Pepperturn-Call: c1\r\nContent-Length: 4\r\n\r\nboom");
    CHECK(edge.m_second.requests().empty());
}

TEST_CASE("a rare and sound head is passed on", "[proxy][broken_heads]")
{
    const std::string path = GENERATE("/get/", "/once/", "/stream/");
    for (const auto& form : sound_heads())
    {
        INFO(path << ' ' << form.m_name);
        isolated_edge edge;
        edge.m_first.script({step_of(form.m_bytes, form.m_closes)});
        const auto got = ask(edge, proxy_fixture::post(path, "x"));
        const auto status_line = got.substr(0, got.find("\r\n"));
        CHECK(status_line.starts_with("HTTP/1.1 " +
                                      std::to_string(form.m_status) + ' '));
        const bool streamed = path == "/stream/" && form.m_status == 200;
        CHECK(got.substr(status_line.size()) ==
              "\r\nPepperturn-Call: c1\r\nPepperturn-Signature: s\r\n" +
                  form.m_lines +
                  (streamed ? "Transfer-Encoding: chunked\r\n\r\n" +
                                  chunk_of(sound_body) + "0\r\n\r\n"
                            : length_and_body()));
        CHECK(edge.m_second.requests().empty());
    }
}

TEST_CASE("a time in a head that is out of range is none",
          "[proxy][broken_heads]")
{
    const std::string retry = GENERATE("inf", "nan", "1e300", "-1", "99999999",
                                       "-inf", "9223372036854775808");
    isolated_edge edge;
    const auto refusal = whole_answer(
        503, "", std::string(not_run_line) + "Retry-After: " + retry + "\r\n");
    edge.m_first.script({{refusal}});
    edge.m_second.script({{refusal}});
    const auto got = ask(edge, proxy_fixture::post("/once/", "x"));
    INFO(retry);
    const auto at = got.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    const auto seconds = std::stod(got.substr(at + 13));
    CHECK(seconds > 0);
    CHECK(seconds <= 1);
    // So it is for how long a connection is kept.
    const std::string kept =
        GENERATE("18446744073709551615", "9223372036854775", "99999999999");
    isolated_edge keeping;
    keeping.m_first.script({{whole_answer(
        200, sound_body, "Keep-Alive: timeout=" + kept + "\r\n")}});
    CHECK(has(ask(keeping, proxy_fixture::post("/get/", "x")), sound_body));
    CHECK(has(ask(keeping, proxy_fixture::post("/get/", "x")), sound_body));
    CHECK(keeping.m_first.connections() == 1);
}

TEST_CASE("a refused head is told with its sender, its request and its fault",
          "[proxy][broken_heads]")
{
    const log_lines log;
    const auto before = refused_heads(head_fault::field_name);
    isolated_edge edge;
    edge.m_first.script({{whole_answer(429, "", "X Name: v\r\n")}});
    check_unknown(ask(edge, proxy_fixture::post("/once/", "x")));
    const auto lines = log.of("response_head_refused");
    REQUIRE(lines.size() == 1);
    CHECK(value_of(lines.front(), "peer") == "r1");
    CHECK(value_of(lines.front(), "request") == "c1");
    CHECK(value_of(lines.front(), "fault") == "field_name");
    CHECK(value_of(lines.front(), "status") == "429");
    CHECK(refused_heads(head_fault::field_name) == before + 1);
}

TEST_CASE("a caller gets 502 in place of a status that is none",
          "[proxy][broken_heads]")
{
    const unsigned status =
        GENERATE(0U, 20U, 99U, 100U, 101U, 199U, 600U, 999U);
    asio::io_context io{1};
    const system_clock time;
    memory_guard memory(io, time);
    caller_table table(time, memory.budget());
    tcp::acceptor acceptor(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket caller(io, tcp::v4());
    caller.connect(acceptor.local_endpoint());
    const auto connection = std::make_shared<caller_connection>(
        io, time, memory, table, table.admit({}), acceptor.accept());
    upstream_response response;
    response.m_status = status;
    response.m_fields.insert("X-Name", "v");
    response.m_body = broken_body;
    CHECK(run_task(io, connection->write_response(response, false)) == true);
    connection->close();
    error_code ec;
    std::string got;
    asio::read(caller, asio::dynamic_buffer(got), ec);
    CHECK(got == "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/plain\r\n"
                 "Connection: close\r\nContent-Length: 23\r\n\r\n"
                 "broken response status\n");
}
