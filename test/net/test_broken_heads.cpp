// SPDX-License-Identifier: BSL-1.0
// Replies that are broken in their heads, as the own interface's client reads
// them, and the last gate before a caller.
#include "support/heads/head_forms.hpp"
#include "support/net/answers.hpp"

#include "pepperturn/daemon/caller_sink.hpp"
#include "pepperturn/http/response_head.hpp"
#include "pepperturn/store/etcd_store.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

const std::string request = "GET /x HTTP/1.1\r\nHost: x\r\n"
                            "Connection: close\r\n\r\n";

bool has(const std::string& in, const std::string& what)
{
    return in.find(what) != std::string::npos;
}

/// What a caller gets from a server whose handler is \p answer.
std::string ask_server(
    const std::function<void(const std::shared_ptr<http_responder>&)>& answer)
{
    std::string reason;
    const auto server = open_http_server(
        {},
        [&answer](const http_call&,
                  const std::shared_ptr<http_responder>& out) { answer(out); },
        reason);
    REQUIRE(server != nullptr);
    auto got = ask_raw(server->port(), request, "no end but the connection's");
    server->close();
    return got;
}

} // namespace

TEST_CASE("a reply with a broken head is cut", "[net][broken_heads]")
{
    for (const auto& form : broken_heads())
    {
        INFO(form.m_name);
        const raw_server server(form.m_bytes);
        const auto got = fetch_from(server);
        CHECK(got.m_end == transfer_end::cut);
        CHECK(got.m_body.empty());
        CHECK_FALSE(got.m_reason.empty());
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("a service's answer with a broken head is reported as aborted",
          "[net][broken_heads]")
{
    for (const auto& form : broken_heads())
    {
        INFO(form.m_name);
        const raw_server server(form.m_bytes);
        const auto report = send_service_to(server);
        CHECK(report.m_end == attempt_end::aborted);
        CHECK(report.m_body.empty());
        CHECK(server.requests() == 1);
        // The answer is still to come, and its connection ends.
        const bool interim = form.m_name == "100 alone" ||
                             form.m_name == "status '199', no body";
        CHECK(report.m_broken_answer == !interim);
    }
}

TEST_CASE("a chat's answer with a broken head is reported as aborted",
          "[net][broken_heads]")
{
    for (const auto& form : broken_heads())
    {
        INFO(form.m_name);
        const raw_server server(form.m_bytes);
        const auto got = send_chat_to(server);
        CHECK(got.m_report.m_end == attempt_end::aborted);
        CHECK(got.m_report.m_body.empty());
        CHECK(got.m_streamed.empty());
        // Another runner may serve it.
        CHECK_FALSE(got.m_report.m_no_retry);
        CHECK(server.requests() == 1);
    }
}

TEST_CASE("an answer with a broken trailer is cut", "[net][broken_heads]")
{
    for (const auto& form : broken_trailers())
    {
        INFO(form.m_name);
        const raw_server server(form.m_bytes);
        CHECK(fetch_from(server).m_end == transfer_end::cut);
        const auto report = send_service_to(server);
        CHECK(report.m_end == attempt_end::aborted);
        CHECK(report.m_body.empty());
        CHECK(send_chat_to(server).m_report.m_end == attempt_end::aborted);
    }
}

TEST_CASE("a rare and sound head is read", "[net][broken_heads]")
{
    for (const auto& form : sound_heads())
    {
        INFO(form.m_name);
        const raw_server server(form.m_bytes);
        const auto got = fetch_from(server);
        CHECK(got.m_end == transfer_end::complete);
        CHECK(got.m_status == static_cast<int>(form.m_status));
        CHECK(got.m_body == sound_body);
    }
}

TEST_CASE("a store's answer with a broken head is none", "[net][broken_heads]")
{
    for (const auto& form : broken_heads())
    {
        INFO(form.m_name);
        auto bytes = form.m_bytes;
        // A body that would be taken.
        if (const auto at = bytes.find(broken_body); at != std::string::npos)
            bytes.replace(at, 7, "{\"a\":1}");
        const raw_server server(bytes);
        const auto store = make_etcd_store(server.url(), milliseconds(5000));
        auto got = std::make_shared<std::promise<bool>>();
        store->put("k", "v", [got](bool done) { got->set_value(done); });
        CHECK_FALSE(wait_for(got->get_future()));
    }
}

TEST_CASE("a redirect is an answer and leads nowhere", "[net][broken_heads]")
{
    const raw_server target(answer_of(framing::length, "text/plain", "other"));
    const raw_server server("HTTP/1.1 307 X\r\nLocation: " + target.url() +
                            "/x\r\nContent-Length: 4\r\n\r\nmove");
    const auto report = send_service_to(server);
    CHECK(report.m_end == attempt_end::complete);
    CHECK(report.m_status == 307);
    CHECK(report.m_body == "move");
    CHECK(target.requests() == 0);
}

// A caller's path is decoded where it arrives.
TEST_CASE("a service's path is sent encoded where it must be", "[net]")
{
    struct sample
    {
        const char* m_path;
        const char* m_sent;
    };
    const std::vector<sample> samples{{"/a/b+c:d", "/a/b+c:d"},
                                      {"/a b", "/a%20b"},
                                      {"/a\r\nX: y", "/a%0D%0AX:%20y"},
                                      {"/\xc3\xa4", "/%C3%A4"}};
    for (const auto& each : samples)
    {
        INFO(each.m_path);
        std::string line;
        const raw_server server([&line](const std::string& request) {
            line = request.substr(0, request.find("\r\n"));
            return answer_of(framing::length, "text/plain", "a");
        });
        const auto report = send_service_to(server, each.m_path);
        CHECK(report.m_end == attempt_end::complete);
        CHECK(line == std::string("POST ") + each.m_sent + " HTTP/1.1");
    }
}

TEST_CASE("what is no request is not sent", "[net]")
{
    struct sample
    {
        const char* m_what;
        std::function<void(http_fetch&)> m_break;
    };
    const std::vector<sample> samples{
        {"a blank in the path", [](http_fetch& out) { out.m_path = "/a b"; }},
        {"a line's end in the path",
         [](http_fetch& out) { out.m_path = "/a\r\nX: y"; }},
        {"a path without a slash", [](http_fetch& out) { out.m_path = "a"; }},
        {"a blank in the method",
         [](http_fetch& out) { out.m_method = "GET /y"; }},
        {"a line's end in a value",
         [](http_fetch& out) {
             out.m_headers = {{"X", "a\r\nY: b"}};
         }},
        {"no URL", [](http_fetch& out) { out.m_base_url = "127.0.0.1"; }},
        {"another scheme",
         [](http_fetch& out) { out.m_base_url = "ftp://127.0.0.1"; }},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_what);
        const raw_server server(answer_of(framing::length, "text/plain", "a"));
        http_fetch request;
        request.m_base_url = server.url();
        request.m_path = "/x";
        each.m_break(request);
        auto got = std::make_shared<std::promise<http_result>>();
        fetch(request,
              [got](const http_result& result) { got->set_value(result); });
        CHECK(wait_for(got->get_future()).m_end == transfer_end::not_sent);
        CHECK(server.requests() == 0);
    }
}

TEST_CASE("an answer whose status no response can have is unknown",
          "[net][broken_heads]")
{
    for (const int status : {0, 1, 20, 99, 100, 101, 199, 600, 999, 1000, -20})
    {
        INFO(status);
        answer broken;
        broken.m_call = "vm-1";
        broken.m_outcome = outcome::ran;
        broken.m_status = status;
        broken.m_body = broken_body;
        for (const bool chat : {false, true})
        {
            const auto got = ask_server([&](const auto& out) {
                const auto sink = chat ? make_chat_sink(out, "model", true)
                                       : make_service_sink(out);
                sink->on_answer(broken);
            });
            CHECK(got.starts_with("HTTP/1.1 502 Bad Gateway\r\n"
                                  "Pepperturn-Outcome: unknown\r\n"));
            CHECK_FALSE(has(got, broken_body));
        }
    }
}

TEST_CASE("no head that is broken is written to a caller",
          "[net][broken_heads]")
{
    const auto got = ask_server([](const auto& out) {
        out->reply(0,
                   {{"X Name", "v"},
                    {"X-Name\r\nX-Other", "v"},
                    {"", "v"},
                    {"X-Broken", "v\r\nX-Other: w"},
                    {"X-Sound", "v\t\x80"}},
                   "{}");
    });
    CHECK(got == "HTTP/1.1 502 Bad Gateway\r\nX-Sound: v\t\x80\r\n"
                 "Content-Type: application/json\r\nConnection: close\r\n"
                 "Content-Length: 2\r\n\r\n{}");
}

TEST_CASE("a head that was refused is counted by its fault",
          "[net][broken_heads]")
{
    struct sample
    {
        std::string m_head;
        head_fault m_fault;
    };
    const std::vector<sample> samples{
        {"HTTP/1.1 000 X\r\n", head_fault::status},
        {"HTTP/1.1 2x0 X\r\n", head_fault::status},
        {"HTTP/9.9 200 X\r\n", head_fault::status_line},
        {"HTTP/1.1 200 X\r\nA B: c\r\n", head_fault::field_name},
        {"HTTP/1.1 200 X\r\nA: \x01\r\n", head_fault::field_value},
        {"HTTP/1.1 200 X\r\nContent-Length: 10a\r\n",
         head_fault::content_length},
        {"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n",
         head_fault::transfer_coding},
        {"HTTP/1.1 200 X\r\nA: " + std::string(40000, 'a') + "\r\n",
         head_fault::too_long},
    };
    for (const auto& each : samples)
    {
        INFO(to_string(each.m_fault));
        const auto before = refused_heads(each.m_fault);
        const raw_server server(each.m_head + "\r\n");
        const auto got = fetch_from(server);
        CHECK(has(got.m_reason, to_string(each.m_fault)));
        CHECK(refused_heads(each.m_fault) == before + 1);
        std::string metrics;
        write_refused_heads(metrics, "refused");
        CHECK(has(metrics, std::string("refused_") + to_string(each.m_fault) +
                               ' ' + std::to_string(before + 1) + '\n'));
    }
}
