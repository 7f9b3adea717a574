// SPDX-License-Identifier: BSL-1.0
/// \file
/// A few VMs of real code (decision core, entry role, log) with fakes at the
/// edges: store, upstreams, the network between VMs, callers. A history of
/// operations drives them; every broken promise is noted.
#pragma once

#include "pepperturn/core/scheduler.hpp"
#include "pepperturn/entry/entry_table.hpp"
#include "pepperturn/store/log_store.hpp"
#include "support/fake_store.hpp"

#include <memory>

namespace pepperturn::test {

enum class op_kind : std::uint8_t
{
    turn,
    crash,
    restart,
    pause,
    resume,
    stop,
    store_outage,
    store_back,
    lose_answers,
    late_write,
    cut_reply,
    refuse_call,
    lose_release,
    runner_leaves,
    end_program,
    race_configs,
    wait
};

struct op
{
    op_kind m_kind = op_kind::wait;
    int m_a = 0;
    int m_b = 0;
};

// NOLINTNEXTLINE(readability-identifier-naming): RapidCheck's name
void showValue(const op& value, std::ostream& out);

/// The ten promises, as tags of what was broken.
enum class promise : std::uint8_t
{
    order,
    history,
    budget,
    memory,
    whole_answer,
    not_run,
    at_most_once,
    leaving,
    planned_stop,
    config
};

struct world_options
{
    std::uint32_t m_partitions = 2;
    int m_vms = 3;
    int m_programs = 2;
    int m_sessions = 2;
    std::uint64_t m_budget = 100000;
    std::uint64_t m_snapshot_entries = 6;
    /// A planned stop is only judged when nothing else fails.
    bool m_judge_stop = false;
};

/// What a caller says at one position of a session; every third call is an
/// unrepeatable one.
[[nodiscard]] std::string content_of(const session_key& key, std::uint64_t seq);
[[nodiscard]] bool is_receipt(std::uint64_t seq);

class world;

/// One VM of real code; its ports are the world's fakes.
class vm_box final : public entry_port
{
public:
    vm_box(world& around, std::string id, std::uint64_t incarnation);

    [[nodiscard]] instant now() const override;
    [[nodiscard]] std::string
    likely_owner(const program_key& key) const override;
    [[nodiscard]] bool alive(const std::string& vm) const override;
    void submit_to(const std::string& vm, const call_submitted& submitted,
                   decision_callback done) override;
    void send(const grant& permit, const call_request& request,
              std::function<void(const std::string&)> on_token,
              report_callback done) override;
    void cancel_sent(const grant& permit) override;

    void drain();
    void execute(const command& order);

    world& m_world;
    std::string m_id;
    std::uint64_t m_incarnation;
    bool m_alive = true;
    bool m_paused = false;
    bool m_stopping = false;
    bool m_draining = false;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_config_seen = 0;
    std::vector<std::function<void()>> m_inbox;
    std::map<call_id, std::function<void(const decision&)>> m_waiters;
    scheduler m_core;
    log_store m_logs;
    entry_table m_entries;
};

/// A runner that does what it is told and remembers it.
struct runner_box
{
    std::optional<instant> m_leaving_since;
    int m_cut_next = 0;
    int m_refuse_next = 0;
    int m_lose_release = 0;
    std::set<std::string> m_cached;
};

struct execution
{
    instant m_at{};
    std::optional<instant> m_completed;
    call_id m_call;
    std::string m_runner;
    session_key m_session;
    std::uint64_t m_seq = 0;
};

struct open_submission
{
    std::string m_vm;
    std::uint64_t m_incarnation = 0;
    call_id m_call;
};

struct session_client
{
    session_key m_key;
    std::uint64_t m_next_seq = 1;
    /// Positions that ran.
    std::set<std::uint64_t> m_done;
    /// Open submissions of the current turn.
    std::map<int, open_submission> m_open;
    bool m_closed = false;
    bool m_no_receipts = false;
    int m_unknowns = 0;
    int m_answered = 0;
};

class world
{
public:
    explicit world(const world_options& options);

