// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/forward/allowed_regions.hpp"
#include "pepperturn/forward/fingerprint.hpp"
#include "pepperturn/scheduling/retry_after.hpp"
#include "pepperturn/scheduling/startup_wait.hpp"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Polling interval of a request that waits at this VM's start, for conditions
/// that notify no event, such as the first connection to a storage VM.
constexpr milliseconds startup_poll{30};
constexpr milliseconds accept_retry{100};
/// A response that is ready just before the deadline takes at most this long
/// to be read by a caller that does read.
constexpr milliseconds write_margin{250};

std::string seconds_text(milliseconds duration)
{
    constexpr double ms_per_s = 1000;
    std::string text =
        std::to_string(static_cast<double>(duration.count()) / ms_per_s);
    return text.substr(0, text.find('.') + 4);
}

} // namespace

proxy::proxy(asio::io_context& io, const clock& time, wire_names names,
             std::string availability_zone, turn_client& turns)
    : m_io(io), m_time(time), m_names(std::move(names)),
      m_availability_zone(std::move(availability_zone)), m_turns(turns),
      m_acceptor(io), m_memory(io, time),
      m_caller_table(time, m_memory.budget()), m_pool(io, time),
      m_crashes(time, access_through(turns)),
      m_examiner(io, time, m_pool, m_runners, m_crashes, m_metrics),
      m_gate(io, time), m_started(time.now())
{}

bool proxy::listen(const tcp::endpoint& at, std::string& reason)
{
    if (!open_listener(m_acceptor, at, reason))
        return false;
    bound_buffers(m_acceptor, caller_connection::send_buffer_bytes,
                  caller_connection::receive_buffer_bytes);
    spawn(m_io, "proxy.accept", accept_callers());
    return true;
}

bool proxy::apply_config(routing_config config, std::uint64_t revision)
{
    m_config_revision = std::max(m_config_revision, revision);
    if (m_config && config.m_version <= m_config->m_version)
    {
        LOG(WARNING) << "event=config_refused version=" << config.m_version
                     << " in_force=" << m_config->m_version;
        return false;
    }
    LOG(INFO) << "event=config_taken version=" << config.m_version
              << " routes=" << config.m_routes.size()
              << " services=" << config.m_services.size();
    m_config = std::make_shared<const routing_config>(std::move(config));
    for (const auto& changed : m_startup_waiters)
        changed->notify();
    return true;
}

void proxy::set_runners(const std::vector<runner_info>& runners)
{
    close_unused_connections(m_runners.replace(runners, m_time.now()));
}

void proxy::apply_runner_changes(const std::vector<runner_change>& changes)
{
    close_unused_connections(m_runners.update(changes, m_time.now()));
}

void proxy::close_unused_connections(const std::vector<std::string>& restarted)
{
    m_pool.retain([&](const std::string& id) {
        const auto* row = m_runners.find(id);
        return row != nullptr && !row->m_info.m_draining &&
               std::find(restarted.begin(), restarted.end(), id) ==
                   restarted.end();
    });
    for (const auto& id : restarted)
        LOG(INFO) << "event=runner_restarted runner="
                  << m_runners.find(id)->m_incarnation;
}

void proxy::evacuate(const std::vector<std::string>& zones)
{
    LOG(INFO) << "event=zones_evacuated zones=\""
              << boost::algorithm::join(zones, ",") << '"';
    m_runners.evacuate(zones);
}

void proxy::set_random_seed(std::uint64_t seed)
{
    m_random_value = seed;
    m_runners.set_seed(seed);
}

void proxy::begin_drain()
{
    m_draining = true;
    m_drain_began = m_time.now();
}

void proxy::stop_accepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

bool proxy::tick()
{
    // Each leaves a gap of a page or more in the heap.
    constexpr std::size_t many_connections = 16;
    m_closed_runner_connections += m_pool.close_expired();
    // What was closed is freed by the event loop, after this.
    const bool freed = std::exchange(m_memory_freed, false);
    const bool many = m_closed_runner_connections >= many_connections;
    if (many)
        m_closed_runner_connections = 0;
    m_memory_freed = m_memory.freed_much() || many;
    return freed;
}

void proxy::close_idle()
{
    for (const auto& caller : std::set(m_callers))
        caller->close_if_idle();
}

