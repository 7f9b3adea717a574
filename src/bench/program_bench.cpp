// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/bench/program_bench.hpp"

#include "pepperturn/base/timeline.hpp"
#include "pepperturn/core/scheduler.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>

namespace pepperturn::bench {

namespace {

constexpr milliseconds store_latency{3};
constexpr milliseconds service_latency{80};
constexpr milliseconds load_period{250};
constexpr milliseconds event_lag{500};
constexpr milliseconds late_lag{5000};
constexpr milliseconds tick_period{20};
constexpr double lost_event_share = 0.02;
constexpr std::uint32_t partitions = 4;
constexpr double slow_factor = 3;
constexpr int service_every = 3;

struct turn_plan
{
    bool m_service = false;
    std::uint32_t m_prompt = 0;
    std::uint32_t m_output = 0;
    double m_pause_s = 0;
    /// Turns of a sub-agent that must end before this turn.
    std::vector<turn_plan> m_sub;
};

struct program_plan
{
    bool m_quiet = false;
    std::vector<turn_plan> m_turns;
};

double lognormal(std::mt19937_64& random, double median, double spread)
{
    return std::lognormal_distribution<double>(std::log(median),
                                               spread)(random);
}

std::uint32_t tokens(std::mt19937_64& random, double median)
{
    constexpr double spread = 0.5;
    return std::max(
        1U, static_cast<std::uint32_t>(lognormal(random, median, spread)));
}

turn_plan plan_turn(std::mt19937_64& random, const workload& shape,
                    std::size_t index)
{
    turn_plan turn;
    turn.m_service = index % service_every == service_every - 1;
    turn.m_prompt = tokens(random, index == 0 ? shape.m_first_prompt_tokens
                                              : shape.m_turn_prompt_tokens);
    turn.m_output = tokens(random, shape.m_output_tokens);
    turn.m_pause_s = lognormal(random, shape.m_pause_s, 0.8);
    return turn;
}

program_plan plan_program(std::mt19937_64& random, const workload& shape)
{
    constexpr std::size_t longest = 68;
    std::uniform_real_distribution<double> uniform(0, 1);
    program_plan plan;
    plan.m_quiet = uniform(random) < shape.m_quiet_share;
    const double median =
        plan.m_quiet ? shape.m_quiet_turns : shape.m_long_turns;
    const auto count =
        std::clamp<std::size_t>(static_cast<std::size_t>(lognormal(
                                    random, median, shape.m_long_spread)),
                                1, longest);
    for (std::size_t i = 0; i < count; ++i)
    {
        auto turn = plan_turn(random, shape, i);
        const bool has_sub = !plan.m_quiet && i > 0 && !turn.m_service &&
                             uniform(random) < shape.m_sub_agent_share;
        if (has_sub)
        {
            turn.m_sub.push_back(plan_turn(random, shape, 0));
            turn.m_sub.push_back(plan_turn(random, shape, 1));
        }
        // A quiet job has nobody between its turns.
        if (plan.m_quiet)
            turn.m_pause_s /= 10;
        plan.m_turns.push_back(std::move(turn));
    }
    return plan;
}

struct demand
{
    double m_slot_s = 0;
    double m_prefill_s = 0;
};

void add_demand(const turn_plan& turn, const workload& shape, demand& out)
{
    for (const auto& sub : turn.m_sub)
        add_demand(sub, shape, out);
    if (turn.m_service)
        return;
    const double prefill = turn.m_prompt / shape.m_engine.m_prefill_rate;
    out.m_prefill_s += prefill;
    out.m_slot_s += prefill + turn.m_output / shape.m_engine.m_decode_rate;
}

/// Programs a second at which the busier of slots and prefill is used to
/// \p load, if nothing were ever computed twice.
double arrival_rate(const workload& shape, double load)
{
    constexpr int samples = 4000;
    std::mt19937_64 random(1);
    demand total;
    for (int i = 0; i < samples; ++i)
    {
        for (const auto& turn : plan_program(random, shape).m_turns)
            add_demand(turn, shape, total);
    }
    const double slots =
        static_cast<double>(shape.m_chat_runners) * shape.m_engine.m_slots;
    const double by_slots = slots * samples / total.m_slot_s;
    const double by_prefill =
        shape.m_chat_runners * samples / total.m_prefill_s;
    return load * std::min(by_slots, by_prefill);
}

double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[at];
}

struct engine_box
{
    std::unique_ptr<standin::engine_model> m_model;
    std::string m_name;
    milliseconds m_delay{0};
    bool m_dead = false;
    std::optional<instant> m_wake;
    std::map<std::string, grant> m_grants;
};

/// A chain of calls: a program, or a sub-agent of one.
struct chain
{
    program_key m_key;
    bool m_quiet = false;
    std::vector<turn_plan> m_turns;
    std::size_t m_next = 0;
    bool m_sub_done = false;
    double m_latency = 0;
    instant m_sent{};
    /// The chain that waits for this one; npos: none.
    std::size_t m_parent = std::string::npos;
};

class run
{
public:
    run(const workload& shape, const contender& policy, double load,
        fault_kind fault, std::uint64_t seed, seconds duration);

