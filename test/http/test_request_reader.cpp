// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/http/request_reader.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;

constexpr request_limits limits{300, 1000, 100};

/// What became of a request.
struct outcome
{
    reader_state m_state = reader_state::head_incomplete;
    unsigned m_status = 0;
    std::string m_reason;
    std::string m_target;
    std::string m_body;
    std::size_t m_fields = 0;

    friend bool operator==(const outcome&, const outcome&) = default;
};

std::ostream& operator<<(std::ostream& out, const outcome& value)
{
    return out << static_cast<int>(value.m_state) << ' ' << value.m_status
               << ' ' << value.m_reason << " body " << value.m_body.size();
}

bool needs_bytes(reader_state state)
{
    return state == reader_state::head_incomplete ||
           state == reader_state::body_incomplete;
}

/// More than this is never held for a request with \ref limits.
constexpr std::size_t most_head_memory =
    2 * (300 + request_reader::max_piece_bytes) + 6 * 300 + 96 * 150 + 512;
constexpr std::size_t most_body_memory = 2048;

/// Feeds \p text in pieces whose lengths \p cut tells.
template <class Cut>
outcome read(const std::string& text, Cut cut, bool& bounded,
             const request_limits& allowed = limits)
{
    request_reader reader(allowed);
    std::size_t used = 0;
    while (used < text.size() && needs_bytes(reader.state()))
    {
        const auto piece =
            std::min({cut(), text.size() - used,
                      std::size_t{request_reader::max_piece_bytes}});
        const auto told = reader.body_memory_after(piece);
        reader.feed(std::string_view(text).substr(used, piece));
        used += piece;
        if (reader.advance() == reader_state::head_complete)
            reader.advance();
        else
            bounded = bounded && reader.body_memory() <= told;
        bounded = bounded && reader.head_memory() <= most_head_memory &&
                  reader.body_memory() <= most_body_memory;
    }
    outcome out;
    out.m_state = reader.state();
    out.m_status =
        out.m_state == reader_state::refused ? reader.refusal().m_status : 0;
    out.m_reason = reader.refusal().m_reason;
    const auto& request = reader.request();
    out.m_target = std::string(request.target());
    out.m_body = request.body();
    out.m_fields =
        static_cast<std::size_t>(std::distance(request.begin(), request.end()));
    return out;
}

outcome read_whole(const std::string& text)
{
    bool bounded = true;
    return read(
        text, [&] { return text.size(); }, bounded);
}

const std::string head = "POST /p HTTP/1.1\r\nHost: a\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

std::string many(const std::string& unit, std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i)
        out += unit;
    return out;
}

TEST_CASE("a request within the limits is read", "[reader]")
{
    struct row
    {
        std::string m_text;
        std::string m_body;
        std::size_t m_fields;
    };
    const std::vector<row> rows{
        {"GET /p HTTP/1.1\r\nHost: a\r\n\r\n", "", 1},
        {head + "Content-Length: 5\r\n\r\nhello", "hello", 2},
        {chunked + "5\r\nhello\r\n0\r\n\r\n", "hello", 2},
        {chunked + "5;a=b\r\nhello\r\n3;c\r\nabc\r\n0;d\r\n\r\n", "helloabc",
         2},
        {chunked + "0\r\n\r\n", "", 2},
        {head + many("a:\r\n", 60) + "\r\n", "", 61},
        // Fields of the trailer section are no fields of the head.
        {chunked + "1\r\nx\r\n0\r\nX-Hold: 1\r\nHost: b\r\n\r\n", "x", 2},
        {head + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'x'),
         std::string(1000, 'x'), 2},
    };
    for (const auto& each : rows)
    {
        INFO(each.m_text);
        const auto result = read_whole(each.m_text);
        CHECK(result.m_state == reader_state::complete);
        CHECK(result.m_target == "/p");
        CHECK(result.m_body == each.m_body);
        CHECK(result.m_fields == each.m_fields);
    }
}

TEST_CASE("what exceeds a limit is refused while it arrives", "[reader]")
{
    struct row
    {
        std::string m_text;
        unsigned m_status;
    };
    const std::vector<row> rows{
        {"GET /" + std::string(300, 'x'), 431},
        {head + many("Name: value\r\n", 30), 431},
        {head + std::string(280, ' '), 431},
        {head + "Content-Length: 1001\r\n\r\n", 413},
        {head + "Content-Length: 99999999999999999999\r\n\r\n", 400},
        {head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400},
        {chunked + "3e9\r\n", 413},
        {chunked + "3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\n", 413},
        {chunked + "ffffffffffffffffff\r\n", 400},
        {chunked + std::string(101, '0'), 431},
        {chunked + "5;name=" + std::string(100, 'v'), 431},
        {chunked + many("1;" + std::string(30, 'e') + "\r\nx\r\n", 4), 431},
        {chunked + "0\r\nName: " + std::string(100, 'v'), 431},
        {chunked + "0\r\n" + many("a:\r\n", 30), 431},
        {chunked + "x\r\n", 400},
        {chunked + "1\r\nxyz\r\n", 400},
        {chunked + "0\r\nContent-Length: 1\r\n\r\n", 400},
        {"\r\n\r\n", 400},
    };
    for (const auto& each : rows)
    {
        INFO(each.m_text);
        const auto result = read_whole(each.m_text);
        CHECK(result.m_state == reader_state::refused);
        CHECK(result.m_status == each.m_status);
        CHECK_FALSE(result.m_reason.empty());
    }
}

