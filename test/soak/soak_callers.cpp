// SPDX-License-Identifier: BSL-1.0
// Callers of the soak: programs of turns and unrepeatable calls, and what each
// answer has to be.
#include "soak/soak.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace pepperturn::soak {

namespace {

namespace http = boost::beast::http;

constexpr int most_turns = 6;
constexpr int tries = 4;
/// One program in so many has a request that ends runners.
constexpr std::uint64_t deadly_one_in = 12;
/// More than callers of the users make.
constexpr int deadly_tries = 9;

} // namespace

task<caller_answer> soak::ask(std::string target, std::string id,
                              std::string program, std::uint64_t budget,
                              std::string parent, std::string body)
{
    caller_answer out;
    out.m_id = id;
    const auto& edge = *m_vms[storage_vms + draw(edge_vms)];
    error_code ec;
    const auto endpoint = parse_endpoint(edge.m_address, ec);
    boost::beast::tcp_stream stream(m_io);
    constexpr std::chrono::seconds patience{5};
    stream.expires_after(patience);
    co_await stream.async_connect(endpoint, into(ec));
    if (ec)
        co_return out;
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, "soak");
    request.set("X-Attempt-Id", id);
    request.set("X-Deadline-Ms", "4000");
    if (!program.empty())
    {
        request.set("X-Program-Id", program);
        request.set("X-Token-Budget", std::to_string(budget));
        request.set("X-Token-Count", "10," + std::to_string(most_tokens));
        if (!parent.empty())
            request.set("X-Previous-Turn", parent);
    }
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, into(ec));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!ec)
        co_await http::async_read(stream, buffer, parser, into(ec));
    if (parser.is_header_done())
    {
        out.m_status = parser.get().result_int();
        out.m_body = parser.get().body();
        out.m_whole = !ec;
        if (out.m_whole && parser.get()["X-Attempt-Id"] != id)
            m_rules.fail("the answer of another request came to " + id);
    }
    stream.close();
    const bool promise = out.m_status == 503 || out.m_status == 429 ||
                         out.m_status == 402 || out.m_status == 404;
    if (promise)
        m_rules.told_not_run(id, out.m_status);
    co_return out;
}

task<bool> soak::take_turn(program_state& program, std::uint64_t budget)
{
    const auto input = draw_input();
    for (int attempt = 0; attempt < tries; ++attempt)
    {
        const auto age = m_time.now() - program.m_last_ended;
        if (!program.m_last.empty() && age >= program.m_retention)
            co_return false;
        const auto id = fresh_id();
        const auto body = program.m_chain + input;
        m_rules.expect(id, body);
        auto answer = co_await ask(program.m_target, id, program.m_id, budget,
                                   program.m_last, input);
        if (answer.m_status == 200)
        {
            event_reader events(true);
            events.consume(answer.m_body);
            m_rules.handed_out(program.m_id, events.complete_events());
            if (!answer.m_whole)
                co_await continue_broken_turn(program, id, body, budget);
            else
            {
                check_whole(id, events);
                program.m_chain = body + events.data();
                program.m_last = id;
                program.m_last_ended = m_time.now();
                ++m_served;
                co_return true;
            }
        }
        if (answer.m_status == 402)
            co_return false;
        if (answer.m_status == 404 && m_version > 0)
            m_rules.fail("turn " + program.m_last +
                         " was answered whole, and " + id +
                         " was told that it is not there");
        constexpr milliseconds pause{100};
        co_await sleep_for(m_io, pause);
    }
    co_return false;
}

task<> soak::continue_broken_turn(program_state program, std::string broken,
                                  std::string chain, std::uint64_t budget)
{
    const auto id = fresh_id();
    const std::string input = "on\n";
    // Only this caller's side may have broken: then its text is kept whole.
    const auto text = m_rules.whole_answer(broken);
    m_rules.expect(id,
                   text ? std::optional(chain + *text + input) : std::nullopt);
    const auto answer =
        co_await ask(program.m_target, id, program.m_id, budget, broken, input);
    if (answer.m_status != 200)
        co_return;
    event_reader events(true);
    events.consume(answer.m_body);
    m_rules.handed_out(program.m_id, events.complete_events());
    if (answer.m_whole)
        check_whole(id, events);
}

