// SPDX-License-Identifier: BSL-1.0
// Streams that are resumed at another runner.
#include "pepperturn/forward/stream_relay.hpp"

#include "support/fleet/isolated_edge.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;
using after = runner_step::after;

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++out;
    return out;
}

constexpr const char* whole_end = "\r\n0\r\n\r\n";

/// A complete response of another type than events.
std::string typed_answer(const std::string& type, const std::string& body)
{
    return whole_answer(200, body, "Content-Type: " + type + "\r\n");
}

/// A stream in chunks of events that have no ids.
std::string unnumbered_answer(const std::vector<std::string>& events,
                              bool ended = true)
{
    auto out = event_answer({}, false);
    for (const auto& data : events)
        out += chunk_of("data: " + data + "\n\n");
    return ended ? out + "0\r\n\r\n" : out;
}

} // namespace

TEST_CASE("a broken stream is resumed at another runner", "[proxy][resume]")
{
    struct sample
    {
        std::string m_name;
        runner_step m_first;
    };
    const std::vector<sample> samples{
        {"closed between events",
         {event_answer({"a", "b"}, false), true, after::close}},
        {"closed within an event",
         {event_answer({"a", "b"}, false) + chunk_of("id: 3\ndata: c"), true,
          after::close}},
        {"no data after an event", {event_answer({"a", "b"}, false)}},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_name);
        isolated_edge edge;
        edge.m_first.script({each.m_first});
        edge.m_second.script({{event_answer({"c", "d"}, true, 3)}});
        const auto got =
            edge.ask(proxy_fixture::post("/resume/", "x"), whole_end);
        for (const char* event : {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
                                  "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"})
            CHECK(count(got, event) == 1);
        CHECK(count(got, "HTTP/1.1 ") == 1);
        CHECK(has(got, whole_end));
        REQUIRE(edge.m_second.requests().size() == 1);
        CHECK(has(edge.m_second.requests().front(), "Last-Event-Id: 2\r\n"));
        // The abandoned run is ended.
        if (each.m_first.m_after == after::keep)
            CHECK(run_until(edge.m_io,
                            [&] { return edge.m_first.closed() == 1; }));
    }
}

TEST_CASE("a missing first event is requested from another runner",
          "[proxy][resume]")
{
    isolated_edge edge;
    edge.m_first.script({{""}});
    edge.m_second.script({{event_answer({"a"})}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), whole_end);
    CHECK(has(got, "data: a"));
    REQUIRE(edge.m_second.requests().size() == 1);
    CHECK_FALSE(has(edge.m_second.requests().front(), "Last-Event-Id"));
    CHECK(run_until(edge.m_io, [&] { return edge.m_first.closed() == 1; }));
}

TEST_CASE("a stream that cannot be resumed does not look complete",
          "[proxy][resume]")
{
    const auto second = GENERATE(values<runner_step>({
        {whole_answer(503, "full", "Pepperturn-Not-Run: 1\r\n")},
        {whole_answer(500, "error")},
        {event_answer({"b"}, false, 2), true, after::close},
        {"", true, after::reset},
    }));
    isolated_edge edge;
    edge.m_first.script({{event_answer({"a"}, false), true, after::close}});
    edge.m_second.script({second});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), "never");
    CHECK(count(got, "data: a") == 1);
    CHECK(count(got, "HTTP/1.1 ") == 1);
    CHECK_FALSE(has(got, whole_end));
    CHECK(edge.m_ended);
    CHECK(edge.m_first.requests().size() == 1);
    CHECK(edge.m_second.requests().size() == 1);
}

TEST_CASE("events of a run that does not continue a stream are not forwarded",
          "[proxy][resume]")
{
    struct row
    {
        const char* m_what;
        std::string m_second;
    };
    const auto each = GENERATE(values<row>({
        {"it begins again", event_answer({"a", "b", "c"})},
        {"it repeats the last event", event_answer({"b", "c"}, true, 2)},
        {"its events have no ids", unnumbered_answer({"c"})},
        {"it is of another type",
         typed_answer("application/json", "{\"data: c\":1}")},
        {"it is text without an end of its only event",
         typed_answer("text/plain", "id: 1\ndata: c")},
        {"it begins again behind a comment",
         event_answer({}, false) + chunk_of(": hello\n\nid: 1\ndata: c\n\n") +
             "0\r\n\r\n"},
    }));
    INFO(each.m_what);
    isolated_edge edge;
    edge.m_first.script(
        {{event_answer({"a", "b"}, false), true, after::close}});
    edge.m_second.script({{each.m_second}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), "never");
    CHECK(count(got, "data: a") == 1);
    CHECK(count(got, "data: b") == 1);
    CHECK(count(got, "data: c") == 0);
    CHECK_FALSE(has(got, whole_end));
    CHECK(edge.m_ended);
    CHECK(edge.m_second.requests().size() == 1);
    CHECK(has(edge.m_proxy.metrics_text(), "streams_not_continued 1\n"));
}

