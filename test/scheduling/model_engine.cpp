// SPDX-License-Identifier: BSL-1.0
#include "scheduling/model_engine.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn::test {

namespace {

/// Parts that programs share are longer than this.
constexpr std::uint32_t long_part_tokens = 10'000;

} // namespace

double draw(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11) * 0x1p-53;
}

model_engine::model_engine(const engine_model_config& config, double speed,
                           std::uint64_t seed)
    : m_config(config), m_speed(speed), m_random(seed)
{
    m_noisy = draw(m_random) >= config.m_noise_share;
}

void model_engine::add(engine_work work)
{
    m_queue.push_back(std::move(work));
}

void model_engine::cancel(const std::function<bool(std::uint64_t)>& is_gone)
{
    std::erase_if(m_running, [&is_gone](const running& run) {
        return is_gone(run.m_call);
    });
    std::erase_if(m_queue, [&is_gone](const engine_work& work) {
        return is_gone(work.m_call);
    });
}

void model_engine::change_noise(int now)
{
    if (m_config.m_noise_share <= 0 || now < m_noise_until)
        return;
    m_noisy = !m_noisy;
    const double quiet = (1 - m_config.m_noise_share) / m_config.m_noise_share;
    const double mean = m_config.m_noise_ms * (m_noisy ? 1 : quiet);
    m_noise_until =
        now + 1 + static_cast<int>(-mean * std::log(1 - draw(m_random)));
}

double model_engine::update_cache(const std::vector<prompt_part>& parts)
{
    double uncached = 0;
    bool cached = true;
    for (const auto& part : parts)
    {
        const auto row = std::find_if(m_cache.begin(), m_cache.end(),
                                      [&part](const prompt_part& each) {
                                          return each.m_id == part.m_id;
                                      });
        const double cached_tokens =
            cached && row != m_cache.end() ? row->m_tokens : 0;
        uncached += std::max(part.m_tokens - cached_tokens, 0.0);
        if (cached_tokens == 0 && part.m_tokens >= long_part_tokens)
            m_long_part_tokens_prefilled += part.m_tokens;
        cached = cached && cached_tokens >= part.m_tokens;
        if (row != m_cache.end())
            m_cache.erase(row);
    }
    m_cache.insert(m_cache.end(), parts.rbegin(), parts.rend());
    std::uint64_t sum = 0;
    for (const auto& part : m_cache)
        sum += part.m_tokens;
    while (sum > m_config.m_token_capacity)
    {
        sum -= m_cache.front().m_tokens;
        m_cache.erase(m_cache.begin());
    }
    return uncached;
}

void model_engine::fill_slots()
{
    while (!m_queue.empty() && m_running.size() < m_config.m_slots)
    {
        const auto work = std::move(m_queue.front());
        m_queue.pop_front();
        double context = 0;
        for (const auto& part : work.m_parts)
            context += part.m_tokens;
        m_running.push_back(
            {.m_call = work.m_call,
             .m_prefill_tokens_left = update_cache(work.m_parts),
             .m_output_tokens_left = 1.0 * work.m_tokens,
             .m_context = context});
    }
}

std::vector<engine_end> model_engine::run(int now)
{
    change_noise(now);
    fill_slots();
    std::vector<engine_end> ended;
    if (m_running.empty())
        return ended;
    const bool noisy = m_noisy && m_config.m_noise_share > 0;
    double left_ms =
        m_speed / m_slowdown / (noisy ? m_config.m_noise_factor : 1);
    double context = 0;
    for (auto& run : m_running)
    {
        const double prefilled =
            std::min(run.m_prefill_tokens_left,
                     left_ms * m_config.m_prefill_tokens_per_ms);
        run.m_prefill_tokens_left -= prefilled;
        left_ms -= prefilled / m_config.m_prefill_tokens_per_ms;
        context += run.m_context;
    }
    const auto concurrent = static_cast<double>(m_running.size() - 1);
    const double tokens = std::max(left_ms, 0.0) / m_config.m_token_ms /
                          (1 + m_config.m_batch_token_share * context +
                           m_config.m_concurrency_share * concurrent);
    for (auto& run : m_running)
    {
        if (run.m_prefill_tokens_left > 0)
            continue;
        if (run.m_first_byte_at < 0)
            run.m_first_byte_at = now;
        run.m_output_tokens_left -= tokens;
        if (run.m_output_tokens_left <= 0)
            ended.push_back({run.m_call, run.m_first_byte_at});
    }
    std::erase_if(m_running, [](const running& run) {
        return run.m_prefill_tokens_left <= 0 && run.m_output_tokens_left <= 0;
    });
    return ended;
}

} // namespace pepperturn::test