task<bool> soak::run_program(bool patient)
{
    program_state program;
    program.m_id = "p" + std::to_string(++m_ids);
    constexpr std::uint64_t widest_budget = 120;
    const auto budget = patient ? 1000 : most_tokens + draw(widest_budget);
    m_rules.budget(program.m_id, budget, most_tokens);
    bool good = true;
    for (int turn = 0; turn < most_turns && good; ++turn)
    {
        good = co_await take_turn(program, budget);
        if (good && draw(2) == 0)
        {
            const auto id = fresh_id();
            const std::string body(1 + draw(500), 'c');
            m_rules.expect(id, body);
            auto answer = co_await ask("/once/x", id, "", 0, "", body);
            if (answer.m_status == 200 && answer.m_whole)
                m_rules.taken_for_whole(id, answer.m_body);
        }
    }
    if (!program.m_last.empty())
        m_ended.push_back(std::move(program));
    co_return good;
}

std::string soak::draw_input()
{
    constexpr std::uint64_t usual_bytes = 3000;
    constexpr std::uint64_t long_bytes = 100000;
    constexpr std::uint64_t most_bytes = (4U << 20U) - 100;
    constexpr std::uint64_t long_one_in = 20;
    constexpr std::uint64_t longest_one_in = 150;
    auto bytes = usual_bytes;
    if (draw(long_one_in) == 0)
        bytes = long_bytes;
    if (draw(longest_one_in) == 0)
        bytes = most_bytes;
    return "in-" + std::string(1 + draw(bytes), 'a') + "\n";
}

task<> soak::run_long_program()
{
    constexpr int many_turns = 20;
    constexpr std::uint64_t budget = 400;
    program_state program;
    program.m_id = "p" + std::to_string(++m_ids);
    program.m_target = "/long/x";
    program.m_retention = long_retention;
    m_rules.budget(program.m_id, budget, most_tokens);
    bool good = true;
    for (int turn = 0; turn < many_turns && good && !m_stop; ++turn)
    {
        good = co_await take_turn(program, budget);
        // Mostly just under a retention.
        const auto most = static_cast<std::uint64_t>(long_retention.count());
        co_await sleep_for(m_io, milliseconds(most / 2 + draw(most / 3)));
    }
}

task<> soak::end_runners()
{
    const auto body = deadly + std::to_string(++m_deadly);
    const bool turn = draw(2) == 0;
    const std::string program = turn ? "d" + std::to_string(m_deadly) : "";
    for (int i = 0; i < deadly_tries && !m_stop; ++i)
    {
        const auto answer = co_await ask(turn ? "/turn/x" : "/call/x",
                                         fresh_id(), program, 1000, "", body);
        if (answer.m_status == 200 && answer.m_whole)
            m_rules.fail("request " + answer.m_id +
                         " was answered, though it ends runners");
        co_await sleep_for(m_io, milliseconds(draw(300)));
    }
}

task<> soak::call_repeatedly()
{
    ++m_active_callers;
    while (!m_stop)
    {
        constexpr std::uint64_t lasting_one_in = 4;
        if (draw(lasting_one_in) == 0)
            co_await run_long_program();
        else
            (void)co_await run_program(false);
        if (draw(deadly_one_in) == 0)
            co_await end_runners();
    }
    --m_active_callers;
}

task<> soak::go_on(program_state program)
{
    m_rules.budget(program.m_id, UINT32_MAX, most_tokens);
    const auto end = m_time.now() + heal_limit;
    bool good = false;
    while (!good && m_time.now() < end)
        good = co_await take_turn(program, UINT32_MAX);
    if (!good)
        m_rules.fail("program " + program.m_id + " cannot be gone on from");
    --m_going_on;
}

} // namespace pepperturn::soak
