// SPDX-License-Identifier: BSL-1.0
/// \file
/// A simulated engine on a virtual clock, in steps of a millisecond. It
/// prefills one prompt after the other, stalls its calls meanwhile, slows down
/// with the tokens in the batch, caches parts by least recent use, and is
/// temporarily slower at random.
#pragma once

#include "pepperturn/scheduling/prompt_location.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace pepperturn::test {

struct engine_model_config
{
    std::uint32_t m_slots = 12;
    /// Actual cache capacity, and the one it reports.
    std::uint64_t m_token_capacity = 290'745;
    std::uint64_t m_reported_capacity = 290'745;
    double m_token_ms = 1.06;
    double m_prefill_tokens_per_ms = 257;
    /// Relative slowdown by each token in the batch, and by each concurrent
    /// call.
    double m_batch_token_share = 0.33 / (12 * 15'000);
    double m_concurrency_share = 0;
    /// Share of the time in which an engine is slower, by which factor, and
    /// the mean duration in milliseconds.
    double m_noise_share = 0.15;
    double m_noise_factor = 2.5;
    double m_noise_ms = 600;
};

/// Uniform in [0, 1), the same with each standard library.
[[nodiscard]] double draw(std::mt19937_64& random);

/// A call sent to an engine.
struct engine_work
{
    std::uint64_t m_call = 0;
    std::vector<prompt_part> m_parts;
    std::uint32_t m_tokens = 0;
};

struct engine_end
{
    std::uint64_t m_call = 0;
    int m_first_byte_at = 0;
};

class model_engine
{
public:
    /// \param speed factor on the speed of the engine
    model_engine(const engine_model_config& config, double speed,
                 std::uint64_t seed);

    /// Sets the factor by which the engine is slower; a very large one: it
    /// hangs.
    void set_slowdown(double factor)
    {
        m_slowdown = factor;
    }
    void add(engine_work work);
    /// Removes calls that their caller has abandoned.
    void cancel(const std::function<bool(std::uint64_t)>& is_abandoned);
    /// Advances by one millisecond.
    [[nodiscard]] std::vector<engine_end> run(int now);

    [[nodiscard]] std::size_t calls() const
    {
        return m_running.size() + m_queue.size();
    }
    /// Prefilled tokens of long (shared) parts.
    [[nodiscard]] std::uint64_t long_part_tokens_prefilled() const
    {
        return m_long_part_tokens_prefilled;
    }

private:
    struct running
    {
        std::uint64_t m_call = 0;
        double m_prefill_tokens_left = 0;
        double m_output_tokens_left = 0;
        double m_context = 0;
        int m_first_byte_at = -1;
    };

    void change_noise(int now);
    [[nodiscard]] double update_cache(const std::vector<prompt_part>& parts);
    void fill_slots();

    engine_model_config m_config;
    double m_speed = 1;
    double m_slowdown = 1;
    std::mt19937_64 m_random;
    bool m_noisy = false;
    int m_noise_until = 0;
    std::vector<running> m_running;
    std::deque<engine_work> m_queue;
    /// The most recently used part is at the end.
    std::vector<prompt_part> m_cache;
    std::uint64_t m_long_part_tokens_prefilled = 0;
};

} // namespace pepperturn::test
