// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/daemon/node.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/base/log_fields.hpp"
#include "pepperturn/config/keys.hpp"
#include "pepperturn/core/systems.hpp"
#include "pepperturn/daemon/inspect.hpp"
#include "pepperturn/daemon/metrics.hpp"
#include "pepperturn/http/response_head.hpp"
#include "pepperturn/net/upstream_client.hpp"
#include "pepperturn/store/etcd_store.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

constexpr int status_timeout = 504;
constexpr milliseconds entry_scan{50};
constexpr milliseconds stop_scan{100};
constexpr milliseconds operator_patience{10000};
constexpr milliseconds retry_pause{50};

std::uint64_t random_number()
{
    return std::stoull(random_hex(7), nullptr, 16);
}

const call_id& call_of(const decision& made)
{
    return std::visit(
        [](const auto& value) -> const call_id& { return value.m_call; }, made);
}

void write_line(const log_line& line)
{
    std::string text = std::string("event=") + line.m_event;
    for (const auto& [key, value] : line.m_fields)
        text += std::string(" ") + key + "=" + quoted(value);
    LOG(INFO) << text;
}

} // namespace

node::node(daemon_settings settings, std::unique_ptr<peer_loop> loop)
    : m_settings(std::move(settings)), m_loop(std::move(loop)),
      m_incarnation(random_number()),
      m_scheduler(m_settings.m_vm.m_id, m_incarnation,
                  m_settings.m_vm.m_partitions, m_clock,
                  m_settings.m_vm.m_seed != 0 ? m_settings.m_vm.m_seed
                                              : m_incarnation),
      m_store(make_etcd_store(m_settings.m_store.m_url,
                              m_settings.m_store.m_timeout)),
      m_logs(m_store, m_settings.m_store.m_prefix,
             [this](event input) {
                 m_loop->post(
                     [this, input = std::move(input)] { handle(input); });
             }),
      m_configs(m_store, m_settings.m_store.m_prefix), m_entries(*this),
      m_deployment(std::make_shared<deployment>())
{}

std::uint32_t node::listen(std::string& reason)
{
    return m_loop->listen(m_settings.m_vm.m_host, m_settings.m_vm.m_rpc_port,
                          *this, reason);
}

void node::run()
{
    const auto& timing = m_settings.m_timing;
    every(timing.m_tick, [] {});
    every(timing.m_heartbeat, [this] { send_heartbeats(); });
    every(timing.m_load_poll, [this] { poll_runners(); });
    every(timing.m_config_poll, [this] { poll_config(); });
    every(m_settings.m_platform.m_poll, [this] { poll_platform(); });
    every(entry_scan, [this] { m_entries.tick(); });
    every(stop_scan, [this] { check_stop(); });
    m_loop->run([this] { drain(); });
}

void node::every(milliseconds period, const std::function<void()>& work)
{
    work();
    m_loop->after(period, [this, period, work] { every(period, work); });
}

// ---- from any thread -------------------------------------------------------

call_id node::submit(call_request request, std::shared_ptr<call_sink> sink)
{
    request.m_id =
        make_call_id(m_settings.m_vm.m_id, m_incarnation, m_next_call++);
    request.m_entry_vm = m_settings.m_vm.m_id;
    auto& program = request.m_session.m_program;
    if (program.m_program.empty())
        program = one_off_program(program.m_workspace, request.m_id);
    auto id = request.m_id;
    m_loop->post(
        [this, request = std::move(request), sink = std::move(sink)]() mutable {
            m_entries.start(request, std::move(sink));
        });
    return id;
}

template <class Request>
void node::ask_owner(const Request& request, const program_key& key,
                     instant give_up, std::function<void(answer)> done)
{
    const auto vm = likely_owner(key);
    const auto decided = [this, request, key, give_up,
                          done](const std::optional<decision>& made) {
        if (made && std::holds_alternative<answer>(*made))
        {
            done(std::get<answer>(*made));
            return;
        }
        if (now() >= give_up)
        {
            answer reply;
            reply.m_status = status_timeout;
            reply.m_outcome = outcome::unknown;
            reply.m_reason = "no owner of the program was reachable";
            done(reply);
            return;
        }
        m_loop->after(retry_pause, [this, request, key, give_up, done] {
            ask_owner(request, key, give_up, done);
        });
    };
    if (vm.empty())
        decided(std::nullopt);
    else if (vm == m_settings.m_vm.m_id)
    {
        wait_for(request.m_call, decided);
        handle(request);
    }
    else if constexpr (std::is_same_v<Request, program_end_requested>)
        m_loop->end_program(address_of(vm), request, decided);
    else
        m_loop->resolve(address_of(vm), request, decided);
}