    bench_row go();

private:
    void setup(const contender& policy);
    void arrive();
    void start_turn(std::size_t index);
    void send_call(std::size_t index, const turn_plan& turn);
    void turn_done(std::size_t index, const answer& reply);
    void chain_done(std::size_t index);
    void drain();
    void execute(const command& order);
    void use_grant(const grant& permit);
    void use_service_grant(const grant& permit);
    void wake_engine(std::size_t index);
    void engine_events(std::size_t index);
    void report(const grant& permit, attempt_end end, milliseconds delay,
                std::uint32_t cached);
    void kill_runner();
    void report_loads();
    void tick();

    const workload& m_shape;
    double m_rate;
    fault_kind m_fault;
    seconds m_duration;
    /// Arrivals are the same whatever the policy does.
    std::mt19937_64 m_random;
    std::mt19937_64 m_event_random{5};
    timeline m_time;
    scheduler m_core;
    std::vector<engine_box> m_engines;
    std::map<std::string, std::size_t> m_by_name;
    std::vector<chain> m_chains;
    std::map<call_id, std::size_t> m_calls;
    std::map<call_id, std::uint32_t> m_outputs;
    std::uint64_t m_next_call = 1;
    std::size_t m_open = 0;
    bench_row m_row;
    std::vector<double> m_latencies;
    std::vector<double> m_first_tokens;
    bool m_draining = false;
};

run::run(const workload& shape, const contender& policy, double load,
         fault_kind fault, std::uint64_t seed, seconds duration)
    : m_shape(shape), m_rate(arrival_rate(shape, load)), m_fault(fault),
      m_duration(duration), m_random(seed),
      m_core("bench", 1, partitions, m_time.time(), seed)
{
    m_row.m_deployment = shape.m_name;
    m_row.m_policy = policy.m_name;
    m_row.m_load = load;
    m_row.m_fault = fault;
    m_row.m_seed = seed;
    setup(policy);
}

void run::setup(const contender& policy)
{
    deployment config;
    config.m_revision = 1;
    config.m_limits = policy.m_limits;
    config.m_limits.m_snapshot_entries = UINT64_MAX;
    config.m_limits.m_writes_per_second = 1e6;
    config.m_limits.m_write_burst = 1e6;
    config.m_limits.m_max_turns = 1000;
    config.m_upstreams[m_shape.m_chat_upstream] = {
        m_shape.m_chat_upstream, call_kind::chat, true, milliseconds{600000}};
    config.m_upstreams[m_shape.m_service_upstream] = {
        m_shape.m_service_upstream, call_kind::service, false,
        milliseconds{60000}};
    workspace_info workspace;
    workspace.m_name = "bench";
    workspace.m_budget_tokens = UINT64_MAX / 4;
    workspace.m_max_active = 1000000;
    workspace.m_max_queued = 1000000;
    config.m_workspaces["bench"] = workspace;
    for (std::uint32_t i = 0; i < m_shape.m_chat_runners; ++i)
    {
        engine_box box;
        box.m_name = "chat-" + std::to_string(i);
        const auto zone = i % m_shape.m_zones.size();
        box.m_delay = milliseconds(1) +
                      (zone == 0 ? milliseconds(0) : m_shape.m_zone_delay);
        runner_info info;
        info.m_name = box.m_name;
        info.m_upstream = m_shape.m_chat_upstream;
        info.m_availability_zone = m_shape.m_zones[zone];
        info.m_slots = m_shape.m_engine.m_slots;
        info.m_prefill_rate = m_shape.m_engine.m_prefill_rate;
        info.m_decode_rate = m_shape.m_engine.m_decode_rate;
        info.m_cache_tokens = m_shape.m_engine.m_cache_tokens;
        config.m_runners[info.m_name] = info;
        auto limits = m_shape.m_engine;
        if (m_fault == fault_kind::zone_slow && zone == 0)
        {
            limits.m_prefill_rate /= slow_factor;
            limits.m_decode_rate /= slow_factor;
        }
        box.m_model = std::make_unique<standin::engine_model>(limits);
        m_by_name[box.m_name] = m_engines.size();
        m_engines.push_back(std::move(box));
    }
    for (std::uint32_t i = 0; i < m_shape.m_service_runners; ++i)
    {
        runner_info info;
        info.m_name = "service-" + std::to_string(i);
        info.m_upstream = m_shape.m_service_upstream;
        info.m_slots = 64;
        config.m_runners[info.m_name] = info;
    }
    auto rules = default_policy();
    if (policy.m_classes)
        rules.m_priority = [](const policy_facts& facts) {
            return facts.m_program.starts_with("sync") ? 1 : 0;
        };
    m_core.set_policy(std::move(rules));
    m_core.handle(deployment_changed{config});
    m_core.handle(vms_listed{{{"bench", "", "", false}}, {}});
}

void run::tick()
{
    drain();
    m_time.after(tick_period, [this] { tick(); });
}

void run::drain()
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

void run::execute(const command& order)
{
    if (const auto* create = std::get_if<create_entries>(&order))
    {
        m_time.after(store_latency, [this, entries = create->m_entries] {
            for (const auto& entry : entries)
                m_core.handle(entry_write_completed{entry.m_partition,
                                                    entry.m_seq,
                                                    create_status::created,
                                                    {}});
            drain();
        });
        return;
    }
    if (const auto* read = std::get_if<read_log>(&order))
    {
        m_time.after(store_latency, [this, partition = read->m_partition] {
            m_core.handle(log_read_completed{partition, log_image{}});
            drain();
        });
        return;
    }
    if (const auto* memory = std::get_if<release_memory>(&order))
    {
        const auto found = m_by_name.find(memory->m_runner);
        if (found != m_by_name.end())
            static_cast<void>(m_engines[found->second].m_model->release(
                cache_prefix_of(memory->m_key)));
        m_time.after(milliseconds(2),
                     [this, runner = memory->m_runner, key = memory->m_key] {
                         m_core.handle(release_completed{runner, key, true});
                     });
        return;
    }
    const auto* decided = std::get_if<send_decision>(&order);
    if (decided == nullptr)
        return;
    if (const auto* permit = std::get_if<grant>(&decided->m_decision))
    {
        if (m_by_name.contains(permit->m_runner))
            use_grant(*permit);
        else
            use_service_grant(*permit);
        return;
    }
    if (const auto* reply = std::get_if<answer>(&decided->m_decision))
    {
        const auto found = m_calls.find(reply->m_call);
        if (found == m_calls.end())
            return;
        const auto index = found->second;
        m_calls.erase(found);
        turn_done(index, *reply);
    }
}

void run::use_service_grant(const grant& permit)
{
    auto done = report_for(permit);
    done.m_end = attempt_end::complete;
    done.m_status = 200;
    m_time.after(service_latency, [this, done] {
        m_core.handle(call_reported{done});
        drain();
    });
}

void run::use_grant(const grant& permit)
{
    const auto index = m_by_name.at(permit.m_runner);
    auto& box = m_engines[index];
    if (box.m_dead)
    {
        report(permit, attempt_end::not_sent, milliseconds(1), 0);
        return;
    }
    m_time.after(box.m_delay, [this, index, permit] {
        auto& target = m_engines[index];
        if (!m_outputs.contains(permit.m_call))
            return;
        if (target.m_dead)
        {
            report(permit, attempt_end::aborted, milliseconds(1), 0);
            return;
        }
        standin::engine_request request;
        request.m_id = permit.m_call + "-" + std::to_string(permit.m_attempt);
        request.m_cache_key = permit.m_cache_key;
        for (const auto& part : permit.m_prompt)
            request.m_prompt_tokens += part.m_content.size();
        request.m_output_tokens = m_outputs.at(permit.m_call);
        request.m_priority = permit.m_priority;
        target.m_grants[request.m_id] = permit;
        target.m_model->submit(request, m_time.now());
        wake_engine(index);
    });
}

void run::wake_engine(std::size_t index)
{
    auto& box = m_engines[index];
    const auto next = box.m_model->next_event();
    if (!next || (box.m_wake && *box.m_wake <= *next))
        return;
    box.m_wake = next;
    const auto delay = std::max(microseconds{0}, *next - m_time.now());
    m_time.after(delay, [this, index, at = *next] {
        auto& target = m_engines[index];
        if (!target.m_wake || *target.m_wake != at)
            return;
        target.m_wake.reset();
        if (!target.m_dead)
            engine_events(index);
    });
}

void run::engine_events(std::size_t index)
{
    auto& box = m_engines[index];
    for (const auto& event : box.m_model->advance(m_time.now()))
    {
        if (event.m_kind == standin::engine_event_kind::evicted)
        {
            const bool lost = std::uniform_real_distribution<double>(0, 1)(
                                  m_event_random) < lost_event_share;
            m_time.after(event_lag,
                         [this, lost, key = event.m_id, runner = box.m_name] {
                             if (lost)
                                 m_core.handle(cache_gap{runner, false});
                             else
                                 m_core.handle(cache_evicted{runner, key});
                         });
            continue;
        }
        const auto found = box.m_grants.find(event.m_id);
        if (found == box.m_grants.end())
            continue;
        if (event.m_kind == standin::engine_event_kind::first_token)
        {
            const auto call = m_calls.find(found->second.m_call);
            if (call == m_calls.end())
                continue;
            const auto& row = m_chains[call->second];
            const double waited = to_seconds(m_time.now() - row.m_sent);
            m_first_tokens.push_back(waited);
            if (row.m_quiet)
                m_row.m_quiet_worst_wait =
                    std::max(m_row.m_quiet_worst_wait, waited);
            continue;
        }
        const auto permit = found->second;
        box.m_grants.erase(found);
        report(permit, attempt_end::complete, box.m_delay,
               event.m_cached_tokens);
    }
    wake_engine(index);
}

void run::report(const grant& permit, attempt_end end, milliseconds delay,
                 std::uint32_t cached)
{
    // Its caller may have had its answer already.
    if (!m_outputs.contains(permit.m_call))
        return;
    auto done = report_for(permit);
    done.m_end = end;
    done.m_status = 200;
    token_usage usage{0, cached, m_outputs.at(permit.m_call)};
    for (const auto& part : permit.m_prompt)
        usage.m_prompt_tokens += part.m_content.size();
    done.m_usage = usage;
    if (end == attempt_end::complete)
        done.m_body.assign(usage.m_output_tokens, 'y');
    m_time.after(delay, [this, done = std::move(done)] {
        m_core.handle(call_reported{done});
        drain();
    });
}

void run::kill_runner()
{
    auto& box = m_engines.front();
    box.m_dead = true;
    const auto lost = std::move(box.m_grants);
    box.m_grants.clear();
    for (const auto& [id, permit] : lost)
        report(permit, attempt_end::aborted, milliseconds(1), 0);
}

void run::report_loads()
{
    const auto lag =
        m_fault == fault_kind::late_reports ? late_lag : load_period;
    for (const auto& box : m_engines)
    {
        load_reported load;
        load.m_runner = box.m_name;
        load.m_reachable = !box.m_dead;
        const auto now = box.m_model->load();
        load.m_running = now.m_running;
        load.m_queued = now.m_queued;
        load.m_queued_tokens = now.m_queued_tokens;
        load.m_age = lag;
        m_time.after(lag, [this, load] { m_core.handle(load); });
    }
    m_time.after(load_period, [this] { report_loads(); });
}

void run::arrive()
{
    if (m_time.now().time_since_epoch() >= m_duration)
        return;
    auto plan = plan_program(m_random, m_shape);
    const auto number = std::to_string(m_chains.size());
    const auto name = (plan.m_quiet ? "sync-" : "dispute-") + number;
    chain row;
    row.m_key = {"bench", name, name};
    row.m_quiet = plan.m_quiet;
    row.m_turns = std::move(plan.m_turns);
    m_chains.push_back(std::move(row));
    m_open += 1;
    m_row.m_programs_begun += 1;
    start_turn(m_chains.size() - 1);
    const double gap = std::exponential_distribution<double>(m_rate)(m_random);
    m_time.after(from_seconds(gap), [this] { arrive(); });
}

void run::start_turn(std::size_t index)
{
    auto& row = m_chains[index];
    const auto turn = row.m_turns[row.m_next];
    if (!turn.m_sub.empty() && !row.m_sub_done)
    {
        chain sub;
        sub.m_key = row.m_key;
        sub.m_key.m_program += "-sub" + std::to_string(row.m_next);
        sub.m_quiet = row.m_quiet;
        sub.m_turns = turn.m_sub;
        sub.m_parent = index;
        m_chains.push_back(std::move(sub));
        start_turn(m_chains.size() - 1);
        return;
    }
    send_call(index, turn);
}

void run::send_call(std::size_t index, const turn_plan& turn)
{
    auto& row = m_chains[index];
    call_request request;
    request.m_id = make_call_id("bench", 1, m_next_call++);
    request.m_entry_vm = "bench";
    request.m_session = {row.m_key, "main"};
    request.m_queue_timeout = milliseconds{24LL * 3600 * 1000};
    if (turn.m_service)
    {
        request.m_kind = call_kind::service;
        request.m_upstream = m_shape.m_service_upstream;
        request.m_repeatable = false;
        request.m_body = request.m_id;
    }
    else
    {
        request.m_upstream = m_shape.m_chat_upstream;
        request.m_messages = {{"user", std::string(turn.m_prompt, 'x')}};
        request.m_max_tokens = 4 * turn.m_output;
    }
    m_outputs[request.m_id] = turn.m_output;
    m_calls[request.m_id] = index;
    row.m_sent = m_time.now();
    m_core.handle(call_submitted{request, {}});
    if (!m_draining)
        drain();
}

void run::turn_done(std::size_t index, const answer& reply)
{
    auto& row = m_chains[index];
    const double took = to_seconds(m_time.now() - row.m_sent);
    row.m_latency += took;
    if (row.m_parent != std::string::npos)
        m_chains[row.m_parent].m_latency += took;
    m_outputs.erase(reply.m_call);
    // A call that did not run is asked again, as a caller would.
    if (reply.m_outcome == outcome::ran)
    {
        row.m_next += 1;
        row.m_sub_done = false;
    }
    if (row.m_next == row.m_turns.size())
    {
        chain_done(index);
        return;
    }
    const auto pause = from_seconds(row.m_turns[row.m_next - 1].m_pause_s);
    m_time.after(pause, [this, index] { start_turn(index); });
}

void run::chain_done(std::size_t index)
{
    auto& row = m_chains[index];
    if (row.m_parent != std::string::npos)
    {
        m_chains[row.m_parent].m_sub_done = true;
        const auto parent = row.m_parent;
        m_time.after(milliseconds(1), [this, parent] { start_turn(parent); });
        return;
    }
    m_latencies.push_back(row.m_latency);
    m_row.m_programs_ended += 1;
    m_open -= 1;
    m_core.handle(program_end_requested{{}, "bench", row.m_key});
}

bench_row run::go()
{
    tick();
    report_loads();
    // The core claims its partitions first.
    m_time.run_for(milliseconds(1500));
    arrive();
    if (m_fault == fault_kind::runner_dies)
        m_time.after(m_duration / 2, [this] { kill_runner(); });
    const int limit = 6;
    for (int i = 0; i < limit && (i == 0 || m_open > 0); ++i)
        m_time.run_for(m_duration);
    m_row.m_latency_p50 = percentile(m_latencies, 0.50);
    m_row.m_latency_p95 = percentile(m_latencies, 0.95);
    m_row.m_latency_p99 = percentile(m_latencies, 0.99);
    m_row.m_first_token_p95 = percentile(m_first_tokens, 0.95);
    const auto& counters = m_core.state().m_counters;
    m_row.m_prompt_tokens = counters.m_prompt_tokens;
    m_row.m_wasted_tokens = counters.m_wasted_tokens;
    return m_row;
}

} // namespace

