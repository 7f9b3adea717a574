// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/proxy.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/runner.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;
using after = runner_step::after;

/// A proxy with two runners of one service and a caller's raw connection.
class world
{
public:
    world()
        : m_links(m_io, m_time, "edge"), m_turns(m_io, m_time, m_links, "z", 1),
          m_proxy(m_io, m_time, wire_names{}, "z", m_turns), m_first(m_io),
          m_second(m_io), m_caller(m_io)
    {
        m_port = free_port(m_io);
        std::string reason;
        REQUIRE(m_proxy.listen(endpoint(), reason));
        m_proxy.take_config(config(1));
        // The draw among equals is fixed by the zones.
        m_proxy.take_runners(
            {{"r1", "svc", m_first.address(), "z", 4, false},
             {"r2", "svc", m_second.address(), "y", 4, false}});
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address("127.0.0.1"), m_port};
    }

    static routing_config config(std::uint64_t version)
    {
        routing_config out;
        out.m_version = version;
        const auto add = [&](const char* prefix, route_kind kind,
                             std::uint32_t attempts) {
            route row;
            row.m_name = prefix;
            row.m_host = "h";
            row.m_path_prefix = prefix;
            row.m_kind = kind;
            row.m_timeout = milliseconds(1500);
            row.m_target_latency = milliseconds(200);
            row.m_services = {{"svc", 1.0}};
            row.m_max_attempts = attempts;
            out.m_routes.push_back(row);
        };
        add("/get/", route_kind::idempotent, 2);
        add("/once/", route_kind::unrepeatable, 2);
        add("/stream/", route_kind::stream, 2);
        out.m_services["svc"] = {"svc", "/health", 64, std::nullopt};
        out.m_limits.m_max_header_bytes = 2000;
        out.m_limits.m_max_body_bytes = 100000;
        out.m_limits.m_header_timeout = milliseconds(300);
        return out;
    }

    void connect()
    {
        error_code ec;
        m_caller.close(ec);
        m_caller = tcp::socket(m_io);
        m_caller.connect(endpoint(), ec);
        REQUIRE_FALSE(ec);
        m_caller.non_blocking(true);
        m_received.clear();
        m_ended = false;
    }
    void send(const std::string& bytes)
    {
        asio::co_spawn(
            m_io,
            [this, bytes]() -> task<> {
                error_code ec;
                co_await asio::async_write(m_caller, asio::buffer(bytes),
                                           into(ec));
            },
            [](const std::exception_ptr&) {});
    }
    void poll()
    {
        std::array<char, 4096> chunk{};
        error_code ec;
        const auto count = m_caller.read_some(asio::buffer(chunk), ec);
        if (!ec)
            m_received.append(chunk.data(), count);
        else if (ec != asio::error::would_block)
            m_ended = true;
    }
    bool wait_for(const std::function<bool()>& done,
                  milliseconds limit = milliseconds(5000))
    {
        return run_until(
            m_io,
            [&] {
                poll();
                return done();
            },
            limit);
    }
    /// Sends a request on a new connection and waits for the text \p end.
    std::string ask(const std::string& bytes, const std::string& end)
    {
        connect();
        send(bytes);
        CHECK(wait_for([&] {
            return m_received.find(end) != std::string::npos || m_ended;
        }));
        return m_received;
    }
    static std::string get(const std::string& path,
                           const std::string& more = {})
    {
        return "GET " + path +
               " HTTP/1.1\r\nHost: h\r\nPepperturn-Call: c1\r\n" + more +
               "\r\n";
    }
    static std::string post(const std::string& path, const std::string& body,
                            const std::string& more = {})
    {
        return "POST " + path +
               " HTTP/1.1\r\nHost: h\r\nPepperturn-Call: c1\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    asio::io_context m_io{1};
    system_clock m_time;
    member_links m_links;
    turn_client m_turns;
    proxy m_proxy;
    scripted_runner m_first;
    scripted_runner m_second;
    tcp::socket m_caller;
    std::uint16_t m_port = 0;
    std::string m_received;
    bool m_ended = false;
};

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("an answer comes back unchanged, with what it came with", "[proxy]")
{
    world edge;
    edge.m_first.script({{whole_answer(418, "body",
                                       "X-Own: kept\r\n"
                                       "Keep-Alive: timeout=9\r\n")}});
    const auto got = edge.ask(world::get("/get/a?b=c"), "body");
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

TEST_CASE("bodies with a length and in chunks arrive whole", "[proxy]")
{
    world edge;
    edge.m_first.script({{whole_answer(200, "done")}});
    const std::string body(20000, 'b');
    CHECK(has(edge.ask(world::post("/once/", body), "done"), "200"));
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
        world edge;
        edge.m_first.script({each.m_step});
        edge.m_second.script({{good}});
        const auto got =
            edge.ask(each.m_path == "/get/" ? world::get("/get/")
                                            : world::post("/once/", "x"),
                     "\r\n\r\n");
        CHECK(has(got, "HTTP/1.1 " + each.m_status + ' '));
        CHECK(edge.m_second.requests().size() == each.m_tries_elsewhere);
    }
}