TEST_CASE("the next request begins with the bytes that are left", "[reader]")
{
    request_reader reader(limits);
    const std::string first = chunked + "1\r\nx\r\n0\r\n\r\n";
    reader.feed(first + head + "Content-Length: 1\r\n\r\nyGET");
    CHECK(reader.advance() == reader_state::head_complete);
    CHECK(reader.advance() == reader_state::complete);
    CHECK(reader.release().body() == "x");
    reader.begin(limits);
    CHECK(reader.begun());
    CHECK(reader.advance() == reader_state::head_complete);
    CHECK(reader.advance() == reader_state::complete);
    CHECK(reader.release().body() == "y");
    reader.begin(limits);
    CHECK(reader.begun());
    CHECK(reader.advance() == reader_state::head_incomplete);
}

TEST_CASE("a reader that waits holds nothing", "[reader]")
{
    request_reader reader(limits);
    reader.feed(head + "Content-Length: 900\r\n\r\n" + std::string(900, 'x'));
    CHECK(reader.advance() == reader_state::head_complete);
    CHECK(reader.advance() == reader_state::complete);
    CHECK(reader.body_memory() >= 900);
    (void)reader.release();
    reader.begin(limits);
    CHECK_FALSE(reader.begun());
    CHECK(reader.head_memory() == 0);
    CHECK(reader.body_memory() == 0);
}

TEST_CASE("a head of short fields is told at the size of its fields",
          "[reader]")
{
    constexpr std::size_t count = 60;
    request_reader reader(limits);
    reader.feed(head + many("a:\r\n", count) + "\r\n");
    CHECK(reader.advance() == reader_state::head_complete);
    constexpr std::size_t least_object = 64;
    CHECK(reader.head_memory_after(0) >= count * least_object);
}

/// Pieces of requests, mostly valid, in any order.
rc::Gen<std::string> fragments()
{
    const auto piece = rc::gen::elementOf(
        std::vector<std::string>{head,
                                 chunked,
                                 head + "Content-Length: 5\r\n\r\nhello",
                                 "\r\n",
                                 "0\r\n",
                                 "0\r\n\r\n",
                                 "5\r\nhello\r\n",
                                 "5;a=b\r\nhello\r\n",
                                 "a:\r\n",
                                 "Name: value\r\n",
                                 std::string(90, 'v'),
                                 std::string(90, '0'),
                                 "GET / HTTP/1.1\r\nHost: b\r\n\r\n",
                                 ";",
                                 "1",
                                 "\n",
                                 "\r",
                                 ":",
                                 std::string("\0", 1),
                                 "fffffffffffffff\r\n",
                                 "Trailer: a\r\n"});
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece),
                        [](const std::vector<std::string>& parts) {
                            std::string out;
                            for (const auto& part : parts)
                                out += part;
                            return out;
                        });
}

TEST_CASE("however bytes are split, a request is read alike within its bounds",
          "[reader][fuzz]")
{
    CHECK(rc::check([] {
        const auto text = *fragments();
        bool bounded = true;
        const auto whole = read(
            text, [&] { return text.size(); }, bounded);
        const auto single = read(
            text, [] { return std::size_t{1}; }, bounded);
        const auto drawn = read(
            text, [] { return *rc::gen::inRange<std::size_t>(1, 200); },
            bounded);
        RC_ASSERT(bounded);
        // The reason may name the limit that a longer piece has passed first.
        RC_ASSERT(single.m_state == whole.m_state);
        RC_ASSERT(drawn.m_state == whole.m_state);
        RC_ASSERT(single.m_status == whole.m_status ||
                  whole.m_state == reader_state::refused);
        if (whole.m_state != reader_state::refused)
        {
            RC_ASSERT(single == whole);
            RC_ASSERT(drawn == whole);
        }
    }));
}

TEST_CASE("no bytes harm the reader", "[reader][fuzz]")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& bytes) {
        bool bounded = true;
        const std::string text(bytes.begin(), bytes.end());
        (void)read(
            text, [] { return *rc::gen::inRange<std::size_t>(1, 50); },
            bounded);
        (void)read(
            chunked + text,
            [] { return *rc::gen::inRange<std::size_t>(1, 50); }, bounded);
        RC_ASSERT(bounded);
    }));
}

} // namespace
