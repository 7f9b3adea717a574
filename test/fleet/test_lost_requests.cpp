// SPDX-License-Identifier: BSL-1.0
// What the log and the metrics tell of a request that ended without a whole
// answer, or of a turn that was refused.
#include "support/fleet/edge_vm.hpp"
#include "support/fleet/isolated_edge.hpp"
#include "support/fleet/log_lines.hpp"
#include "support/fleet/stored_turns_fixture.hpp"

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

begin_result begin_of(storage_fixture& fleet, const begin_request& what,
                      const history_options& options = {})
{
    const auto result =
        run_task(fleet.m_io,
                 fleet.m_client.begin(
                     what, fleet.m_time.now() + milliseconds(1500), options));
    REQUIRE(result.has_value());
    return *result;
}

/// Stores a turn on every VM; a write quorum may lack one of them.
void keep_on_all(storage_fixture& fleet, const std::string& id)
{
    const turn_record turn{
        id, {}, "in", "out", "run", key_of("program"), key_of(id), 30};
    std::size_t stored = 0;
    for (const auto& [name, vm] : fleet.m_vms)
        fleet.m_links.call(name, fleet.m_state.m_views.front().m_epoch,
                           append_message{{retention_ms, turn}},
                           [&](const std::optional<frame>& reply) {
                               stored += reply ? 1 : 0;
                           });
    REQUIRE(
        run_until(fleet.m_io, [&] { return stored == fleet.m_vms.size(); }));
}

member_reply reply_in(const begin_evidence& evidence, const std::string& name)
{
    for (const auto& row : evidence.m_members)
    {
        if (row.m_name == name)
            return row.m_reply;
    }
    FAIL("no such member: " << name);
    return member_reply::not_asked;
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
             stream ? last_chunk_text : "fine");
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

TEST_CASE("a turn of a VM without storage VMs says what it knows of them",
          "[proxy][lines]")
{
    log_lines lines;
    isolated_edge edge;
    edge.ask(isolated_edge::post("/stream/", "x",
                                 "Pepperturn-Program: p\r\n"
                                 "Pepperturn-Token-Budget: 60\r\n"
                                 "Pepperturn-Token-Count: 100,24\r\n"),
             "\r\n\r\n");
    const auto line = line_of(edge, lines, "turn_refused");
    CHECK(value_of(line, "fault") == "isolated");
    CHECK(value_of(line, "linked") == "0/0");
    CHECK(value_of(line, "heard_ms") == "-1");
    CHECK(metric_value(edge.m_proxy.metrics().text(),
                       "turns_refused_isolated") == 1);
}

TEST_CASE("a program whose set is not known says so", "[fleet][lines]")
{
    storage_fixture fleet;
    const auto result = begin_of(fleet, storage_fixture::request("a", ""));
    CHECK(result.m_evidence.m_fault == begin_fault::no_view);
    CHECK_FALSE(result.m_evidence.m_set.has_value());
}

// A turn that was denied did not say who had denied it.
TEST_CASE("a turn that is not granted says which members replied what",
          "[fleet][lines]")
{
    struct sample
    {
        std::string m_parent;
        /// Storage VMs that are lost, from the first.
        int m_lost;
        begin_outcome m_outcome;
        begin_fault m_fault;
        member_reply m_first;
        member_reply m_last;
    };
    const auto each = GENERATE(values<sample>({
        {"nobody", 0, begin_outcome::no_such_turn, begin_fault::parent_absent,
         member_reply::ok, member_reply::ok},
        {"nobody", 1, begin_outcome::unavailable, begin_fault::parent_uncertain,
         member_reply::no_link, member_reply::ok},
        {"", 2, begin_outcome::unavailable, begin_fault::too_few_writers,
         member_reply::no_link, member_reply::ok},
        {"a", 2, begin_outcome::unavailable, begin_fault::too_few_writers,
         member_reply::no_link, member_reply::found},
    }));
    INFO(to_string(each.m_fault) << ' ' << each.m_parent);
    storage_fixture fleet;
    fleet.start_three();
    keep_on_all(fleet, "a");
    for (int i = 0; i < each.m_lost; ++i)
        fleet.lose("vm-" + std::to_string(i));
    const auto result =
        begin_of(fleet, storage_fixture::request("b", each.m_parent));
    const auto& evidence = result.m_evidence;
    CHECK(result.m_outcome == each.m_outcome);
    CHECK(evidence.m_fault == each.m_fault);
    CHECK(evidence.m_set == 0);
    CHECK(evidence.m_epoch == fleet.m_state.m_views.front().m_epoch);
    CHECK(evidence.m_asked_epoch == evidence.m_epoch);
    CHECK(evidence.m_members.size() == 3);
    CHECK(evidence.m_all_members == 3);
    CHECK(evidence.m_linked == 3 - static_cast<std::size_t>(each.m_lost));
    CHECK(reply_in(evidence, "vm-0") == each.m_first);
    CHECK(reply_in(evidence, "vm-2") == each.m_last);
}