TEST_CASE("a stream whose next event had begun does not end before it",
          "[proxy][resume]")
{
    const auto first = GENERATE(values<std::string>(
        {event_answer({"a"}, false) + chunk_of("id: 2\ndata: b"),
         event_answer({}, false) + chunk_of("id: 1\ndata: a")}));
    const auto second = GENERATE(values<std::string>(
        {event_answer({}),
         event_answer({}, false) + chunk_of(": none\n\n") + "0\r\n\r\n"}));
    isolated_edge edge;
    edge.m_first.script({{first, true, after::close}});
    edge.m_second.script({{second}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), "never");
    CHECK_FALSE(has(got, whole_end));
    CHECK(edge.m_ended);
    CHECK(edge.m_second.requests().size() == 1);
}

TEST_CASE("after a run that does not continue a stream another one may",
          "[proxy][resume]")
{
    isolated_edge edge;
    scripted_runner third(edge.m_io);
    edge.m_proxy.set_runners(
        {{"r1", "svc", edge.m_first.address(), "z", 4, false},
         {"r2", "svc", edge.m_second.address(), "y", 4, false},
         {"r3", "svc", third.address(), "x", 4, false}});
    auto config = proxy_fixture::config(2);
    for (auto& route : config.m_routes)
        route.m_max_attempts = 3;
    edge.m_proxy.apply_config(std::move(config));
    edge.m_first.script({{event_answer({"a"}, false), true, after::close}});
    edge.m_second.script({{event_answer({"a", "b"})}});
    const auto* before = GENERATE("", "retry: 3000\n\n", ": hello\n\n");
    third.script(
        {{event_answer({}, false) +
          chunk_of(std::string(before) + "id: 2\ndata: b\n\n") + "0\r\n\r\n"}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), whole_end);
    CHECK(count(got, "data: a") == 1);
    CHECK(count(got, "data: b") == 1);
    CHECK(has(got, whole_end));
    CHECK(third.requests().size() == 1);
}

TEST_CASE("a stream is resumed after a block without data", "[proxy][resume]")
{
    const auto first = GENERATE(values<std::string>(
        {event_answer({}, false) + chunk_of("retry: 3000\n\n"),
         event_answer({"a"}, false) + chunk_of("retry: 3000\n\n")}));
    isolated_edge edge;
    edge.m_first.script({{first, true, after::close}});
    edge.m_second.script({{event_answer({"b"}, true, 2)}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), whole_end);
    CHECK(count(got, "data: b") == 1);
    CHECK(has(got, whole_end));
}

TEST_CASE("a caller compares its own event id itself", "[proxy][resume]")
{
    // Many runners know no such id and begin at the start.
    isolated_edge edge;
    edge.m_first.script({{event_answer({"a", "b"})}});
    const auto got =
        edge.ask(proxy_fixture::post("/resume/", "x", "Last-Event-Id: 99\r\n"),
                 whole_end);
    CHECK(has(got, "data: b"));
    CHECK(has(got, whole_end));
    CHECK(edge.m_second.requests().empty());
}

TEST_CASE("a stream that has begun is no refusal, whatever its head says",
          "[proxy][resume]")
{
    const auto* path = GENERATE("/stream/", "/resume/");
    auto first = event_answer({"a", "b"}, false);
    first.insert(first.find("Content-Type"), "Pepperturn-Not-Run: 1\r\n");
    isolated_edge edge;
    edge.m_first.script({{first, true, after::close}});
    edge.m_second.script({{event_answer({"a", "b", "c"})}});
    const auto got = edge.ask(proxy_fixture::post(path, "x"), "never");
    CHECK(count(got, "data: a") == 1);
    CHECK_FALSE(has(got, whole_end));
    CHECK(edge.m_ended);
}