TEST_CASE("refused by every runner: not run, and when to come back", "[proxy]")
{
    world edge;
    const runner_step full{
        whole_answer(503, "", "Pepperturn-Not-Run: 1\r\nRetry-After: 0.1\r\n")};
    edge.m_first.script({full});
    edge.m_second.script({full});
    const auto got = edge.ask(world::post("/once/", "x"), "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(has(got, "Retry-After: 0.100"));
}

TEST_CASE("errors from every runner: the runner's own is passed on", "[proxy]")
{
    // It was replaced by a 502 when no further runner was left.
    world edge;
    const bool one_runner = GENERATE(false, true);
    edge.m_first.script({{whole_answer(500, "own error")}});
    edge.m_second.script({{whole_answer(500, "own error")}});
    if (one_runner)
        edge.m_proxy.take_runners(
            {{"r1", "svc", edge.m_first.address(), "z", 4, false}});
    const auto got = edge.ask(world::get("/get/"), "own error");
    CHECK(has(got, "HTTP/1.1 500 "));
    CHECK(has(got, "Pepperturn-Signature: s"));
}

TEST_CASE("nobody listens there: not run", "[proxy]")
{
    world edge;
    edge.m_proxy.take_runners({{"r1", "svc", "127.0.0.1:1", "z", 4, false}});
    CHECK(
        has(edge.ask(world::post("/once/", "x"), "\r\n\r\n"), "HTTP/1.1 503 "));
}

TEST_CASE("events pass as they come, and a cut one never looks whole",
          "[proxy]")
{
    world edge;
    edge.m_first.script({{event_answer({"a", "b"})}});
    auto got = edge.ask(world::post("/stream/", "x"), "\r\n0\r\n\r\n");
    CHECK(has(got, "data: a"));
    CHECK(has(got, "data: b"));
    edge.m_first.script({{event_answer({"a"}, false), true, after::close}});
    got = edge.ask(world::post("/stream/", "x"), "never");
    CHECK(has(got, "data: a"));
    CHECK_FALSE(has(got, "\r\n0\r\n\r\n"));
    CHECK(edge.m_ended);
    CHECK(edge.m_second.requests().empty());
}

TEST_CASE("a stream without a length that ends by a reset is cut", "[proxy]")
{
    const auto how = GENERATE(after::close, after::reset);
    world edge;
    edge.m_first.script(
        {{"HTTP/1.1 200 OK\r\nPepperturn-Call: ID\r\nPepperturn-Signature: s"
          "\r\nConnection: close\r\n\r\ndata: a\n\n",
          true,
          how,
          {},
          milliseconds(20)}});
    const auto got = edge.ask(world::post("/stream/", "x"), "\r\n0\r\n\r\n");
    // A reset may also take the first bytes along.
    CHECK(has(got, "\r\n0\r\n\r\n") == (how == after::close));
}

TEST_CASE("bytes after a whole answer belong to nobody", "[proxy]")
{
    world edge;
    const auto answer = whole_answer(200, "mine");
    // At once behind the answer, or later on the idle connection.
    const bool at_once = GENERATE(true, false);
    runner_step step{at_once ? answer + answer : answer};
    if (!at_once)
        step.m_surplus = whole_answer(200, "surplus");
    edge.m_first.script({step, {answer}});
    CHECK(has(edge.ask(world::get("/get/"), "mine"), "200"));
    const auto end = std::chrono::steady_clock::now() + milliseconds(60);
    edge.wait_for([&] { return std::chrono::steady_clock::now() >= end; });
    CHECK_FALSE(has(edge.ask(world::get("/get/"), "mine"), "surplus"));
    CHECK(edge.m_first.connections() == 2);
}

TEST_CASE("a good connection is used again", "[proxy]")
{
    world edge;
    edge.m_first.script({{whole_answer(200, "mine")}});
    for (int i = 0; i < 3; ++i)
        CHECK(has(edge.ask(world::get("/get/"), "mine"), "200"));
    CHECK(edge.m_first.connections() == 1);
    edge.m_first.script({{whole_answer(200, "mine", "Connection: close\r\n")}});
    for (int i = 0; i < 2; ++i)
        CHECK(has(edge.ask(world::get("/get/"), "mine"), "200"));
    CHECK(edge.m_first.connections() == 2);
}

TEST_CASE("engines are spread over, plain runners kept to", "[proxy]")
{
    // Conversations once gathered on the engines that were connected, until
    // these ran out of memory.
    world edge;
    const bool engine = GENERATE(false, true);
    auto config = world::config(2);
    if (engine)
        config.m_services["svc"].m_engine = engine_profile{64, 100000, 1};
    REQUIRE(edge.m_proxy.take_config(config));
    edge.m_proxy.take_runners(
        {{"r1", "svc", edge.m_first.address(), "z", 64},
         {"r2", "svc", edge.m_second.address(), "z", 64}});
    edge.m_first.script({{whole_answer(200, "mine")}});
    edge.m_second.script({{whole_answer(200, "mine")}});
    constexpr std::size_t asked = 24;
    for (std::size_t i = 0; i < asked; ++i)
        CHECK(has(edge.ask(world::get("/get/"), "mine"), "200"));
    const auto least = std::min(edge.m_first.requests().size(),
                                edge.m_second.requests().size());
    if (engine)
        CHECK(least >= asked / 6);
    else
        CHECK(least == 0);
}

TEST_CASE("an answer before the body is in ends that connection", "[proxy]")
{
    world edge;
    edge.m_first.script({{whole_answer(413, "early"), false}});
    const std::string large(90000, 'x');
    CHECK(has(edge.ask(world::post("/once/", large), "early"), "413"));
    edge.m_first.script({{whole_answer(200, "next")}});
    CHECK(has(edge.ask(world::post("/once/", "small"), "next"), "200"));
    CHECK(edge.m_first.requests().back().ends_with("\r\n\r\nsmall"));
}

TEST_CASE("a caller that leaves ends its run, unless it runs once", "[proxy]")
{
    for (const std::string path : {"/get/", "/stream/", "/once/"})
    {
        INFO(path);
        world edge;
        edge.m_first.script({{"", true, after::keep}});
        edge.connect();
        edge.send(path == "/get/" ? world::get(path) : world::post(path, "x"));
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
        world edge;
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
    world edge;
    edge.m_first.script({{whole_answer(200, "ok")}});
    CHECK(has(edge.ask(world::get("/other/"), "\r\n\r\n"), "HTTP/1.1 404 "));
    CHECK_FALSE(edge.m_proxy.take_config(world::config(1)));
    auto newer = world::config(3);
    newer.m_routes.clear();
    CHECK(edge.m_proxy.take_config(newer));
    CHECK_FALSE(edge.m_proxy.take_config(world::config(2)));
    CHECK(has(edge.ask(world::get("/get/"), "\r\n\r\n"), "HTTP/1.1 404 "));

    proxy bare(edge.m_io, edge.m_time, wire_names{}, "z", edge.m_turns);
    edge.m_port = free_port(edge.m_io);
    std::string reason;
    REQUIRE(bare.listen(edge.endpoint(), reason));
    const auto got = edge.ask(world::get("/get/"), "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(has(got, "Retry-After: "));
}

TEST_CASE("a draining edge answers, then closes", "[proxy]")
{
    world edge;
    edge.m_first.script({{whole_answer(200, "ok")}});
    CHECK(has(edge.ask(world::get("/get/"), "ok"), "200"));
    CHECK_FALSE(edge.m_ended);
    edge.m_proxy.begin_drain();
    edge.m_received.clear();
    edge.send(world::get("/get/"));
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
