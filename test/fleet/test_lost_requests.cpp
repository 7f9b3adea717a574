// SPDX-License-Identifier: BSL-1.0
// What the log and the metrics tell of a request that ended without a whole
// answer, or of a turn that was refused.
#include "support/fleet/edge_vm.hpp"
#include "support/fleet/isolated_edge.hpp"
#include "support/fleet/log_lines.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;
using after = runner_step::after;

const std::string whole = whole_answer(200, "fine");

/// How the caller behaves once its request has reached a runner.
enum class caller_act : std::uint8_t
{
    stay,
    close,
    reset
};

struct lost_sample
{
    std::string m_path;
    runner_step m_step;
    caller_act m_act;
    std::string m_phase;
    std::string m_cause;
};

void act(tcp::socket& caller, caller_act what)
{
    error_code ignored;
    if (what == caller_act::reset)
        caller.set_option(asio::socket_base::linger(true, 0), ignored);
    if (what != caller_act::stay)
        caller.close(ignored);
}

/// The only line of the event, waited for.
template <class Fixture>
std::string line_of(Fixture& edge, log_lines& lines, const std::string& event)
{
    REQUIRE(run_until(edge.m_io, [&] { return !lines.of(event).empty(); }));
    REQUIRE(lines.of(event).size() == 1);
    return lines.of(event).front();
}

} // namespace

// A closed connection looked the same whoever closed it, and why.
TEST_CASE("a request that ends without an answer names phase and cause",
          "[proxy][lines]")
{
    const runner_step silent{"", true, after::keep};
    const auto each = GENERATE_COPY(values<lost_sample>({
        {"/get/", silent, caller_act::close, "passed_on", "caller_closed"},
        {"/get/", silent, caller_act::reset, "passed_on", "caller_reset"},
        {"/stream/", silent, caller_act::close, "passed_on", "caller_closed"},
        {"/stream/",
         {event_answer({"a"}, false), true, after::close},
         caller_act::stay,
         "answer_begun",
         "runner_broke_off"},
        {"/stream/",
         {event_answer({"a"}, false), true, after::keep},
         caller_act::stay,
         "answer_begun",
         "timeout"},
        {"/resume/",
         {event_answer({"a"}, false), true, after::close},
         caller_act::stay,
         "answer_begun",
         "no_further_runner"},
    }));
    const bool draining = GENERATE(false, true);
    INFO(each.m_path << ' ' << each.m_cause << ' ' << draining);
    log_lines lines;
    isolated_edge edge;
    edge.m_proxy.set_runners(
        {{"r1", "svc", edge.m_first.address(), "z", 4, false}});
    edge.m_first.script({each.m_step});
    edge.connect();
    edge.send(each.m_path == "/get/" ? isolated_edge::get(each.m_path)
                                     : isolated_edge::post(each.m_path, "x"));
    REQUIRE(edge.wait_for([&] { return edge.m_first.requests().size() == 1; }));
    if (draining)
        edge.m_proxy.begin_drain();
    act(edge.m_caller, each.m_act);
    const auto line = line_of(edge, lines, "unanswered");
    CHECK(value_of(line, "id") == "c1");
    CHECK(value_of(line, "phase") == each.m_phase);
    CHECK(value_of(line, "cause") == each.m_cause);
    CHECK(value_of(line, "attempts") == "1");
    CHECK(value_of(line, "allowed_ms") == "1500");
    CHECK(value_of(line, "config") == "1");
    CHECK((value_of(line, "draining_ms") == "-1") == !draining);
    CHECK((value_of(line, "answer_bytes") == "0") ==
          (each.m_phase == "passed_on"));
    const auto text = edge.m_proxy.metrics().text();
    CHECK(metric_value(text,
                       "unanswered_" + each.m_phase + '_' + each.m_cause) == 1);
    CHECK(metric_value(text, "unanswered_draining") == (draining ? 1 : 0));
}

TEST_CASE("a request that is answered whole has no such line", "[proxy][lines]")
{
    const bool stream = GENERATE(false, true);
    log_lines lines;
    isolated_edge edge;
    edge.m_first.script({{stream ? event_answer({"a", "b"}) : whole}});
    edge.ask(stream ? isolated_edge::post("/stream/", "x")
                    : isolated_edge::get("/get/"),
             stream ? "\r\n0\r\n\r\n" : "fine");
    REQUIRE(run_until(edge.m_io,
                      [&] { return edge.m_proxy.active_requests() == 0; }));
    CHECK(lines.of("unanswered").empty());
    CHECK(lines.of("request_end").size() == 1);
}

