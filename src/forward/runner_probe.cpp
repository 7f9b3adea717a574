// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/runner_probe.hpp"

namespace pepperturn {

namespace {

/// A connect takes one round trip; the caller waits for the result.
constexpr milliseconds probe_timeout{100};
/// How long the connection is kept: runners keep idle ones for longer.
constexpr milliseconds probe_keep_alive{2000};
/// How often it is looked whether an idle connection to the runner is left.
constexpr milliseconds idle_poll{20};
constexpr instant::duration min_watch{milliseconds(1)};
/// A process that has closed its connections stops listening within this time.
constexpr milliseconds reconnect_pause{20};

runner_condition condition_of(const error_code& connect_error)
{
    return connect_error == asio::error::connection_refused
               ? runner_condition::refused
               : runner_condition::unreachable;
}

} // namespace

const char* to_string(runner_condition condition)
{
    switch (condition)
    {
    case runner_condition::alive:
        return "alive";
    case runner_condition::refused:
        return "refused";
    case runner_condition::unreachable:
        return "unreachable";
    }
    return "unknown";
}

task<runner_condition> probe_runner(upstream_pool& pool, runner_info runner)
{
    error_code ec;
    auto connection =
        co_await pool.connect(runner.m_address, probe_timeout, ec);
    if (!connection)
        co_return condition_of(ec);
    pool.put_back(runner.m_id, std::move(connection), probe_keep_alive);
    co_return runner_condition::alive;
}

task<runner_condition> watch_runner(upstream_pool& pool, const clock& time,
                                    runner_info runner, milliseconds span)
{
    const auto until = time.now() + span;
    while (time.now() < until)
    {
        // The pool forgets idle connections as soon as they close.
        if (pool.has_idle(runner.m_id))
        {
            co_await sleep_for(pool.io(), idle_poll);
            continue;
        }
        error_code ec;
        const auto connection =
            co_await pool.connect(runner.m_address, probe_timeout, ec);
        if (!connection)
            co_return condition_of(ec);
        connection->m_stream.expires_after(
            std::max(until - time.now(), min_watch));
        char byte = 0;
        // Nothing is sent, so that only a close ends the read early. A runner
        // that closes idle connections is connected to again.
        co_await connection->m_stream.async_read_some(asio::buffer(&byte, 1),
                                                      into(ec));
        connection->m_stream.close();
        if (ec != boost::beast::error::timeout)
            co_await sleep_for(pool.io(), reconnect_pause);
    }
    co_return runner_condition::alive;
}

} // namespace pepperturn