void node::end_program(const program_key& key, std::function<void(answer)> done)
{
    const program_end_requested request{
        make_call_id(m_settings.m_vm.m_id, m_incarnation, m_next_call++),
        m_settings.m_vm.m_id, key};
    m_loop->post([this, request, key, done = std::move(done)] {
        ask_owner(request, key, now() + operator_patience, done);
    });
}

void node::resolve(const session_key& key, std::uint64_t seq, outcome verdict,
                   std::function<void(answer)> done)
{
    const resolve_requested request{
        make_call_id(m_settings.m_vm.m_id, m_incarnation, m_next_call++),
        m_settings.m_vm.m_id, key, seq, verdict};
    m_loop->post([this, request, done = std::move(done)] {
        ask_owner(request, request.m_session.m_program,
                  now() + operator_patience, done);
    });
}

void node::query_here(const std::string& verb, const std::string& argument,
                      std::function<void(std::string)> done)
{
    m_loop->post([this, verb, argument, done = std::move(done)] {
        done(inspect(m_scheduler.state(), verb, argument));
    });
}

void node::query_all(const std::string& verb, const std::string& argument,
                     std::function<void(std::string)> done)
{
    m_loop->post([this, verb, argument, done = std::move(done)] {
        struct gathering
        {
            std::vector<std::string> m_parts;
            std::size_t m_open = 1;
        };
        auto gathered = std::make_shared<gathering>();
        gathered->m_parts.push_back(
            inspect(m_scheduler.state(), verb, argument));
        const auto close = [gathered, done] {
            gathered->m_open -= 1;
            if (gathered->m_open == 0)
                done(join_arrays(gathered->m_parts));
        };
        for (const auto& [id, row] : m_scheduler.state().m_vms)
        {
            if (id == m_settings.m_vm.m_id || !alive(id))
                continue;
            gathered->m_open += 1;
            m_loop->query(
                row.m_info.m_address, verb, argument,
                [gathered, close](const std::optional<std::string>& text) {
                    if (text)
                        gathered->m_parts.push_back(*text);
                    close();
                });
        }
        close();
    });
}

void node::metrics(std::function<void(std::string)> done)
{
    m_loop->post([this, done = std::move(done)] {
        auto text = format_metrics(m_scheduler.state(), m_entries.size());
        write_refused_heads(text, "pepperturn_refused_heads");
        done(std::move(text));
    });
}

void node::request_stop()
{
    m_stopping = true;
    m_loop->post([this] {
        LOG(INFO) << "event=stop_requested calls=" << m_entries.size();
        m_stop_by = now() + m_settings.m_timing.m_stop_limit;
        handle(stop_requested{});
        // Peers learn at once, so that they take the partitions over.
        send_heartbeats();
    });
}

std::shared_ptr<const deployment> node::current() const
{
    const std::lock_guard lock(m_deployment_mutex);
    return m_deployment;
}

// ---- peer_handler
// ------------------------------------------------------------

void node::on_peer_submit(call_submitted submitted, decision_done done)
{
    wait_for(submitted.m_request.m_id, std::move(done));
    handle(submitted);
    drain();
}

heartbeat node::on_peer_heartbeat(const heartbeat& beat)
{
    handle(beat);
    drain();
    return m_scheduler.make_heartbeat();
}

std::string node::on_peer_query(const std::string& verb,
                                const std::string& argument)
{
    return inspect(m_scheduler.state(), verb, argument);
}

void node::on_peer_cancel(const call_id& call, std::uint32_t attempt)
{
    m_entries.cancel(call, attempt);
}

void node::on_peer_end_program(program_end_requested request,
                               decision_done done)
{
    wait_for(request.m_call, std::move(done));
    handle(request);
    drain();
}

void node::on_peer_resolve(resolve_requested request, decision_done done)
{
    wait_for(request.m_call, std::move(done));
    handle(request);
    drain();
}

// ---- entry_port
// ----------------------------------------------------------------

instant node::now() const
{
    return m_clock.now();
}

std::string node::likely_owner(const program_key& key) const
{
    return detail::likely_owner(m_scheduler.state(), key);
}

bool node::alive(const std::string& vm) const
{
    return detail::vm_alive(m_scheduler.state(), vm);
}

