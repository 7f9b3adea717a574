// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/request_head.hpp"

#include "pepperturn/base/hash.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;

caller_request parse(const std::string& text)
{
    http::request_parser<http::string_body> parser;
    boost::system::error_code ec;
    parser.eager(true);
    parser.put(boost::asio::buffer(text), ec);
    REQUIRE_FALSE(ec);
    return parser.release();
}

wire_names test_names()
{
    wire_names names;
    names.m_reserved = {"X-Only-Ours"};
    return names;
}

bool has_line(const std::string& head, const std::string& line)
{
    return head.find("\r\n" + line + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("heads that two parsers could interpret differently",
          "[request_head]")
{
    struct sample
    {
        std::string m_lines;
        std::string m_fault;
    };
    const auto each = GENERATE(values<sample>({
        {"Host: a\r\nContent-Length: 3\r\n", ""},
        {"Host: a\r\nTransfer-Encoding: chunked\r\n", ""},
        {"Host: a\r\nTransfer-Encoding: Chunked\r\n", ""},
        {"Host: a\r\nX: 1\r\n  folded\r\n", "folded header line"},
        {"Host: a\r\nX: 1\r\n\tfolded\r\n", "folded header line"},
        {"Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
         "both a length and chunks"},
        {"Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
         "two content lengths"},
        {"Host: a\r\nContent-Length: 3\r\ncontent-length: 4\r\n",
         "two content lengths"},
        {"Host: a\r\nContent-Length: +3\r\n", "bad content length"},
        {"Host: a\r\nContent-Length: 3, 3\r\n", "bad content length"},
        {"Host: a\r\nContent-Length: 0x3\r\n", "bad content length"},
        {"Host: a\r\nContent-Length:\r\n", "bad content length"},
        {"Host: a\r\nTransfer-Encoding: identity\r\n",
         "transfer coding other than chunked"},
        {"Host: a\r\nTransfer-Encoding: gzip, chunked\r\n",
         "transfer coding other than chunked"},
        {"Host: a\r\nTransfer-Encoding: chunked\r\n"
         "Transfer-Encoding: chunked\r\n",
         "transfer coding other than chunked"},
        {"Host: a\r\nContent-Length : 3\r\n", "blank before a colon"},
        {"Host: a\r\nno colon\r\n", "header line without a name"},
        {"Host: a\r\n: nameless\r\n", "header line without a name"},
        {"Host: a\nX: 1\r\n", "bare line feed"},
        {"Host: a\r\nX: 1\r2\r\n", "control character"},
        {"X: 1\r\n", "not exactly one host"},
        {"Host: a\r\nHost: b\r\n", "not exactly one host"},
    }));
    INFO(each.m_lines);
    const auto* fault =
        find_ambiguity("POST /p HTTP/1.1\r\n" + each.m_lines + "\r\n");
    CHECK(std::string(fault == nullptr ? "" : fault) == each.m_fault);
}

TEST_CASE("chunked requests of HTTP/1.0 are refused", "[request_head]")
{
    CHECK(find_ambiguity("POST / HTTP/1.0\r\nHost: a\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n") != nullptr);
}

TEST_CASE("arbitrary bytes do not crash the head check", "[request_head][fuzz]")
{
    CHECK(rc::check("heads", [](const std::string& text) {
        (void)find_ambiguity(text);
        (void)find_ambiguity("GET / HTTP/1.1\r\n" + text + "\r\n\r\n");
    }));
}

TEST_CASE("header fields of a request are decoded", "[request_head]")
{
    const auto names = test_names();
    const auto request = parse("POST /a HTTP/1.1\r\nHost: h:80\r\n"
                               "Pepperturn-Call: c-1\r\n"
                               "Pepperturn-Deadline-Ms: 250\r\n"
                               "Pepperturn-Program: p\r\n"
                               "Pepperturn-Program-Deadline-Ms: 5200\r\n"
                               "Pepperturn-Token-Budget: 900\r\n"
                               "Pepperturn-Token-Count: 1840, 136\r\n"
                               "Pepperturn-Length-Hint: 75\r\n"
                               "Pepperturn-Prompt-Parts: 5c1e:1600, e4:240\r\n"
                               "Last-Event-Id: 12\r\n"
                               "Pepperturn-Parent-Turn: t\r\n\r\n");
    const request_fields expected{"c-1",
                                  "h:80",
                                  milliseconds(250),
                                  "p",
                                  milliseconds(5200),
                                  900,
                                  1840,
                                  136,
                                  75,
                                  "t",
                                  {{hash64("5c1e"), 1600}, {hash64("e4"), 240}},
                                  12,
                                  {}};
    CHECK(decode_fields(request, names) == expected);
    const auto bad = parse("POST /a HTTP/1.1\r\nHost: h\r\n"
                           "Pepperturn-Deadline-Ms: soon\r\n"
                           "Pepperturn-Token-Budget: -1\r\n"
                           "Pepperturn-Token-Count: many\r\n\r\n");
    request_fields nothing;
    nothing.m_host = "h";
    nothing.m_error = "the token budget is no number";
    CHECK(decode_fields(bad, names) == nothing);
}

TEST_CASE("headers of one connection are told by a list of any length",
          "[request_head]")
{
    std::string listed = "close";
    constexpr int many = 5000;
    for (int i = 0; i < many; ++i)
        listed += ", n" + std::to_string(i);
    struct row
    {
        std::string m_connection;
        std::string m_name;
        bool m_expected;
    };
    const std::vector<row> rows{
        {"", "Connection", true},
        {"", "TRANSFER-ENCODING", true},
        {"", "te", true},
        {"", "Content-Type", false},
        {"", "", false},
        {"X-One, x-two", "x-one", true},
        {"X-One, x-two", "X-TWO", true},
        {"X-One, x-two", "X-Three", false},
        {listed, "N4999", true},
        {listed, "n5000", false},
        {listed, "Trailer", true},
        {",,;=\x01", "x", false},
    };
    for (const auto& each : rows)
    {
        INFO(each.m_connection.substr(0, 20) << ' ' << each.m_name);
        const hop_by_hop_names names(each.m_connection);
        CHECK(names.contains(each.m_name) == each.m_expected);
    }
    // Each pair compared with each other would be 25 million comparisons.
    const hop_by_hop_names names(listed);
    int found = 0;
    for (int i = 0; i < many; ++i)
        found += names.contains("n" + std::to_string(i)) ? 1 : 0;
    CHECK(found == many);
}

TEST_CASE("the head that is sent to a runner", "[request_head]")
{
    const auto names = test_names();
    const auto request =
        parse("POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\nX-Own: kept\r\n"
              "Connection: keep-alive, X-Hop, Pepperturn-Call\r\n"
              "X-Hop: gone\r\nKeep-Alive: timeout=3\r\nTE: trailers\r\n"
              "Upgrade: h2c\r\nExpect: 100-continue\r\n"
              "X-Only-Ours: forged\r\nPepperturn-Expect-Runner: forged\r\n"
              "Pepperturn-Urgency: 0\r\nPepperturn-Deadline-Ms: 9999\r\n"
              "Pepperturn-Call: c-1\r\nContent-Length: 0\r\n\r\n");
    const auto head =
        upstream_head(request, {"run-1", milliseconds(120), 5, 3U}, names);
    CHECK(head.starts_with("POST /a/b?q=1 HTTP/1.1\r\n"));
    for (const char* line :
         {"Host: h", "X-Own: kept", "Pepperturn-Call: c-1", "Content-Length: 5",
          "Pepperturn-Deadline-Ms: 120", "Pepperturn-Expect-Runner: run-1",
          "Pepperturn-Urgency: 3"})
    {
        INFO(line);
        CHECK(has_line(head, line));
    }
    for (const char* text : {"gone", "Keep-Alive", "TE:", "Upgrade", "Expect:",
                             "forged", "9999", "Connection", "Urgency: 0"})
    {
        INFO(text);
        CHECK(head.find(text) == std::string::npos);
    }
    const auto get = parse("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto bare =
        upstream_head(get, {"r", milliseconds(1), 0, std::nullopt}, names);
    CHECK(bare.find("Content-Length") == std::string::npos);
}
