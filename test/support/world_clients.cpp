// SPDX-License-Identifier: BSL-1.0
// The callers of the test world, and what they hold the system to.
#include "support/world.hpp"

#include <algorithm>

namespace pepperturn::test {

namespace {

constexpr milliseconds operation_gap{150};
constexpr milliseconds patience{4000};
constexpr std::uint32_t max_tokens = 40;
constexpr int status_payment = 402;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;

} // namespace

class world::sink final : public call_sink
{
public:
    sink(world& around, std::size_t client, int submission,
         call_request request)
        : m_world(around), m_client(client), m_submission(submission),
          m_request(std::move(request))
    {}

    bool on_token(const std::string&) override
    {
        return true;
    }
    void on_answer(const answer& reply) override
    {
        m_world.client_answered(m_client, m_submission, m_request, reply);
    }
    [[nodiscard]] bool streams() const override
    {
        return false;
    }

private:
    world& m_world;
    std::size_t m_client;
    int m_submission;
    call_request m_request;
};

vm_box* world::pick_vm(int choice)
{
    const auto count = static_cast<int>(m_vms.size());
    for (int i = 0; i < count; ++i)
    {
        auto* vm = m_vms[(choice + i) % count].get();
        if (vm->m_alive && !vm->m_stopping)
            return vm;
    }
    return nullptr;
}

void world::client_turn(std::size_t index, int vm_choice)
{
    auto& client = m_clients[index];
    if (client.m_closed || client.m_open.size() > 2)
        return;
    // Sub-agents wait for their parent.
    const auto& program = client.m_key.m_program;
    if (program.m_program != program.m_root &&
        m_clients[index - 1].m_done.empty())
        return;
    auto* vm = pick_vm(vm_choice);
    if (vm == nullptr)
        return;
    // Some callers send the next call without waiting for the last answer.
    const bool ahead = !client.m_open.empty() && vm_choice % 4 == 3;
    client_send(index, *vm, client.m_next_seq + (ahead ? 1 : 0));
}

void world::client_send(std::size_t index, vm_box& vm, std::uint64_t seq)
{
    auto& client = m_clients[index];
    if (client.m_no_receipts && is_receipt(seq))
    {
        client.m_closed = true;
        return;
    }
    call_request request;
    request.m_id = make_call_id(vm.m_id, vm.m_incarnation, vm.m_next_call++);
    request.m_entry_vm = vm.m_id;
    request.m_session = client.m_key;
    request.m_seq = seq;
    request.m_queue_timeout = patience;
    const auto content = content_of(client.m_key, seq);
    if (is_receipt(seq))
    {
        request.m_kind = call_kind::service;
        request.m_upstream = "receipts";
        request.m_repeatable = false;
        request.m_method = "POST";
        request.m_path = "/receipts";
        request.m_body = "receipt:" + content;
    }
    else
    {
        request.m_upstream = "agent-llm";
        request.m_messages = {{"user", content}};
        request.m_max_tokens = max_tokens;
    }
    const int submission = m_next_submission++;
    client.m_open[submission] = {vm.m_id, vm.m_incarnation, request.m_id};
    on_vm(vm.m_id, vm.m_incarnation, [this, &vm, request, index, submission] {
        vm.m_entries.start(
            request, std::make_shared<sink>(*this, index, submission, request));
    });
}

void world::client_ran(session_client& client, const call_request& request,
                       const answer& reply)
{
    const auto seq = *request.m_seq;
    const auto sent = request.m_kind == call_kind::chat
                          ? request.m_messages.back().m_content
                          : request.m_body;
    if (reply.m_body != "re:" + sent)
        note(promise::whole_answer,
             "'" + sent + "' was answered '" + reply.m_body + "'");
    client.m_unknowns = 0;
    client.m_answered += 1;
    client.m_done.insert(seq);
    while (client.m_done.contains(client.m_next_seq))
        client.m_next_seq += 1;
}

void world::client_answered(std::size_t index, int submission,
                            const call_request& request, const answer& reply)
{
    auto& client = m_clients[index];
    client.m_open.erase(submission);
    if (reply.m_call != request.m_id)
        note(promise::whole_answer,
             "an answer to " + reply.m_call + " reached " + request.m_id);
    if (m_options.m_judge_stop && reply.m_outcome == outcome::unknown)
        note(promise::planned_stop,
             request.m_id + ": " + reply.m_reason + story_of(request.m_id));
    switch (reply.m_outcome)
    {
    case outcome::ran:
        client_ran(client, request, reply);
        return;
    case outcome::not_run:
        m_not_run.insert(request.m_id);
        if (reply.m_status == status_payment || reply.m_status == status_gone)
            client.m_closed = true;
        if (reply.m_status == status_conflict &&
            request.m_kind == call_kind::service &&
            *request.m_seq == client.m_next_seq)
        {
            client.m_no_receipts = true;
            client.m_closed = true;
        }
        return;
    case outcome::unknown:
        // A recorded `unknown` takes its place in the session; the caller
        // learns so by asking once more.
        client.m_unknowns += 1;
        if (request.m_kind == call_kind::service && reply.m_seq != 0 &&
            client.m_unknowns >= 2 && *request.m_seq == client.m_next_seq)
        {
            client.m_no_receipts = true;
            client.m_unknowns = 0;
            client.m_next_seq += 1;
        }
        return;
    }
}

void world::end_program(const program_key& key)
{
    auto* vm = pick_vm(0);
    if (vm == nullptr)
        return;
    for (const auto& owner : m_vms)
    {
        if (owner->m_alive && !owner->m_paused)
            on_vm(owner->m_id, owner->m_incarnation, [&owner, key] {
                owner->m_core.handle(
                    program_end_requested{{}, owner->m_id, key});
            });
    }
}

bool world::clients_busy() const
{
    return std::any_of(
        m_clients.begin(), m_clients.end(),
        [](const session_client& row) { return !row.m_open.empty(); });
}

int world::turns_answered() const
{
    int total = 0;
    for (const auto& client : m_clients)
        total += client.m_answered;
    return total;
}

int world::others_serving(std::size_t but) const
{
    int count = 0;
    for (std::size_t i = 0; i < m_vms.size(); ++i)
    {
        if (i != but && m_vms[i]->m_alive && !m_vms[i]->m_stopping)
            ++count;
    }
    return count;
}

void world::perform(const op& order)
{
    const auto vm = static_cast<std::size_t>(order.m_a) % m_vms.size();
    const auto client = static_cast<std::size_t>(order.m_a) % m_clients.size();
    auto runner = m_runners.begin();
    std::advance(runner, order.m_a % static_cast<int>(m_runners.size()));
    switch (order.m_kind)
    {
    case op_kind::turn:
        client_turn(client, order.m_b);
        break;
    case op_kind::crash:
        crash(vm);
        break;
    case op_kind::restart:
        if (!m_vms[vm]->m_alive)
            start_vm(vm);
        break;
    case op_kind::pause:
        m_vms[vm]->m_paused = m_vms[vm]->m_alive;
        break;
    case op_kind::resume:
        resume(vm);
        break;
    case op_kind::stop:
        // A planned stop is a rolling one: somebody is left to hand over to.
        if (m_options.m_judge_stop && others_serving(vm) == 0)
            break;
        on_vm(m_vms[vm]->m_id, m_vms[vm]->m_incarnation, [this, vm] {
            m_vms[vm]->m_stopping = true;
            m_vms[vm]->m_core.handle(stop_requested{});
        });
        break;
    case op_kind::store_outage:
        m_store->m_outage = true;
        break;
    case op_kind::store_back:
        m_store->m_outage = false;
        break;
    case op_kind::lose_answers:
        m_store->m_lose_answers += 1 + order.m_b % 3;
        break;
    case op_kind::late_write:
        m_store->m_late_writes += 1;
        break;
    case op_kind::cut_reply:
        runner->second.m_cut_next += 1;
        break;
    case op_kind::refuse_call:
        runner->second.m_refuse_next += 1;
        break;
    case op_kind::lose_release:
        runner->second.m_lose_release += 1;
        break;
    case op_kind::runner_leaves:
        if (runner->first != "receipts-1" && !runner->second.m_leaving_since)
            runner->second.m_leaving_since = m_time.now();
        break;
    case op_kind::end_program:
        end_program(m_clients[client].m_key.m_program);
        break;
    case op_kind::race_configs:
        race_configs(order.m_a, order.m_b);
        break;
    case op_kind::wait:
        m_time.run_for(milliseconds(order.m_b % 8 * 300));
        break;
    }
    m_time.run_for(operation_gap);
}

void world::settle()
{
    m_store->m_outage = false;
    m_store->m_lose_answers = 0;
    m_store->m_late_writes = 0;
    for (auto& [name, runner] : m_runners)
    {
        runner.m_cut_next = 0;
        runner.m_refuse_next = 0;
        runner.m_lose_release = 0;
    }
    for (std::size_t i = 0; i < m_vms.size(); ++i)
    {
        resume(i);
        if (!m_vms[i]->m_alive)
            start_vm(i);
    }
    const milliseconds step{500};
    m_time.run_for(milliseconds(3000));
    // Every session takes two more turns, over a recovered history.
    for (int round = 0; round < 12; ++round)
    {
        for (std::size_t i = 0; i < m_clients.size(); ++i)
        {
            if (m_clients[i].m_open.empty() && round % 4 < 2)
                client_turn(i, round);
        }
        m_time.run_for(step);
        if (round >= 2 && !clients_busy())
            break;
    }
    for (int round = 0; round < 20 && clients_busy(); ++round)
        m_time.run_for(step);
    for (int round = 0; round < 8; ++round)
    {
        for (const auto& client : m_clients)
        {
            const auto& key = client.m_key.m_program;
            if (key.m_program == key.m_root)
                end_program(key);
        }
        m_time.run_for(step);
    }
    check_at_end();
}

std::string world::ownership() const
{
    std::string text;
    for (const auto& vm : m_vms)
    {
        for (const auto& [id, call] : vm->m_core.state().m_calls)
            text += "\n  " + vm->m_id + " " + id + " " +
                    to_string(call.m_state) + story_of(id);
    }
    for (const auto& vm : m_vms)
    {
        for (const auto& partition : vm->m_core.state().m_partitions)
        {
            text += "\n  " + vm->m_id + " partition " +
                    std::to_string(partition.m_id) + " " +
                    to_string(partition.m_role) + " epoch " +
                    std::to_string(partition.m_epoch) + " pending " +
                    std::to_string(partition.m_pending.size());
            for (const auto& [key, row] : partition.m_programs)
                text += "\n    " + key.m_program + " live " +
                        std::to_string(row.m_live_calls) +
                        (row.m_ending ? " ending" : "") +
                        (row.m_ended ? " ended" : "") + " holders " +
                        std::to_string(row.m_holders.size());
        }
    }
    return text;
}

std::string world::stories_of(const execution& which) const
{
    std::string text;
    for (const auto& row : m_executions)
    {
        if (row.m_session == which.m_session && row.m_seq == which.m_seq &&
            row.m_call != which.m_call)
            text += "\n  and " + row.m_call + ":" + story_of(row.m_call);
    }
    return text;
}

call_id world::last_call_of(const std::string& cache_key) const
{
    call_id last;
    for (const auto& row : m_executions)
    {
        if (cache_key_of(row.m_session) == cache_key)
            last = row.m_call;
    }
    return last;
}

void world::check_at_end()
{
    for (const auto& client : m_clients)
    {
        for (const auto& [submission, where] : client.m_open)
            note(promise::whole_answer,
                 "a caller at " + where.m_vm + " never got its answer to " +
                     where.m_call + ": " +
                     find_vm(where.m_vm)->m_entries.describe(where.m_call) +
                     story_of(where.m_call));
    }
    for (const auto& row : m_executions)
    {
        if (m_not_run.contains(row.m_call))
            note(promise::not_run, row.m_call + " ran and was called not_run" +
                                       story_of(row.m_call));
    }
    for (const auto& [name, runner] : m_runners)
    {
        if (!runner.m_cached.empty())
            note(promise::memory,
                 name + " still holds " + *runner.m_cached.begin() +
                     story_of(last_call_of(*runner.m_cached.begin())) +
                     ownership());
    }
    for (const auto& vm : m_vms)
    {
        if (vm->m_core.state().m_deployment.m_revision < m_config_wins + 1)
            note(promise::config, vm->m_id + " runs an old revision");
    }
    if (m_options.m_judge_stop)
    {
        std::map<std::pair<session_key, std::uint64_t>, int> runs;
        for (const auto& row : m_executions)
        {
            if (++runs[{row.m_session, row.m_seq}] > 1)
                note(promise::planned_stop,
                     row.m_call + " was cut off and ran again" +
                         story_of(row.m_call) + stories_of(row));
        }
    }
}

} // namespace pepperturn::test