task<> proxy::accept_callers()
{
    while (m_acceptor.is_open())
    {
        error_code ec;
        auto socket = co_await m_acceptor.async_accept(into(ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
        {
            LOG(WARNING) << "event=accept_failed reason=\"" << ec.message()
                         << '"';
            co_await sleep_for(m_io, accept_retry);
            continue;
        }
        auto slot = m_caller_table.admit(address_of(socket));
        // Closed unread: its caller may send the request elsewhere.
        if (!slot)
            continue;
        auto caller = std::make_shared<caller_connection>(
            m_io, m_time, m_memory, m_caller_table, std::move(slot),
            std::move(socket));
        m_callers.insert(caller);
        spawn(m_io, "proxy.serve", serve_connection(caller));
    }
}

std::string proxy::address_of(const tcp::socket& socket) const
{
    if (!m_caller_table.counts_addresses())
        return {};
    error_code ec;
    const auto endpoint = socket.remote_endpoint(ec);
    return ec ? std::string{} : endpoint.address().to_string();
}

void proxy::set_descriptor_limit(std::size_t descriptors,
                                 std::size_t per_address)
{
    const auto shares = share_descriptors(descriptors);
    m_caller_table.set_limits(shares.m_callers, per_address);
    m_pool.set_limit(shares.m_runners);
    LOG(INFO) << "event=descriptors_shared all=" << descriptors
              << " callers=" << shares.m_callers
              << " runners=" << shares.m_runners << " own=" << shares.m_own
              << " per_address=" << per_address;
}

task<> proxy::serve_connection(std::shared_ptr<caller_connection> caller)
{
    if (m_memory.level() != pressure_level::calm)
        co_await m_memory.throttle();
    while (true)
    {
        const auto limits = m_config ? m_config->m_limits : caller_limits{};
        auto read = co_await caller->read_request(limits);
        if (read.m_outcome == read_outcome::closed)
        {
            log_connection_end(read);
            break;
        }
        if (read.m_outcome == read_outcome::refused)
        {
            co_await refuse_unread_request(caller, std::move(read));
            break;
        }
        ++m_active_requests;
        const bool go_on =
            co_await serve_request(caller, std::move(read.m_request));
        --m_active_requests;
        if (!go_on)
            break;
    }
    caller->close();
    m_callers.erase(caller);
}

task<> proxy::refuse_unread_request(std::shared_ptr<caller_connection> caller,
                                    read_result read)
{
    const auto id = decode_fields(read.m_request, m_names).m_id;
    const auto held = m_memory.budget()->total();
    auto response = text_response(read.m_status, read.m_reason);
    if (read.m_retry_after)
    {
        m_memory.count_refused_request();
        response.m_fields.set(http::field::retry_after,
                              seconds_text(*read.m_retry_after));
        if (!id.empty())
            response.m_fields.set(m_names.m_request_id, id);
    }
    else
        m_metrics.count("requests_malformed");
    const bool sent = co_await caller->write_response(response, false);
    LOG(INFO) << "event=request_refused id=" << id
              << " status=" << read.m_status << " sent=" << sent << " reason=\""
              << read.m_reason << "\" held=" << held;
    if (!sent)
        m_metrics.count("refusals_unsent");
    if (sent)
        co_await caller->discard_rest_of_request();
}

std::string proxy::metrics_text() const
{
    auto out = m_metrics.text();
    m_memory.write_metrics(out);
    m_caller_table.write_metrics(out);
    m_pool.write_metrics(out);
    write_metric(out, "config_version", m_config ? m_config->m_version : 0);
    write_metric(out, "runners", m_runners.size());
    write_metric(out, "runners_usable", m_runners.usable_count());
    write_metric(out, "suspects", m_crashes.suspect_count());
    return out;
}

task<bool> proxy::serve_request(std::shared_ptr<caller_connection> caller,
                                caller_request request)
{
    const auto work = std::make_shared<call>();
    m_calls[caller.get()] = work;
    work->m_request = std::move(request);
    work->m_fields = decode_fields(work->m_request, m_names);
    work->m_buffered = caller->buffered();
    work->m_arrived = m_time.now();
    work->m_config = m_config;
    work->m_config_revision = m_config_revision;
    work->m_aborter = std::make_shared<abort_signal>();
    work->m_keep_alive = work->m_request.keep_alive();
    m_metrics.count("requests");
    auto result = co_await handle(caller, work);
    if (work->m_holds_gate_slot)
        m_gate.release();
    release_placement(*work);
    release_quota(*work);
    caller->stop_watching();
    const bool keep_alive =
        work->m_keep_alive && !m_draining && !result.m_aborted;
    bool written = !result.m_aborted;
    unsigned status = 0;
    if (result.m_response)
    {
        status = result.m_response->m_status;
        if (!work->m_fields.m_id.empty() &&
            result.m_response->m_fields.count(m_names.m_request_id) == 0)
            result.m_response->m_fields.set(m_names.m_request_id,
                                            work->m_fields.m_id);
        written =
            co_await caller->write_response(*result.m_response, keep_alive);
    }
    if (caller->write_aborted())
        work->m_reason += caller->write_abort_reason();
    log_request_end(*work, status);
    if (!written)
        log_unanswered(*caller, *work);
    m_calls.erase(caller.get());
    count_workspace(*work, status, result.m_aborted);
    co_return written&& keep_alive;
}

void proxy::log_request_end(const call& work, unsigned status)
{
    const auto took = elapsed(work.m_arrived, m_time.now());
    m_metrics.record_response(took);
    m_metrics.count("answers_" + std::to_string(status));
    LOG(INFO) << "event=request_end id=" << work.m_fields.m_id
              << " fingerprint=" << fingerprint_text(work.m_fingerprint)
              << " program=" << work.m_fields.m_program << " route="
              << (work.m_route != nullptr ? work.m_route->m_name : "none")
              << " workspace="
              << (work.m_workspace != nullptr ? work.m_workspace->m_name
                                              : "none")
              << " status=" << status << " runner=" << work.m_runner
              << " attempts=" << work.m_attempts << " took_ms=" << took.count()
              << " config=" << (work.m_config ? work.m_config->m_version : 0)
              << " why=\"" << work.m_reason << '"';
}

upstream_response proxy::refuse(call& work, const std::string& reason,
                                milliseconds retry_after)
{
    work.m_reason += reason;
    auto response = text_response(503, "not run: " + reason + "\n");
    response.m_fields.set(http::field::retry_after, seconds_text(retry_after));
    return response;
}

upstream_response proxy::fail(call& work, unsigned status,
                              const std::string& reason)
{
    work.m_reason += reason;
    return text_response(status, reason + "\n");
}

task<> proxy::watch_deadline(std::shared_ptr<call> work)
{
    asio::steady_timer timer(m_io);
    // The clock outlives this proxy.
    const auto& time = m_time;
    const auto deadline = work->m_deadline;
    const std::weak_ptr<abort_signal> aborter = work->m_aborter;
    work.reset();
    while (time.now() < deadline && !aborter.expired())
    {
        timer.expires_after(deadline - time.now());
        error_code ec;
        co_await timer.async_wait(into(ec));
    }
    if (const auto alive = aborter.lock())
        alive->abort(abort_cause::timeout);
}

instant proxy::startup_deadline(const call& work) const
{
    return work.m_arrived + startup_wait({elapsed(m_started, work.m_arrived),
                                          work.m_fields.m_deadline});
}

task<> proxy::wait_for_startup(std::shared_ptr<call> work,
                               std::function<bool()> ready)
{
    const auto until = startup_deadline(*work);
    if (ready() || m_time.now() >= until)
        co_return;
    m_metrics.count("held_at_start");
    // An event supports one waiter only.
    const auto changed = std::make_shared<async_event>(m_io);
    m_startup_waiters.insert(changed);
    while (!ready() && m_time.now() < until)
        co_await changed->wait_until(
            std::min(until, m_time.now() + startup_poll));
    m_startup_waiters.erase(changed);
}

task<proxy::call_result>
proxy::handle(std::shared_ptr<caller_connection> caller,
              std::shared_ptr<call> work)
{
    call_result out;
    out.m_response = co_await choose_route(work);
    if (out.m_response)
        co_return out;
    const auto& route = *work->m_route;
    if (requires_keys() && !config_age_known())
        co_await wait_for_startup(work, [this] { return config_age_known(); });
    out.m_response = admit_caller(*work);
    if (out.m_response)
        co_return out;
    work->m_fingerprint =
        fingerprint_of(work->m_request, work->m_fields,
                       work->m_workspace != nullptr ? work->m_workspace->m_name
                                                    : std::string_view{},
                       caller->address());
    if (!work->m_fields.m_error.empty())
    {
        out.m_response = fail(*work, 400, std::string(work->m_fields.m_error));
        co_return out;
    }
    out.m_response = co_await refuse_suspect(work);
    if (out.m_response)
        co_return out;
    if (route.m_stateful && work->m_fields.m_last_event_id)
    {
        // Only what this VM relays is stored: the turn would lack its start.
        out.m_response = fail(*work, 400,
                              "a turn is stored whole and cannot be resumed: "
                              "send it without the last event's id");
        co_return out;
    }
    work->m_deadline =
        work->m_arrived +
        std::min(route.m_timeout,
                 work->m_fields.m_deadline.value_or(route.m_timeout));
    caller->set_write_deadline(work->m_deadline + write_margin);
    if (work->m_workspace != nullptr)
        work->m_buffered->set_workspace(work->m_workspace->m_name);
    spawn(m_io, "proxy.deadline", watch_deadline(work));
    // An unrepeatable request runs to its end even if the caller leaves: its
    // effect cannot be undone, and its response may be requested later.
    if (route.m_kind != route_kind::unrepeatable)
        caller->watch_for_close(work->m_aborter);
    work->m_continues_program = !work->m_fields.m_parent_turn.empty();
    const auto quota = request_quota(work);
    request_placement(work);
    // Callers that send their whole history have a budget too.
    if (route.m_stateful || work->m_fields.m_token_budget)
        out.m_response = co_await begin_turn(work);
    if (out.m_response)
    {
        abandon_quota(*work, quota);
        co_return out;
    }
    out.m_response = co_await await_quota(work, quota);
    if (out.m_response)
    {
        settle(*work, 0);
        co_return out;
    }
    co_return co_await forward(caller, work);
}

} // namespace pepperturn
