// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/isolated_edge.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;
using after = runner_step::after;

using fixture = isolated_edge;

} // namespace

TEST_CASE("a response is returned unchanged, with its headers", "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(418, "body",
                                       "X-Own: kept\r\n"
                                       "Keep-Alive: timeout=9\r\n")}});
    const auto got = edge.ask(fixture::get("/get/a?b=c"), "body");
    CHECK(has(got, "HTTP/1.1 418 "));
    CHECK(has(got, "X-Own: kept"));
    CHECK(has(got, "Pepperturn-Signature: s"));
    CHECK(has(got, "Pepperturn-Call: c1"));
    CHECK_FALSE(has(got, "Keep-Alive"));
    REQUIRE(edge.m_first.requests().size() == 1);
    const auto& sent = edge.m_first.requests().front();
    CHECK(sent.starts_with("GET /get/a?b=c HTTP/1.1\r\n"));
    CHECK(has(sent, "Pepperturn-Expect-Runner: r1"));
    CHECK(has(sent, "Pepperturn-Deadline-Ms: "));
}

TEST_CASE("bodies with a length and in chunks arrive complete", "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(200, "done")}});
    const std::string body(20000, 'b');
    CHECK(has(edge.ask(fixture::post("/once/", body), "done"), "200"));
    CHECK(edge.m_first.requests().back().ends_with(body));
    const auto chunked =
        edge.ask("POST /once/ HTTP/1.1\r\nHost: h\r\nPepperturn-Call: c1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                 "0\r\n\r\n",
                 "done");
    CHECK(has(chunked, "200"));
    CHECK(edge.m_first.requests().back().ends_with("\r\n\r\nabcde"));
}

TEST_CASE("what is retried and what is not", "[proxy]")
{
    const std::string good = whole_answer(200, "fine");
    const std::string refused =
        whole_answer(503, "full", "Pepperturn-Not-Run: 1\r\n");
    struct sample
    {
        std::string m_name;
        std::string m_path;
        runner_step m_step;
        std::string m_status;
        std::size_t m_tries_elsewhere;
    };
    const std::vector<sample> samples{
        {"a refusal", "/once/", {refused}, "200", 1},
        {"another's address", "/once/", {whole_answer(421, "")}, "200", 1},
        {"a reset after sending", "/once/", {"", true, after::reset}, "502", 0},
        {"a reset after sending, repeatable",
         "/get/",
         {"", true, after::reset},
         "200",
         1},
        {"half an answer",
         "/once/",
         {good.substr(0, good.size() - 1), true, after::close},
         "502",
         0},
        {"half an answer, repeatable",
         "/get/",
         {good.substr(0, good.size() - 1), true, after::close},
         "200",
         1},
        {"no answer of the protocol", "/once/", {"nonsense\r\n\r\n"}, "502", 0},
        {"another request's answer",
         "/once/",
         {"HTTP/1.1 200 OK\r\nPepperturn-Call: other\r\n"
          "Pepperturn-Signature: s\r\nContent-Length: 0\r\n\r\n"},
         "502",
         0},
        {"an unsigned success",
         "/once/",
         {"HTTP/1.1 200 OK\r\nPepperturn-Call: ID\r\n"
          "Content-Length: 0\r\n\r\n"},
         "502",
         0},
        {"an encoded answer",
         "/once/",
         {whole_answer(200, "x", "Content-Encoding: gzip\r\n")},
         "502",
         0},
        {"a 503 that promises nothing",
         "/once/",
         {whole_answer(503, "")},
         "502",
         0},
        {"an error of the runner's own",
         "/once/",
         {whole_answer(500, "e")},
         "500",
         0},
        {"an error, repeatable", "/get/", {whole_answer(500, "e")}, "200", 1},
        {"silence, repeatable", "/get/", {"", true, after::keep}, "200", 1},
        {"silence", "/once/", {"", true, after::keep}, "504", 0},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_name);
        fixture edge;
        edge.m_first.script({each.m_step});
        edge.m_second.script({{good}});
        const auto got =
            edge.ask(each.m_path == "/get/" ? fixture::get("/get/")
                                            : fixture::post("/once/", "x"),
                     "\r\n\r\n");
        CHECK(has(got, "HTTP/1.1 " + each.m_status + ' '));
        CHECK(edge.m_second.requests().size() == each.m_tries_elsewhere);
    }
}

