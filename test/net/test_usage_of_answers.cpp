// SPDX-License-Identifier: BSL-1.0
// What engines state of the tokens that an answer used.
#include "support/net/answers.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// The report of an answer of one token and then \p usage.
call_report report_with(const std::string& usage)
{
    const raw_server server(
        answer_of(framing::chunks, "text/event-stream",
                  "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n" +
                      usage + "data: [DONE]\n\n"));
    return send_chat_to(server).m_report;
}

std::string usage_event(const std::string& usage)
{
    return "data: {\"choices\":[],\"usage\":" + usage + "}\n\n";
}

struct usage_row
{
    std::string m_events;
    std::optional<token_usage> m_expected;
};

void check_rows(const std::vector<usage_row>& rows)
{
    for (const auto& row : rows)
    {
        INFO(row.m_events);
        const auto report = report_with(row.m_events);
        CHECK(report.m_end == attempt_end::complete);
        CHECK(report.m_body == "a");
        CHECK(report.m_usage == row.m_expected);
    }
}

const std::string some =
    usage_event("{\"prompt_tokens\":5,\"completion_tokens\":2}");

} // namespace

TEST_CASE("an answer without usage is not reported as one of no tokens",
          "[net]")
{
    check_rows({{"", std::nullopt},
                {usage_event("null"), std::nullopt},
                {usage_event("7"), std::nullopt},
                {usage_event("[]"), std::nullopt},
                {usage_event("{}"), std::nullopt},
                {usage_event("{\"total_tokens\":9}"), std::nullopt},
                {usage_event("{\"prompt_tokens\":5}"), std::nullopt},
                {usage_event("{\"completion_tokens\":5}"), std::nullopt}});
}

TEST_CASE("usage whose counts are no numbers leaves its answer whole", "[net]")
{
    check_rows(
        {{usage_event("{\"prompt_tokens\":null,\"completion_tokens\":null}"),
          std::nullopt},
         {usage_event("{\"prompt_tokens\":\"5\",\"completion_tokens\":\"2\"}"),
          std::nullopt},
         {usage_event("{\"prompt_tokens\":5,\"completion_tokens\":-2}"),
          std::nullopt},
         {usage_event("{\"prompt_tokens\":5,\"completion_tokens\":2,"
                      "\"prompt_tokens_details\":{\"cached_tokens\":null}}"),
          token_usage{5, 0, 2}}});
}

TEST_CASE("usage that is stated is reported, zeros included", "[net]")
{
    check_rows(
        {{some, token_usage{5, 0, 2}},
         {usage_event("{\"prompt_tokens\":0,\"completion_tokens\":0}"),
          token_usage{}},
         {usage_event("{\"prompt_tokens\":5,\"completion_tokens\":2,"
                      "\"prompt_tokens_details\":{\"cached_tokens\":3}}"),
          token_usage{5, 3, 2}},
         {usage_event("{\"prompt_tokens\":5,\"completion_tokens\":1}") + some,
          token_usage{5, 0, 2}},
         {some + usage_event("null"), token_usage{5, 0, 2}}});
}