void node::submit_to(const std::string& vm, const call_submitted& submitted,
                     decision_callback done)
{
    if (vm == m_settings.m_vm.m_id)
    {
        wait_for(submitted.m_request.m_id, std::move(done));
        handle(submitted);
        return;
    }
    m_loop->submit(address_of(vm), submitted, std::move(done));
}

void node::send(const grant& permit, const call_request& request,
                std::function<void(const std::string&)> on_token,
                report_callback done)
{
    const auto on_loop = [this, done = std::move(done)](call_report report) {
        m_loop->post([done, report = std::move(report)] { done(report); });
    };
    if (request.m_kind == call_kind::service)
        send_service(permit, request, on_loop);
    else
        send_chat(permit, request.m_upstream, std::move(on_token), on_loop);
}

void node::cancel_sent(const grant& permit)
{
    cancel_chat(permit);
}

// ---- loop thread
// ------------------------------------------------------------------

std::string node::address_of(const std::string& vm) const
{
    const auto found = m_scheduler.state().m_vms.find(vm);
    return found == m_scheduler.state().m_vms.end()
               ? std::string{}
               : found->second.m_info.m_address;
}

void node::handle(const event& input)
{
    m_scheduler.handle(input);
}

void node::wait_for(const call_id& call, decision_done done)
{
    // A new question about the same call replaces the one whose connection
    // broke.
    auto& waiting = m_waiters[call];
    waiting.clear();
    waiting.push_back(std::move(done));
}

void node::drain()
{
    if (m_draining)
        return;
    m_draining = true;
    for (auto orders = m_scheduler.tick(); !orders.empty();
         orders = m_scheduler.tick())
    {
        for (const auto& order : orders)
            execute(order);
    }
    m_draining = false;
}

void node::deliver(const send_decision& order)
{
    const auto found = m_waiters.find(call_of(order.m_decision));
    if (found == m_waiters.end())
        return;
    const auto waiting = std::move(found->second);
    m_waiters.erase(found);
    for (const auto& done : waiting)
        done(order.m_decision);
}

void node::release(const release_memory& order)
{
    release_prefix(order, [this](release_completed answered) {
        m_loop->post(
            [this, answered = std::move(answered)] { handle(answered); });
    });
}

void node::execute(const command& order)
{
    if (const auto* decided = std::get_if<send_decision>(&order))
        deliver(*decided);
    else if (const auto* create = std::get_if<create_entries>(&order))
        m_logs.create(*create);
    else if (const auto* read = std::get_if<read_log>(&order))
        m_logs.read(*read);
    else if (const auto* snapshot = std::get_if<write_snapshot>(&order))
        m_logs.write(*snapshot);
    else if (const auto* old = std::get_if<delete_entries>(&order))
        m_logs.remove(*old);
    else if (const auto* memory = std::get_if<release_memory>(&order))
        release(*memory);
    else if (const auto* line = std::get_if<log_line>(&order))
        write_line(*line);
    else if (const auto* stop = std::get_if<cancel_attempt>(&order))
    {
        if (stop->m_entry_vm == m_settings.m_vm.m_id)
            m_entries.cancel(stop->m_call, stop->m_attempt);
        else
            m_loop->cancel(address_of(stop->m_entry_vm), stop->m_call,
                           stop->m_attempt);
    }
}

void node::send_heartbeats()
{
    const auto mine = m_scheduler.make_heartbeat();
    const auto timeout =
        m_scheduler.state().m_deployment.m_limits.m_heartbeat_timeout;
    for (const auto& [id, row] : m_scheduler.state().m_vms)
    {
        if (id == m_settings.m_vm.m_id || row.m_info.m_address.empty())
            continue;
        auto& beat = m_beats[id];
        const auto address = row.m_info.m_address;
        if (beat.m_open && now() - beat.m_sent > timeout)
        {
            // A frozen peer accepts but never answers.
            m_loop->disconnect(address);
            beat.m_open = false;
        }
        if (beat.m_open)
            continue;
        beat.m_open = true;
        beat.m_sent = now();
        m_loop->beat(address, mine,
                     [this, id = id](const std::optional<heartbeat>& theirs) {
                         m_beats[id].m_open = false;
                         if (theirs)
                             handle(*theirs);
                     });
    }
}

void node::check_stop()
{
    if (!m_stopping)
        return;
    const bool quiet = m_scheduler.handed_over() && m_entries.size() == 0;
    if (!quiet && now() < m_stop_by)
        return;
    LOG(INFO) << "event=stopped quiet=" << quiet
              << " calls=" << m_entries.size();
    m_loop->stop();
}

} // namespace pepperturn
