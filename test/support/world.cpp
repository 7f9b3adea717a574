// SPDX-License-Identifier: BSL-1.0
#include "support/world.hpp"

#include "pepperturn/config/deployment_file.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>
#include <array>

namespace pepperturn::test {

namespace {

constexpr milliseconds hop{1};
constexpr milliseconds tick_period{50};
constexpr milliseconds beat_period{200};
constexpr milliseconds leaving_bound{3000};
constexpr std::array chat_runners{"llm-1", "llm-2"};
/// It does not state the tokens that its answers used.
constexpr const char* silent_runner = chat_runners.back();
constexpr const char* service_runner = "receipts-1";
const std::string config_text = "[upstream agent-llm]\nkind = chat\n";

std::string vm_name(std::size_t index)
{
    return "vm" + std::to_string(index);
}

/// As much as the owner's bound allows, so that budgets are used to the last
/// token: a byte a token, the overhead of each message, whole replies.
std::uint32_t tokens_of(const std::vector<message>& prompt,
                        std::uint32_t reply_tokens)
{
    constexpr std::uint32_t overhead = 16;
    std::uint32_t tokens = 0;
    for (const auto& part : prompt)
        tokens +=
            part.m_role == "assistant"
                ? reply_tokens
                : static_cast<std::uint32_t>(part.m_content.size()) + overhead;
    return tokens;
}

} // namespace

std::string content_of(const session_key& key, std::uint64_t seq)
{
    return key.m_program.m_program + "/" + key.m_session + "/" +
           std::to_string(seq);
}

bool is_receipt(std::uint64_t seq)
{
    return seq % 3 == 0;
}

void showValue(const op& value, std::ostream& out)
{
    constexpr std::array names{"turn",         "crash",         "restart",
                               "pause",        "resume",        "stop",
                               "store_outage", "store_back",    "lose_answers",
                               "late_write",   "cut_reply",     "refuse_call",
                               "lose_release", "runner_leaves", "end_program",
                               "race_configs", "wait"};
    out << names.at(static_cast<std::size_t>(value.m_kind)) << "(" << value.m_a
        << "," << value.m_b << ")";
}

// ---- vm_box ----------------------------------------------------------------

vm_box::vm_box(world& around, std::string id, std::uint64_t incarnation)
    : m_world(around), m_id(std::move(id)), m_incarnation(incarnation),
      m_core(m_id, incarnation, around.m_options.m_partitions,
             around.m_time.time(), incarnation),
      m_logs(around.m_store, "t/",
             [this, id = m_id, incarnation](const event& input) {
                 m_world.on_vm(id, incarnation,
                               [this, input] { m_core.handle(input); });
             }),
      m_entries(*this)
{}

instant vm_box::now() const
{
    return m_world.m_time.now();
}

std::string vm_box::likely_owner(const program_key& key) const
{
    return detail::likely_owner(m_core.state(), key);
}

bool vm_box::alive(const std::string& vm) const
{
    return detail::vm_alive(m_core.state(), vm);
}

void vm_box::submit_to(const std::string& vm, const call_submitted& submitted,
                       decision_callback done)
{
    if (vm != m_id)
    {
        m_world.submit_rpc(*this, vm, submitted, std::move(done));
        return;
    }
    m_waiters[submitted.m_request.m_id] = std::move(done);
    m_core.handle(submitted);
}

void vm_box::send(const grant& permit, const call_request& request,
                  std::function<void(const std::string&)>, report_callback done)
{
    m_world.check_before_send(permit, request);
    if (request.m_kind == call_kind::chat)
        m_world.run_chat(*this, permit, request, done);
    else
        m_world.run_service(*this, permit, request, done);
}

void vm_box::cancel_sent(const grant&)
{
    // The fake engines finish what they began; cancelling saves work only.
}

void vm_box::drain()
{
    if (m_draining)
        return;
    m_draining = true;
    for (auto orders = m_core.tick(); !orders.empty(); orders = m_core.tick())
    {
        for (const auto& order : orders)
            execute(order);
    }
    m_draining = false;
}

void vm_box::execute(const command& order)
{
    if (const auto* decided = std::get_if<send_decision>(&order))
    {
        const auto call =
            std::visit([](const auto& value) { return value.m_call; },
                       decided->m_decision);
        const auto found = m_waiters.find(call);
        if (found == m_waiters.end())
            return;
        const auto done = std::move(found->second);
        m_waiters.erase(found);
        done(decided->m_decision);
    }
    else if (const auto* create = std::get_if<create_entries>(&order))
        m_logs.create(*create);
    else if (const auto* read = std::get_if<read_log>(&order))
        m_logs.read(*read);
    else if (const auto* snapshot = std::get_if<write_snapshot>(&order))
        m_logs.write(*snapshot);
    else if (const auto* old = std::get_if<delete_entries>(&order))
        m_logs.remove(*old);
    else if (const auto* memory = std::get_if<release_memory>(&order))
        m_world.release(*this, *memory);
}

// ---- VMs and time
// ------------------------------------------------------------

world::world(const world_options& options)
    : m_options(options), m_store(std::make_shared<fake_store>(m_time)),
      m_configs(m_store, "t/")
{
    m_runners[chat_runners[0]];
    m_runners[chat_runners[1]];
    m_runners[service_runner];
    for (int p = 0; p < options.m_programs; ++p)
    {
        for (int s = 0; s < options.m_sessions; ++s)
        {
            // The second session is a sub-agent of the first one's program.
            const auto root = "p" + std::to_string(p);
            const auto name = s == 0 ? root : root + "-sub";
            session_client client;
            client.m_key = {{"ws", root, name}, "main"};
            m_clients.push_back(client);
        }
    }
    m_vms.resize(options.m_vms);
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        start_vm(i);
    tick();
    beat();
    m_time.run_for(milliseconds(2500));
}

void world::note(promise which, const std::string& what)
{
    m_broken.emplace(which, what);
}

std::string world::story_of(const call_id& call) const
{
    std::string text;
    for (const auto* boxes : {&m_graveyard, &m_vms})
    {
        for (const auto& vm : *boxes)
        {
            const auto& traces = vm->m_core.state().m_traces;
            const auto found = traces.find(call);
            if (found == traces.end())
                continue;
            for (const auto& step : found->second)
                text +=
                    "\n  " + vm->m_id + " " +
                    std::to_string(to_seconds(step.m_at.time_since_epoch())) +
                    " " + step.m_text;
        }
    }
    return text;
}

std::string world::broken(promise which) const
{
    const auto found = m_broken.find(which);
    return found == m_broken.end() ? std::string{} : found->second;
}

vm_box* world::find_vm(const std::string& id)
{
    for (const auto& vm : m_vms)
    {
        if (vm->m_id == id)
            return vm.get();
    }
    return nullptr;
}

void world::on_vm(const std::string& id, std::uint64_t incarnation,
                  const std::function<void()>& work)
{
    auto* vm = find_vm(id);
    if (vm == nullptr || !vm->m_alive || vm->m_incarnation != incarnation)
        return;
    if (vm->m_paused)
    {
        vm->m_inbox.push_back(work);
        return;
    }
    work();
    vm->drain();
}

deployment world::make_deployment() const
{
    deployment out;
    out.m_revision = 1;
    out.m_upstreams["agent-llm"] = {"agent-llm", call_kind::chat, true,
                                    milliseconds{5000}};
    out.m_upstreams["receipts"] = {"receipts", call_kind::service, false,
                                   milliseconds{5000}};
    for (const char* name : chat_runners)
    {
        runner_info info;
        info.m_name = name;
        info.m_upstream = "agent-llm";
        out.m_runners[name] = info;
    }
    runner_info service;
    service.m_name = service_runner;
    service.m_upstream = "receipts";
    out.m_runners[service_runner] = service;
    workspace_info workspace;
    workspace.m_name = "ws";
    workspace.m_budget_tokens = m_options.m_budget;
    out.m_workspaces["ws"] = workspace;
    out.m_limits.m_snapshot_entries = m_options.m_snapshot_entries;
    out.m_limits.m_release_retry = milliseconds{300};
    out.m_limits.m_rebalance_delay = milliseconds{600};
    out.m_limits.m_gap_timeout = milliseconds{2000};
    return out;
}

void world::start_vm(std::size_t index)
{
    if (m_vms[index] != nullptr)
        m_graveyard.push_back(std::move(m_vms[index]));
    m_vms[index] =
        std::make_unique<vm_box>(*this, vm_name(index), m_next_incarnation++);
    auto& vm = *m_vms[index];
    vm.m_core.handle(deployment_changed{make_deployment()});
}

/// Whoever waits for an answer of a VM that is gone sees its connection break.
void world::break_connections(const vm_box& vm)
{
    std::vector<std::uint64_t> lost;
    for (const auto& [id, rpc] : m_rpcs)
    {
        if (rpc.m_to == vm.m_id && rpc.m_to_incarnation == vm.m_incarnation)
            lost.push_back(id);
    }
    for (const auto id : lost)
        m_time.after(hop, [this, id] { close_rpc(id, std::nullopt); });
}

void world::crash(std::size_t index)
{
    auto& vm = *m_vms[index];
    if (!vm.m_alive)
        return;
    vm.m_alive = false;
    vm.m_inbox.clear();
    break_connections(vm);
    for (auto& client : m_clients)
        std::erase_if(client.m_open, [&vm](const auto& entry) {
            return entry.second.m_vm == vm.m_id &&
                   entry.second.m_incarnation == vm.m_incarnation;
        });
}

void world::resume(std::size_t index)
{
    auto& vm = *m_vms[index];
    if (!vm.m_paused)
        return;
    vm.m_paused = false;
    const auto work = std::move(vm.m_inbox);
    vm.m_inbox.clear();
    for (const auto& entry : work)
    {
        if (vm.m_alive)
        {
            entry();
            vm.drain();
        }
    }
}

void world::tick()
{
    for (const auto& vm : m_vms)
    {
        if (!vm->m_alive || vm->m_paused)
            continue;
        vm->m_entries.tick();
        vm->drain();
        if (vm->m_stopping && vm->m_core.handed_over() &&
            vm->m_entries.size() == 0)
        {
            vm->m_alive = false;
            break_connections(*vm);
        }
    }
    m_time.after(tick_period, [this] { tick(); });
}

void world::beat()
{
    vms_listed listed;
    for (const auto& vm : m_vms)
        listed.m_vms.push_back({vm->m_id, vm->m_id, "zone", false});
    for (const auto& [name, runner] : m_runners)
    {
        if (runner.m_leaving_since)
            listed.m_leaving_runners.insert(name);
    }
    for (const auto& to : m_vms)
    {
        if (!to->m_alive || to->m_paused)
            continue;
        to->m_core.handle(listed);
        give_config(*to);
        for (const auto& from : m_vms)
        {
            if (from != to && from->m_alive && !from->m_paused)
                to->m_core.handle(from->m_core.make_heartbeat());
        }
    }
    m_time.after(beat_period, [this] { beat(); });
}

// ---- configuration
// -------------------------------------------------------------

void world::give_config(vm_box& vm)
{
    const auto seen = vm.m_config_seen;
    m_configs.read_newest(
        seen, [this, id = vm.m_id, incarnation = vm.m_incarnation](
                  const std::optional<std::optional<config_revision>>& found) {
            if (!found || !*found)
                return;
            on_vm(id, incarnation, [this, id, found] {
                auto& target = *find_vm(id);
                auto next = make_deployment();
                next.m_revision = (**found).m_revision;
                const auto before =
                    target.m_core.state().m_deployment.m_revision;
                target.m_core.handle(deployment_changed{next});
                const auto now = target.m_core.state().m_deployment.m_revision;
                if (now < before)
                    note(promise::config, "a VM went back a revision");
                target.m_config_seen = now;
            });
        });
}

void world::race_configs(int a, int b)
{
    const auto base = m_config_wins + 1;
    for (const int author : {a, b + 100})
    {
        config_revision next{base + 1, config_text, {}, std::to_string(author)};
        m_configs.put(next, [this, next, base](guarded_status status) {
            if (status != guarded_status::written)
                return;
            const auto [row, first] =
                m_config_winner.emplace(next.m_revision, next.m_author);
            if (!first && row->second != next.m_author)
                note(promise::config, "two operators won one revision");
            m_config_wins = std::max(m_config_wins, base);
        });
    }
}

// ---- network between VMs
// ----------------------------------------------------------

void world::submit_rpc(vm_box& from, const std::string& to,
                       const call_submitted& submitted, decision_callback done)
{
    auto* target = find_vm(to);
    const auto id = m_next_rpc++;
    m_rpcs[id] = {from.m_id, from.m_incarnation, to,
                  target == nullptr ? 0 : target->m_incarnation,
                  std::move(done)};
    if (target == nullptr || !target->m_alive)
    {
        m_time.after(hop, [this, id] { close_rpc(id, std::nullopt); });
        return;
    }
    m_time.after(hop, [this, id, submitted] {
        const auto found = m_rpcs.find(id);
        if (found == m_rpcs.end())
            return;
        const auto& rpc = found->second;
        on_vm(rpc.m_to, rpc.m_to_incarnation,
              [this, id, submitted, to = rpc.m_to] {
                  auto& box = *find_vm(to);
                  box.m_waiters[submitted.m_request.m_id] =
                      [this, id](const decision& made) {
                          m_time.after(
                              hop, [this, id, made] { close_rpc(id, made); });
                      };
                  box.m_core.handle(submitted);
              });
    });
}

void world::close_rpc(std::uint64_t id, const std::optional<decision>& made)
{
    const auto found = m_rpcs.find(id);
    if (found == m_rpcs.end())
        return;
    const auto rpc = std::move(found->second);
    m_rpcs.erase(found);
    on_vm(rpc.m_from, rpc.m_from_incarnation,
          [done = rpc.m_done, made] { done(made); });
}

// ---- upstreams
// -----------------------------------------------------------------------

void world::check_before_send(const grant& permit, const call_request& request)
{
    const auto& runner = m_runners.at(permit.m_runner);
    if (runner.m_leaving_since &&
        m_time.now() - *runner.m_leaving_since > leaving_bound)
        note(promise::leaving,
             permit.m_runner + " got work at " +
                 std::to_string(to_seconds(m_time.now().time_since_epoch())) +
                 " while leaving since " +
                 std::to_string(
                     to_seconds(runner.m_leaving_since->time_since_epoch())) +
                 ": " + permit.m_call + story_of(permit.m_call));
    if (m_not_run.contains(request.m_id))
        note(promise::not_run, request.m_id + " was sent after not_run");
    if (permit.m_seq <= 1)
        return;
    const bool earlier_done = std::any_of(
        m_executions.begin(), m_executions.end(), [&](const execution& row) {
            return row.m_session == request.m_session &&
                   row.m_seq + 1 == permit.m_seq && row.m_completed;
        });
    const bool receipt_before = is_receipt(permit.m_seq - 1);
    if (!earlier_done && !receipt_before)
        note(promise::order, "seq " + std::to_string(permit.m_seq) + " of " +
                                 request.m_session.m_program.m_program +
                                 " was sent before its predecessor ended");
}

void world::report_later(vm_box& vm, microseconds delay, call_report report,
                         const report_callback& done,
                         std::size_t execution_index)
{
    m_time.after(delay, [this, id = vm.m_id, incarnation = vm.m_incarnation,
                         report = std::move(report), done, execution_index] {
        if (report.m_end == attempt_end::complete)
            m_executions[execution_index].m_completed = m_time.now();
        on_vm(id, incarnation, [done, report] { done(report); });
    });
}

void world::note_execution(const grant& permit, const call_request& request)
{
    execution row;
    row.m_at = m_time.now();
    row.m_call = permit.m_call;
    row.m_runner = permit.m_runner;
    row.m_session = request.m_session;
    row.m_seq = permit.m_seq;
    m_executions.push_back(row);
}

bool world::refused(const vm_box& vm, runner_box& runner, call_report report,
                    const report_callback& done)
{
    if (runner.m_refuse_next == 0)
        return false;
    runner.m_refuse_next -= 1;
    report.m_end = attempt_end::not_sent;
    m_time.after(hop, [this, id = vm.m_id, incarnation = vm.m_incarnation,
                       report = std::move(report), done] {
        on_vm(id, incarnation, [done, report] { done(report); });
    });
    return true;
}

void world::run_chat(vm_box& vm, const grant& permit,
                     const call_request& request, const report_callback& done)
{
    auto& runner = m_runners.at(permit.m_runner);
    auto report = report_for(permit);
    if (refused(vm, runner, report, done))
        return;
    // What the callers said and were answered, whether or not the last of
    // it has reached them yet.
    std::vector<message> expected;
    for (std::uint64_t seq = 1; seq < permit.m_seq; ++seq)
    {
        if (is_receipt(seq))
            continue;
        const auto said = content_of(request.m_session, seq);
        expected.push_back({"user", said});
        expected.push_back({"assistant", "re:" + said});
    }
    const auto& last = request.m_messages.back().m_content;
    expected.push_back({"user", last});
    if (permit.m_prompt != expected)
        note(promise::history, "the prompt of " + last + " holds " +
                                   std::to_string(permit.m_prompt.size()) +
                                   " messages where the caller knows " +
                                   std::to_string(expected.size()));
    note_execution(permit, request);
    const auto prompt = tokens_of(permit.m_prompt, request.m_max_tokens);
    if (permit.m_runner != silent_runner)
        report.m_usage = {prompt, 0, request.m_max_tokens};
    auto root = request.m_session.m_program;
    root.m_program = root.m_root;
    m_spent[root] += prompt + request.m_max_tokens;
    if (m_spent[root] > m_options.m_budget)
        note(promise::budget, root.m_root + " spent " +
                                  std::to_string(m_spent[root]) + " of " +
                                  std::to_string(m_options.m_budget));
    runner.m_cached.insert(permit.m_cache_key);
    report.m_status = 200;
    report.m_body = "re:" + last;
    report.m_end = attempt_end::complete;
    const microseconds delay = milliseconds(10 + m_random() % 400);
    if (runner.m_cut_next > 0)
    {
        runner.m_cut_next -= 1;
        report.m_end = attempt_end::aborted;
        report.m_body = "re:";
    }
    report_later(vm, delay, report, done, m_executions.size() - 1);
}

void world::run_service(vm_box& vm, const grant& permit,
                        const call_request& request,
                        const report_callback& done)
{
    auto& runner = m_runners.at(permit.m_runner);
    auto report = report_for(permit);
    report.m_end = attempt_end::not_sent;
    if (refused(vm, runner, report, done))
        return;
    note_execution(permit, request);
    if (++m_effects[request.m_body] > 1)
        note(promise::at_most_once, request.m_body + " ran twice");
    report.m_end = attempt_end::complete;
    report.m_status = 200;
    report.m_body = "re:" + request.m_body;
    if (runner.m_cut_next > 0)
    {
        runner.m_cut_next -= 1;
        report.m_end = attempt_end::aborted;
    }
    report_later(vm, milliseconds(5 + m_random() % 300), report, done,
                 m_executions.size() - 1);
}

void world::release(vm_box& vm, const release_memory& order)
{
    m_time.after(
        hop, [this, order, id = vm.m_id, incarnation = vm.m_incarnation] {
            auto& runner = m_runners.at(order.m_runner);
            const auto prefix = cache_prefix_of(order.m_key);
            const bool lost = runner.m_lose_release > 0;
            if (lost)
                runner.m_lose_release -= 1;
            else
                std::erase_if(runner.m_cached, [&](const std::string& entry) {
                    return entry.starts_with(prefix);
                });
            on_vm(id, incarnation, [this, order, id, lost] {
                find_vm(id)->m_core.handle(
                    release_completed{order.m_runner, order.m_key, !lost});
            });
        });
}

} // namespace pepperturn::test