TEST_CASE("refused by every runner: not run, and when to retry", "[proxy]")
{
    fixture edge;
    const runner_step full{
        whole_answer(503, "", "Pepperturn-Not-Run: 1\r\nRetry-After: 0.1\r\n")};
    edge.m_first.script({full});
    edge.m_second.script({full});
    const auto got = edge.ask(fixture::post("/once/", "x"), "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(has(got, "Retry-After: 0.100"));
}

TEST_CASE("errors from every runner: the runner's own is returned", "[proxy]")
{
    // It must not be replaced by a 502 when no further runner is left.
    fixture edge;
    const bool one_runner = GENERATE(false, true);
    edge.m_first.script({{whole_answer(500, "own error")}});
    edge.m_second.script({{whole_answer(500, "own error")}});
    if (one_runner)
        edge.m_proxy.set_runners(
            {{"r1", "svc", edge.m_first.address(), "z", 4, false}});
    const auto got = edge.ask(fixture::get("/get/"), "own error");
    CHECK(has(got, "HTTP/1.1 500 "));
    CHECK(has(got, "Pepperturn-Signature: s"));
}

TEST_CASE("connection refused: not run", "[proxy]")
{
    fixture edge;
    edge.m_proxy.set_runners({{"r1", "svc", "127.0.0.1:1", "z", 4, false}});
    CHECK(has(edge.ask(fixture::post("/once/", "x"), "\r\n\r\n"),
              "HTTP/1.1 503 "));
}

TEST_CASE(
    "events are relayed at once, and an aborted stream never looks complete",
    "[proxy]")
{
    fixture edge;
    edge.m_first.script({{event_answer({"a", "b"})}});
    auto got = edge.ask(fixture::post("/stream/", "x"), "\r\n0\r\n\r\n");
    CHECK(has(got, "data: a"));
    CHECK(has(got, "data: b"));
    edge.m_first.script({{event_answer({"a"}, false), true, after::close}});
    got = edge.ask(fixture::post("/stream/", "x"), "never");
    CHECK(has(got, "data: a"));
    CHECK_FALSE(has(got, "\r\n0\r\n\r\n"));
    CHECK(edge.m_ended);
    CHECK(edge.m_second.requests().empty());
}

TEST_CASE("a stream without a length that ends by a reset is aborted",
          "[proxy]")
{
    const auto how = GENERATE(after::close, after::reset);
    fixture edge;
    edge.m_first.script(
        {{"HTTP/1.1 200 OK\r\nPepperturn-Call: ID\r\nPepperturn-Signature: s"
          "\r\nConnection: close\r\n\r\ndata: a\n\n",
          true,
          how,
          {},
          milliseconds(20)}});
    const auto got = edge.ask(fixture::post("/stream/", "x"), "\r\n0\r\n\r\n");
    // A reset may also discard the first bytes.
    CHECK(has(got, "\r\n0\r\n\r\n") == (how == after::close));
}

TEST_CASE("bytes after a complete response are not sent to any caller",
          "[proxy]")
{
    fixture edge;
    const auto answer = whole_answer(200, "mine");
    // Directly after the response, or later on the idle connection.
    const bool at_once = GENERATE(true, false);
    runner_step step{at_once ? answer + answer : answer};
    if (!at_once)
        step.m_surplus = whole_answer(200, "surplus");
    edge.m_first.script({step, {answer}});
    CHECK(has(edge.ask(fixture::get("/get/"), "mine"), "200"));
    const auto end = std::chrono::steady_clock::now() + milliseconds(60);
    edge.wait_for([&] { return std::chrono::steady_clock::now() >= end; });
    CHECK_FALSE(has(edge.ask(fixture::get("/get/"), "mine"), "surplus"));
    CHECK(edge.m_first.connections() == 2);
}

TEST_CASE("a healthy connection is reused", "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(200, "mine")}});
    for (int i = 0; i < 3; ++i)
        CHECK(has(edge.ask(fixture::get("/get/"), "mine"), "200"));
    CHECK(edge.m_first.connections() == 1);
    edge.m_first.script({{whole_answer(200, "mine", "Connection: close\r\n")}});
    for (int i = 0; i < 2; ++i)
        CHECK(has(edge.ask(fixture::get("/get/"), "mine"), "200"));
    CHECK(edge.m_first.connections() == 2);
}

TEST_CASE("calls are spread over engines, plain runners are reused", "[proxy]")
{
    // If engines with open connections are preferred, conversations gather
    // there until these engines run out of memory.
    fixture edge;
    const bool engine = GENERATE(false, true);
    auto config = fixture::config(2);
    if (engine)
        config.m_services["svc"].m_engine = engine_profile{64, 100000, 1};
    REQUIRE(edge.m_proxy.apply_config(config));
    edge.m_proxy.set_runners({{"r1", "svc", edge.m_first.address(), "z", 64},
                              {"r2", "svc", edge.m_second.address(), "z", 64}});
    edge.m_first.script({{whole_answer(200, "mine")}});
    edge.m_second.script({{whole_answer(200, "mine")}});
    constexpr std::size_t asked = 24;
    for (std::size_t i = 0; i < asked; ++i)
    {
        edge.m_time.stop_now();
        CHECK(has(edge.ask(fixture::get("/get/"), "mine"), "200"));
    }
    const auto least = std::min(edge.m_first.requests().size(),
                                edge.m_second.requests().size());
    if (engine)
        CHECK(least >= asked / 6);
    else
        CHECK(least == 0);
}

TEST_CASE("a response before the complete body closes that connection",
          "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(413, "early"), false}});
    const std::string large(90000, 'x');
    CHECK(has(edge.ask(fixture::post("/once/", large), "early"), "413"));
    edge.m_first.script({{whole_answer(200, "next")}});
    CHECK(has(edge.ask(fixture::post("/once/", "small"), "next"), "200"));
    CHECK(edge.m_first.requests().back().ends_with("\r\n\r\nsmall"));
}

TEST_CASE("an empty answer whose last chunk comes in pieces ends no VM",
          "[proxy]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nPepperturn-Call: ID\r\n"
                             "Pepperturn-Signature: s\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    fixture edge;
    runner_step piecewise{head + "0\r\n"};
    piecewise.m_delay = milliseconds(50);
    // The line feed never comes.
    piecewise.m_surplus = "\r";
    edge.m_first.script({piecewise});
    edge.m_second.script({piecewise});
    CHECK_FALSE(has(edge.ask(fixture::post("/once/", "x"), "\r\n\r\n"), "200"));
    edge.m_first.script({{whole_answer(200, "next")}});
    edge.m_second.script({{whole_answer(200, "next")}});
    CHECK(has(edge.ask(fixture::post("/once/", "x"), "next"), "200"));
}

TEST_CASE("a caller that disconnects ends its run, unless it is unrepeatable",
          "[proxy]")
{
    for (const std::string path : {"/get/", "/stream/", "/once/"})
    {
        INFO(path);
        fixture edge;
        edge.m_first.script({{"", true, after::keep}});
        edge.connect();
        edge.send(path == "/get/" ? fixture::get(path)
                                  : fixture::post(path, "x"));
        REQUIRE(
            edge.wait_for([&] { return edge.m_first.requests().size() == 1; }));
        error_code ec;
        edge.m_caller.close(ec);
        const bool ended = run_until(
            edge.m_io, [&] { return edge.m_first.closed() == 1; },
            milliseconds(500));
        CHECK(ended == (path != "/once/"));
    }
}

TEST_CASE("malformed requests are answered and their connection closed",
          "[proxy]")
{
    struct sample
    {
        std::string m_bytes;
        std::string m_status;
    };
    const std::vector<sample> samples{
        {"nonsense\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: h\r\nX: 1\r\n folded\r\n\r\n", "400"},
        {"POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400"},
        {"POST /once/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
         "\r\nzz\r\n",
         "400"},
        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') +
             "\r\n\r\n",
         "431"},
        {"POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n",
         "413"},
        {"GET / HTTP/1.1\r\nHost: h\r\n", "408"},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_bytes.substr(0, 80));
        fixture edge;
        edge.m_first.script({{whole_answer(200, "no")}});
        edge.connect();
        edge.send(each.m_bytes);
        CHECK(edge.wait_for([&] { return edge.m_ended; }));
        CHECK(has(edge.m_received, "HTTP/1.1 " + each.m_status + ' '));
        CHECK(edge.m_first.requests().empty());
    }
}