    void perform(const op& order);
    /// Heals everything, lets callers finish, ends every program.
    void settle();

    [[nodiscard]] std::string broken(promise which) const;
    [[nodiscard]] int turns_answered() const;
    [[nodiscard]] const core_counters& counters(int vm) const
    {
        return m_vms[vm]->m_core.state().m_counters;
    }

private:
    friend class vm_box;

    struct open_rpc
    {
        std::string m_from;
        std::uint64_t m_from_incarnation = 0;
        std::string m_to;
        std::uint64_t m_to_incarnation = 0;
        decision_callback m_done;
    };

    void note(promise which, const std::string& what);
    /// What every VM remembers of a call, for the failure message.
    [[nodiscard]] std::string story_of(const call_id& call) const;
    vm_box* find_vm(const std::string& id);
    void on_vm(const std::string& id, std::uint64_t incarnation,
               const std::function<void()>& work);
    void start_vm(std::size_t index);
    void break_connections(const vm_box& vm);
    void crash(std::size_t index);
    void resume(std::size_t index);
    void beat();
    void tick();
    void give_config(vm_box& vm);
    void race_configs(int a, int b);
    [[nodiscard]] deployment make_deployment() const;

    void submit_rpc(vm_box& from, const std::string& to,
                    const call_submitted& submitted, decision_callback done);
    void close_rpc(std::uint64_t id, const std::optional<decision>& made);
    void note_execution(const grant& permit, const call_request& request);
    /// True if the runner was told to refuse its next call, which it did.
    bool refused(const vm_box& vm, runner_box& runner, call_report report,
                 const report_callback& done);
    void run_chat(vm_box& vm, const grant& permit, const call_request& request,
                  const report_callback& done);
    void run_service(vm_box& vm, const grant& permit,
                     const call_request& request, const report_callback& done);
    void report_later(vm_box& vm, microseconds delay, call_report report,
                      const report_callback& done, std::size_t execution_index);
    void check_before_send(const grant& permit, const call_request& request);
    void release(vm_box& vm, const release_memory& order);

    void client_turn(std::size_t index, int vm_choice);
    void client_send(std::size_t index, vm_box& vm, std::uint64_t seq);
    void client_answered(std::size_t index, int submission,
                         const call_request& request, const answer& reply);
    void client_ran(session_client& client, const call_request& request,
                    const answer& reply);
    void end_program(const program_key& key);
    [[nodiscard]] vm_box* pick_vm(int choice);
    [[nodiscard]] int others_serving(std::size_t but) const;
    [[nodiscard]] bool clients_busy() const;
    /// Who owns what, for the failure message.
    [[nodiscard]] std::string ownership() const;
    /// Stories of the other calls that ran at the same position.
    [[nodiscard]] std::string stories_of(const execution& which) const;
    [[nodiscard]] call_id last_call_of(const std::string& cache_key) const;
    void check_at_end();

    class sink;

    world_options m_options;
    timeline m_time;
    std::shared_ptr<fake_store> m_store;
    config_store m_configs;
    std::vector<std::unique_ptr<vm_box>> m_vms;
    std::vector<std::unique_ptr<vm_box>> m_graveyard;
    std::map<std::string, runner_box> m_runners;
    std::vector<execution> m_executions;
    std::map<std::uint64_t, open_rpc> m_rpcs;
    std::uint64_t m_next_rpc = 1;
    std::uint64_t m_next_incarnation = 1;
    std::vector<session_client> m_clients;
    int m_next_submission = 1;
    std::set<call_id> m_not_run;
    std::map<program_key, std::uint64_t> m_spent;
    std::map<std::string, int> m_effects;
    std::set<program_key> m_ended;
    std::map<std::uint64_t, std::string> m_config_winner;
    std::uint64_t m_config_wins = 0;
    std::mt19937_64 m_random{7};
    std::map<promise, std::string> m_broken;
    bool m_stop_judged_clean = true;
};

} // namespace pepperturn::test