TEST_CASE("a history that lacks a turn names it, and who was asked",
          "[fleet][lines]")
{
    const bool lost = GENERATE(false, true);
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("b", "gone"));
    if (lost)
        fleet.lose("vm-0");
    const auto result = begin_of(fleet, storage_fixture::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::unavailable);
    CHECK(result.m_evidence.m_fault == begin_fault::ancestor_absent);
    CHECK(result.m_evidence.m_missing == "gone");
    // The word of a read quorum is enough; a third member is not asked.
    CHECK(result.m_evidence.m_in_set.m_asked == 2);
    CHECK(result.m_evidence.m_in_set.m_absent == 2);
    CHECK(result.m_evidence.m_in_set.m_skipped == (lost ? 1 : 0));
}

TEST_CASE("a turn that no memory or budget is left for says so",
          "[fleet][lines]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    history_options none;
    none.m_admit = [](std::uint64_t) { return false; };
    CHECK(begin_of(fleet, storage_fixture::request("b", "a"), none)
              .m_evidence.m_fault == begin_fault::out_of_memory);
    CHECK(begin_of(fleet, storage_fixture::request("c", "a", 60))
              .m_evidence.m_fault == begin_fault::over_budget);
    CHECK(begin_of(fleet, storage_fixture::request("d", "a")).m_evidence ==
          begin_evidence{});
}

TEST_CASE("a turn that was stored and one that was denied are found by their "
          "ids",
          "[fleet][lines]")
{
    stored_turns_fixture fleet;
    fleet.m_first.script({{event_answer({"a"})}});
    log_lines lines;
    CHECK(has(fleet.take_turn("t1", ""), last_chunk_text));
    const auto stored = lines.of("turn_stored");
    REQUIRE(stored.size() == 1);
    CHECK(value_of(stored.front(), "id") == "t1");
    CHECK(value_of(stored.front(), "stored") == "1");
    CHECK(value_of(stored.front(), "set") == "0");
    CHECK(has(value_of(stored.front(), "members"), ":full:ok"));
    CHECK(has(fleet.take_turn("t2", "nobody"), "HTTP/1.1 404 "));
    const auto refused = lines.of("turn_refused");
    REQUIRE(refused.size() == 1);
    CHECK(value_of(refused.front(), "id") == "t2");
    CHECK(value_of(refused.front(), "parent") == "nobody");
    CHECK(value_of(refused.front(), "fault") == "parent_absent");
    const auto text = fleet.m_proxy.metrics().text();
    CHECK(metric_value(text, "turns_stored") == 1);
    CHECK(metric_value(text, "turns_refused_parent_absent") == 1);
    CHECK(has(text, "turn_store_ms"));
}

TEST_CASE("a stream whose turn is not stored says so", "[fleet][lines]")
{
    stored_turns_fixture fleet;
    // The answer ends with its connection, once no storage VM is left.
    runner_step step{"HTTP/1.1 200 OK\r\nPepperturn-Call: ID\r\n"
                     "Pepperturn-Signature: s\r\n"
                     "Content-Type: text/event-stream\r\n\r\n"
                     "id: 1\ndata: a\n\n",
                     true, after::close};
    step.m_end_delay = milliseconds(700);
    fleet.m_first.script({step});
    log_lines lines;
    REQUIRE(fleet.proxy_fixture::wait_for(
        [&] { return fleet.m_client.connected(); }));
    fleet.connect();
    fleet.send(proxy_fixture::post("/stream/", "in;",
                                   "Pepperturn-Program: p\r\n"
                                   "Pepperturn-Token-Count: 10,8\r\n"));
    REQUIRE(fleet.proxy_fixture::wait_for(
        [&] { return has(fleet.m_received, "data: a"); }));
    for (const auto& [name, vm] : fleet.m_vms)
        vm->m_node->stop();
    REQUIRE(fleet.proxy_fixture::wait_for([&] { return fleet.m_ended; }));
    CHECK_FALSE(has(fleet.m_received, last_chunk_text));
    REQUIRE(lines.of("unanswered").size() == 1);
    CHECK(value_of(lines.of("unanswered").front(), "cause") == "not_stored");
    REQUIRE(lines.of("turn_stored").size() == 1);
    const auto stored = lines.of("turn_stored").front();
    CHECK(value_of(stored, "stored") == "0");
    CHECK(value_of(stored, "linked") == "0/3");
    CHECK(metric_value(fleet.m_proxy.metrics().text(), "turns_not_stored") ==
          1);
}
