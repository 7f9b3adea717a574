// SPDX-License-Identifier: BSL-1.0
// Answers of the platform's store that are broken in their heads.
#include "platform/store_client.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/runner.hpp"
#include "support/heads/head_forms.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

runner_step step_of(const std::string& bytes)
{
    return {bytes, true, runner_step::after::close};
}

} // namespace

// A refusal is certain, so that whoever wrote does not look again.
TEST_CASE("a broken answer of the store leaves open whether it wrote",
          "[platform][broken_heads]")
{
    for (const auto& form : broken_heads())
    {
        INFO(form.m_name);
        asio::io_context io;
        scripted_runner store(io);
        store.script({step_of(form.m_bytes)});
        platform::store_client client(io, store.address());
        const auto written = run_task(io, client.put("k", "v", 1));
        REQUIRE(written);
        CHECK(written->m_outcome == platform::store_outcome::no_answer);
        const auto read = run_task(io, client.range("k"));
        REQUIRE(read);
        CHECK(read->m_outcome == platform::store_outcome::no_answer);
        CHECK_FALSE(read->m_reason.empty());
    }
}

TEST_CASE("a store's answer behind an interim one is read",
          "[platform][broken_heads]")
{
    asio::io_context io;
    scripted_runner store(io);
    store.script({step_of("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                          "Content-Length: 14\r\n\r\n{\"revision\":7}")});
    platform::store_client client(io, store.address());
    const auto written = run_task(io, client.put("k", "v", 1));
    REQUIRE(written);
    CHECK(written->m_outcome == platform::store_outcome::ok);
    CHECK(written->m_revision == 7);
}