TEST_CASE("a connection that ends before a request is whole says who ended it",
          "[proxy][lines]")
{
    struct sample
    {
        std::string m_sent;
        caller_act m_act;
        std::string m_cause;
    };
    const auto each = GENERATE(values<sample>({
        {"", caller_act::close, "caller_closed"},
        {"", caller_act::reset, "caller_reset"},
        {"", caller_act::stay, "idle_timeout"},
        {"GET /get/ HTTP/1.1\r\nHo", caller_act::close, "caller_closed"},
        {"POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody",
         caller_act::close, "caller_closed"},
        {"POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody",
         caller_act::reset, "caller_reset"},
    }));
    INFO(each.m_sent << ' ' << each.m_cause);
    log_lines lines;
    isolated_edge edge;
    auto config = isolated_edge::config(2);
    config.m_limits.m_idle_timeout = milliseconds(100);
    edge.m_proxy.apply_config(config);
    edge.connect();
    edge.send(each.m_sent);
    // Once it is idle no more, a part of the request has been read.
    if (!each.m_sent.empty())
        REQUIRE(edge.wait_for(
            [&] { return edge.m_proxy.unfinished().m_being_read == 1; }));
    act(edge.m_caller, each.m_act);
    const auto name = "connections_ended_" + each.m_cause;
    CHECK(run_until(edge.m_io, [&] {
        return metric_value(edge.m_proxy.metrics().text(), name) == 1;
    }));
    REQUIRE(lines.of("request_incomplete").size() ==
            (each.m_sent.empty() ? 0 : 1));
    if (each.m_sent.empty())
        return;
    const auto line = lines.of("request_incomplete").front();
    CHECK(value_of(line, "cause") == each.m_cause);
    CHECK(value_of(line, "bytes") == std::to_string(each.m_sent.size()));
}

TEST_CASE("a refusal before the request is read says whether it was sent",
          "[proxy][lines]")
{
    log_lines lines;
    isolated_edge edge;
    edge.ask("POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n"
             "\r\n",
             "\r\n\r\n");
    const auto line = line_of(edge, lines, "request_refused");
    CHECK(value_of(line, "status") == "413");
    CHECK(value_of(line, "sent") == "1");
}

// A stop that cut requests told their number only, and they had no other line.
TEST_CASE("what a stop would cut is known by phase and id", "[proxy][lines]")
{
    isolated_edge edge;
    CHECK(edge.m_proxy.unfinished() == unfinished_requests{});
    const bool begun = GENERATE(false, true);
    edge.m_first.script(
        {{begun ? event_answer({"a"}, false) : "", true, after::keep}});
    edge.connect();
    tcp::socket partial(edge.m_io);
    error_code ec;
    partial.connect(edge.endpoint(), ec);
    asio::write(partial, asio::buffer(std::string("GET /")), ec);
    REQUIRE_FALSE(ec);
    edge.send(isolated_edge::post("/stream/", "x"));
    REQUIRE(edge.wait_for([&] {
        return edge.m_first.requests().size() == 1 &&
               edge.m_proxy.unfinished().m_being_read == 1 &&
               (!begun || has(edge.m_received, "data: a"));
    }));
    unfinished_requests expected;
    expected.add(begun ? answer_phase::answer_begun : answer_phase::passed_on,
                 "c1");
    expected.m_being_read = 1;
    CHECK(edge.m_proxy.unfinished() == expected);
}

TEST_CASE("a request that reaches no runner says why", "[proxy][lines]")
{
    struct sample
    {
        std::size_t m_runners;
        std::string m_cause;
        std::string m_refusals;
    };
    const auto each = GENERATE(values<sample>({{0, "none_eligible", "0"},
                                               {2, "none_eligible", "2"},
                                               {6, "too_many_refusals", "4"}}));
    log_lines lines;
    isolated_edge edge;
    std::vector<runner_info> runners;
    for (std::size_t i = 0; i < each.m_runners; ++i)
        runners.push_back({"r" + std::to_string(i), "svc",
                           edge.m_first.address(), "z", 4, false});
    edge.m_proxy.set_runners(runners);
    edge.m_first.script(
        {{whole_answer(503, "full", "Pepperturn-Not-Run: 1\r\n")}});
    CHECK(has(edge.ask(isolated_edge::post("/once/", "x"), "\r\n\r\n"),
              "HTTP/1.1 503 "));
    const auto line = line_of(edge, lines, "no_runner");
    CHECK(value_of(line, "id") == "c1");
    CHECK(value_of(line, "cause") == each.m_cause);
    CHECK(value_of(line, "of_service") == std::to_string(each.m_runners));
    CHECK(value_of(line, "refusals") == each.m_refusals);
    CHECK(metric_value(edge.m_proxy.metrics().text(),
                       "no_runner_" + each.m_cause) == 1);
}
