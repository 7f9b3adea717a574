// SPDX-License-Identifier: BSL-1.0
// Callers with keys: what runners receive, and what callers get back.
#include "support/fleet/isolated_edge.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// An edge VM whose callers have keys, with a configuration of a set age.
class keyed_edge : public isolated_edge
{
public:
    keyed_edge()
    {
        auto next = config(2);
        next.m_directory.emplace();
        REQUIRE(add_workspace(*next.m_directory, {"ws", {}, {}}, {"key-1"})
                    .empty());
        next.m_routes.front().m_public = true;
        m_proxy.apply_config(std::move(next), 2);
        m_proxy.enable_workspace_admission({[this] {
                                                ++m_age_asked;
                                                return m_age_asked >
                                                               m_fresh_answers
                                                           ? milliseconds(60000)
                                                           : m_config_age;
                                            },
                                            staleness_limits{}, nullptr});
        m_first.script({{whole_answer(200, "body")}});
        m_second.script({{whole_answer(200, "body")}});
    }
    std::string ask_with(const std::string& path, const std::string& headers)
    {
        return ask(post(path, "x", headers), "\r\n\r\n");
    }
    [[nodiscard]] std::size_t runs() const
    {
        return m_first.requests().size() + m_second.requests().size();
    }

    milliseconds m_config_age{0};
    int m_age_asked = 0;
    int m_fresh_answers = 1000;
};

} // namespace

TEST_CASE("a runner gets the workspace and never the key", "[proxy][tenancy]")
{
    keyed_edge edge;
    const auto got = edge.ask_with(
        "/once/", "Authorization: bearer key-1\r\n"
                  "Pepperturn-Workspace: another\r\n"
                  "Connection: Authorization, Pepperturn-Workspace\r\n");
    CHECK(has(got, "HTTP/1.1 200 "));
    REQUIRE(edge.runs() == 1);
    const auto& sent = edge.m_first.requests().front();
    CHECK(has(sent, "Pepperturn-Workspace: ws\r\n"));
    CHECK_FALSE(has(sent, "another"));
    CHECK_FALSE(has(sent, "key-1"));
    CHECK_FALSE(has(sent, "Authorization"));
}

TEST_CASE("a public route takes callers without keys, however old the "
          "configuration is",
          "[proxy][tenancy]")
{
    keyed_edge edge;
    edge.m_config_age = milliseconds(60000);
    const auto got = edge.ask_with("/get/", "Pepperturn-Workspace: another\r\n"
                                            "Authorization: bearer key-1\r\n");
    CHECK(has(got, "HTTP/1.1 200 "));
    REQUIRE(edge.runs() == 1);
    const auto& sent = edge.m_first.requests().front();
    CHECK_FALSE(has(sent, "Workspace"));
    CHECK_FALSE(has(sent, "Authorization"));
}

TEST_CASE("callers that are refused at admission", "[proxy][tenancy]")
{
    struct sample
    {
        std::string m_headers;
        int m_word_age_ms;
        std::string m_status;
    };
    const auto each = GENERATE(values<sample>({
        {"", 0, "401"},
        {"Authorization: bearer key-2\r\n", 0, "401"},
        {"Authorization: token key-1\r\n", 0, "401"},
        {"Authorization: bearer key-1\r\nAuthorization: bearer key-1\r\n", 0,
         "401"},
        {"Authorization: bearer key-1\r\n", 4600, "503"},
        // A newer configuration may contain the key.
        {"Authorization: bearer key-2\r\n", 2500, "503"},
    }));
    INFO(each.m_headers << each.m_word_age_ms);
    keyed_edge edge;
    edge.m_config_age = milliseconds(each.m_word_age_ms);
    const auto got = edge.ask_with("/once/", each.m_headers);
    CHECK(has(got, "HTTP/1.1 " + each.m_status + ' '));
    CHECK(has(got, "WWW-Authenticate: Bearer") == (each.m_status == "401"));
    CHECK(has(got, "Retry-After: ") == (each.m_status == "503"));
    CHECK_FALSE(has(got, "key-"));
    CHECK(edge.runs() == 0);
}

TEST_CASE("a request whose configuration expires while it waits is not sent",
          "[proxy][tenancy]")
{
    keyed_edge edge;
    // Fresh at admission only, or also when a runner is chosen; not when sent.
    const auto fresh = GENERATE(1, 2);
    edge.m_fresh_answers = fresh;
    const auto got = edge.ask_with("/once/", "Authorization: bearer key-1\r\n");
    CHECK(has(got, "HTTP/1.1 503 "));
    CHECK(edge.runs() == 0);
}

TEST_CASE("without keys, the callers' authorization is forwarded",
          "[proxy][tenancy]")
{
    isolated_edge edge;
    edge.m_first.script({{whole_answer(200, "body")}});
    const auto got =
        edge.ask(isolated_edge::post("/once/", "x",
                                     "Authorization: basic abc\r\n"
                                     "Pepperturn-Workspace: mine\r\n"),
                 "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 200 "));
    const auto& sent = edge.m_first.requests().front();
    CHECK(has(sent, "Authorization: basic abc\r\n"));
    CHECK(has(sent, "Pepperturn-Workspace: mine\r\n"));
}

TEST_CASE("a route is denied only by a configuration that is current",
          "[proxy][config_in_force]")
{
    struct row
    {
        const char* m_what;
        milliseconds m_age{0};
        const char* m_status;
        bool m_retry;
    };
    const staleness_limits limits;
    const auto each = GENERATE_COPY(values<row>({
        {"confirmed", milliseconds(0), "404", false},
        {"the oldest that counts", max_denial_age(limits), "404", false},
        {"older", max_denial_age(limits) + milliseconds(1), "503", true},
        {"never confirmed", milliseconds::max(), "503", true},
    }));
    INFO(each.m_what);
    keyed_edge edge;
    edge.m_config_age = each.m_age;
    const auto got = edge.ask_with("/other/", "");
    CHECK(has(got, std::string("HTTP/1.1 ") + each.m_status + ' '));
    CHECK(has(got, "Retry-After: ") == each.m_retry);
    CHECK(edge.runs() == 0);
}