TEST_CASE("a run may continue with a later id than the next", "[proxy][resume]")
{
    // Ids rise, but not always by one.
    isolated_edge edge;
    edge.m_first.script({{event_answer({"a"}, false), true, after::close}});
    edge.m_second.script({{event_answer({"e"}, true, 5)}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), whole_end);
    CHECK(count(got, "data: e") == 1);
    CHECK(has(got, whole_end));
}

TEST_CASE("a stream is not resumed after an event without an id",
          "[proxy][resume]")
{
    const auto first = GENERATE(values<std::string>(
        {unnumbered_answer({"a"}, false),
         event_answer({"z"}, false) + chunk_of("data: a\n\n"),
         event_answer({}, false) + chunk_of("id: x\ndata: a\n\n")}));
    isolated_edge edge;
    edge.m_first.script({{first, true, after::close}});
    edge.m_second.script({{event_answer({"a", "b"})}});
    const auto got = edge.ask(proxy_fixture::post("/resume/", "x"), "never");
    CHECK(count(got, "data: a") == 1);
    CHECK_FALSE(has(got, whole_end));
    CHECK(edge.m_ended);
    CHECK(edge.m_second.requests().empty());
}

TEST_CASE("a turn that is stored whole is not resumed for a caller",
          "[proxy][resume]")
{
    isolated_edge edge;
    auto config = proxy_fixture::config(2);
    for (auto& route : config.m_routes)
        route.m_stateful = true;
    edge.m_proxy.apply_config(std::move(config));
    edge.m_first.script({{event_answer({"b"}, true, 2)}});
    const auto got =
        edge.ask(proxy_fixture::post("/resume/", "x", "Last-Event-Id: 1\r\n"),
                 "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 400 "));
    CHECK(edge.m_first.requests().empty());
}

TEST_CASE("a caller's own resumption of a stream is forwarded",
          "[proxy][resume]")
{
    isolated_edge edge;
    const bool cut_at_once = GENERATE(true, false);
    const runner_step aborted{cut_at_once ? "" : event_answer({"h"}, false, 8),
                              true, cut_at_once ? after::reset : after::close};
    edge.m_first.script({aborted});
    edge.m_second.script({{event_answer({"i"}, true, cut_at_once ? 8 : 9)}});
    const auto got =
        edge.ask(proxy_fixture::post("/resume/", "x", "Last-Event-Id: 7\r\n"),
                 whole_end);
    CHECK(has(got, "data: i"));
    CHECK(count(edge.m_first.requests().front(), "Last-Event-Id: 7\r\n") == 1);
    const auto& next = edge.m_second.requests().front();
    CHECK(count(next, "Last-Event-Id") == 1);
    CHECK(has(next, cut_at_once ? "Last-Event-Id: 7" : "Last-Event-Id: 8"));
}

TEST_CASE("an event id that is not a number is refused", "[proxy][resume]")
{
    isolated_edge edge;
    edge.m_first.script({{event_answer({"a"})}});
    const auto* id = GENERATE("-1", "first", "", "99999999999999999999");
    const auto got = edge.ask(
        proxy_fixture::post("/resume/", "x",
                            std::string("Last-Event-Id: ") + id + "\r\n"),
        "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 400 "));
    CHECK(edge.m_first.requests().empty());
}

TEST_CASE("only complete events are relayed", "[resume]")
{
    // Wherever the stream is cut, the relayed bytes and those of the next run
    // make up the whole stream, each event once.
    const auto* all_bytes =
        GENERATE("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n",
                 "id: 1\rdata: a\r\rid: 2\rdata: b\r\rid: 3\rdata: c\r\r");
    const std::string all = all_bytes;
    for (std::size_t at = 0; at <= all.size(); ++at)
    {
        stream_relay relay(true, true, 0);
        std::string passed;
        for (const char byte : all.substr(0, at))
            passed += relay.consume({&byte, 1});
        relay.discard_partial_event();
        CHECK(all.starts_with(passed));
        CHECK(relay.events().complete_events() ==
              relay.last_event().value_or(9));
        CHECK(relay.events().started_events() ==
              relay.events().complete_events());
        passed += relay.consume(all.substr(passed.size()));
        passed += relay.flush();
        CHECK(passed == all);
        CHECK(relay.events().data() == "a\nb\nc\n");
    }
}