TEST_CASE("no configuration, no route, an older configuration", "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(200, "ok")}});
    CHECK(has(edge.ask(fixture::get("/other/"), "\r\n\r\n"), "HTTP/1.1 404 "));
    CHECK_FALSE(edge.m_proxy.apply_config(fixture::config(1)));
    auto newer = fixture::config(3);
    newer.m_routes.clear();
    CHECK(edge.m_proxy.apply_config(newer));
    CHECK_FALSE(edge.m_proxy.apply_config(fixture::config(2)));
    CHECK(has(edge.ask(fixture::get("/get/"), "\r\n\r\n"), "HTTP/1.1 404 "));

    proxy bare(edge.m_io, edge.m_time, wire_names{}, "z", edge.m_turns);
    edge.m_port = free_port(edge.m_io);
    std::string reason;
    REQUIRE(bare.listen(edge.endpoint(), reason));
    const auto got = edge.ask(fixture::get("/get/"), "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(has(got, "Retry-After: "));
}

TEST_CASE("a VM that reaches no storage VM refuses callers with a sufficient "
          "retry delay",
          "[proxy]")
{
    // With a retry delay of 60 ms, callers use up their tries before the load
    // balancer removes the VMs of a zone that is partitioned.
    fixture edge;
    edge.m_first.script({{whole_answer(200, "ok")}});
    const auto got =
        edge.ask(fixture::post("/stream/", "x",
                               "Pepperturn-Program: p\r\n"
                               "Pepperturn-Token-Budget: 60\r\n"
                               "Pepperturn-Token-Count: 100,24\r\n"),
                 "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(has(got, "Retry-After: 0.400"));
    CHECK(has(got, "Connection: close"));
    CHECK(edge.m_first.requests().empty());
}

TEST_CASE("a draining edge answers, then closes", "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(200, "ok")}});
    CHECK(has(edge.ask(fixture::get("/get/"), "ok"), "200"));
    CHECK_FALSE(edge.m_ended);
    edge.m_proxy.begin_drain();
    edge.m_received.clear();
    edge.send(fixture::get("/get/"));
    CHECK(edge.wait_for([&] { return edge.m_ended; }));
    CHECK(has(edge.m_received, "Connection: close"));
    CHECK(has(edge.m_received, "200"));
    edge.connect();
    const auto accepted = std::chrono::steady_clock::now() + milliseconds(50);
    edge.wait_for([&] { return std::chrono::steady_clock::now() >= accepted; });
    edge.m_proxy.close_idle();
    CHECK(edge.wait_for([&] { return edge.m_ended; }));
    edge.m_proxy.stop_accepting();
    error_code ec;
    tcp::socket late(edge.m_io);
    late.connect(edge.endpoint(), ec);
    CHECK(ec == asio::error::connection_refused);
}

TEST_CASE("requests before the configuration are buffered and then served",
          "[proxy]")
{
    // When all VMs start, no other VM would serve them sooner.
    fixture edge;
    proxy starting(edge.m_io, edge.m_time, wire_names{}, "z", edge.m_turns);
    // There is no storage VM that it could ask.
    starting.crashes().note_told();
    edge.m_port = free_port(edge.m_io);
    std::string reason;
    REQUIRE(starting.listen(edge.endpoint(), reason));
    starting.set_runners({{"r1", "svc", edge.m_first.address(), "z", 4}});
    edge.m_first.script({{whole_answer(200, "fine")}});
    edge.connect();
    edge.send(fixture::get("/get/a", "Pepperturn-Deadline-Ms: 1500\r\n"));
    const auto asked = edge.m_time.now();
    const milliseconds start{700};
    CHECK_FALSE(edge.wait_for([&] { return !edge.m_received.empty(); }, start));
    starting.apply_config(fixture::config(1));
    CHECK(edge.wait_for([&] { return has(edge.m_received, "fine"); }));
    CHECK(elapsed(asked, edge.m_time.now()) < milliseconds(1500));
}

TEST_CASE("buffered requests are refused while their callers have time left",
          "[proxy]")
{
    fixture edge;
    proxy starting(edge.m_io, edge.m_time, wire_names{}, "z", edge.m_turns);
    edge.m_port = free_port(edge.m_io);
    std::string reason;
    REQUIRE(starting.listen(edge.endpoint(), reason));
    edge.connect();
    edge.send(fixture::get("/get/a", "Pepperturn-Deadline-Ms: 400\r\n"));
    CHECK(edge.wait_for([&] { return has(edge.m_received, "503"); },
                        milliseconds(2000)));
    CHECK(has(edge.m_received, "Retry-After: "));
}

TEST_CASE("a cold runner without a reachable owner gets no calls", "[proxy]")
{
    fixture edge;
    const bool other_is_cold = GENERATE(false, true);
    edge.limit_cold(20);
    edge.m_first.script({{whole_answer(200, "first")}});
    edge.m_second.script({{whole_answer(200, "second")}});
    runner_info first{"r1", "svc", edge.m_first.address(), "z", 4, false};
    runner_info second{"r2", "svc", edge.m_second.address(), "y", 4, false};
    first.m_cold_remaining = milliseconds(60000);
    second.m_cold_remaining = milliseconds(other_is_cold ? 60000 : 0);
    edge.m_proxy.set_runners({first, second});
    const auto got = edge.ask(fixture::post("/once/", "x"), "\r\n\r\n");
    CHECK(has(got, other_is_cold ? "HTTP/1.1 503 " : "HTTP/1.1 200 "));
    CHECK(edge.m_first.requests().empty());
    CHECK(edge.m_second.requests().empty() == other_is_cold);
    // Refused callers may retry soon, and the runners are warm then.
    first.m_cold_remaining = milliseconds(0);
    edge.m_proxy.set_runners({first, second});
    CHECK(has(edge.ask(fixture::post("/once/", "x"), "\r\n\r\n"),
              "HTTP/1.1 200 "));
    CHECK(edge.m_first.requests().size() == 1);
}

TEST_CASE("an evacuated zone is refused at once if no other serves", "[proxy]")
{
    fixture edge;
    edge.m_second.script({{whole_answer(200, "second")}});
    edge.m_proxy.evacuate({"z"});
    CHECK(has(edge.ask(fixture::post("/once/", "x"), "second"), "200"));
    CHECK(edge.m_first.requests().empty());
    edge.m_proxy.evacuate({"y", "z"});
    CHECK(has(edge.ask(fixture::post("/once/", "x"), "\r\n\r\n"),
              "HTTP/1.1 503 "));
}

// A process that is left little processor runs its clock behind the machine's.
TEST_CASE("a request's time is counted by the clock of the VM", "[proxy]")
{
    fixture edge;
    edge.m_first.script({{whole_answer(200, "fine")}});
    edge.m_time.stop_now();
    const milliseconds deadline{300};
    const milliseconds behind{600};
    CHECK_FALSE(edge.wait_for([] { return false; }, behind));
    const auto got = edge.ask(
        fixture::get("/get/a", "Pepperturn-Deadline-Ms: " +
                                   std::to_string(deadline.count()) + "\r\n"),
        "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 200 "));
    // It ends once that clock has passed it, and not before.
    edge.m_first.script({{"", true, runner_step::after::keep}});
    edge.connect();
    edge.send(fixture::post("/once/", "x",
                            "Pepperturn-Deadline-Ms: " +
                                std::to_string(deadline.count()) + "\r\n"));
    CHECK_FALSE(
        edge.wait_for([&] { return !edge.m_received.empty(); }, behind));
    edge.m_time.advance(deadline);
    CHECK(edge.wait_for([&] { return has(edge.m_received, "504"); }));
}