const char* to_string(fault_kind value)
{
    constexpr std::array names{"none", "runner_dies", "zone_slow",
                               "late_reports"};
    return names.at(static_cast<std::size_t>(value));
}

workload moravia()
{
    workload out;
    out.m_name = "moravia";
    out.m_chat_upstream = "agent-llm";
    out.m_service_upstream = "receipt-app";
    out.m_zones = {"brno-a", "brno-b", "olomouc"};
    out.m_zone_delay = milliseconds{2};
    out.m_engine = {16, 8000, 40, 400000};
    return out;
}

workload northwest()
{
    auto out = moravia();
    out.m_name = "northwest";
    out.m_chat_upstream = "maestro";
    out.m_service_upstream = "podium";
    out.m_chat_runners = 9;
    out.m_service_runners = 20;
    out.m_zones = {"pnw-a", "pnw-b", "pnw-c", "pnw-d"};
    out.m_zone_delay = milliseconds{1};
    out.m_long_turns = 10;
    out.m_quiet_share = 0.25;
    out.m_pause_s = 12;
    out.m_sub_agent_share = 0.25;
    return out;
}

std::vector<contender> all_contenders()
{
    constexpr std::uint32_t unbounded = 1000000;
    std::vector<contender> out;
    const auto baseline = [&out](const char* name, routing_rule rule) {
        contender entry;
        entry.m_name = name;
        entry.m_limits.m_routing = rule;
        entry.m_limits.m_ordering = ordering_rule::fcfs;
        entry.m_limits.m_runner_queue = unbounded;
        out.push_back(entry);
    };
    baseline("round_robin_fcfs", routing_rule::round_robin);
    baseline("least_loaded_fcfs", routing_rule::least_loaded);
    baseline("session_sticky_fcfs", routing_rule::session_sticky);
    contender ours;
    ours.m_name = "pepperturn";
    ours.m_classes = true;
    out.push_back(ours);
    return out;
}

bench_row run_programs(const workload& shape, const contender& policy,
                       double load, fault_kind fault, std::uint64_t seed,
                       seconds duration)
{
    return run(shape, policy, load, fault, seed, duration).go();
}

} // namespace pepperturn::bench
