// SPDX-License-Identifier: BSL-1.0
// What an attempt that has ended tells of its request.
#include "pepperturn/forward/run_evidence.hpp"
#include "pepperturn/forward/run_records.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace {

using namespace pepperturn;

struct run_row
{
    const char* m_name;
    run_facts m_run;
    run_follow_up m_follow_up;
    /// The same for an attempt that was reserved.
    run_follow_up m_claimed;
};

run_facts answered(unsigned status)
{
    return {attempt_outcome::answered, status, false, false, false};
}

constexpr run_facts refused{attempt_outcome::not_run, 503, false, false, false};
constexpr run_facts not_connected{attempt_outcome::not_run, 0, false, false,
                                  false};
// The runner did not mark it as not run.
constexpr run_facts unmarked{attempt_outcome::unknown, 503, false, false,
                             false};
constexpr run_facts broken_off{attempt_outcome::unknown, 0, true, false, false};
constexpr run_facts broken_stream{attempt_outcome::unknown, 200, true, false,
                                  false};
constexpr run_facts out_of_memory{attempt_outcome::unknown, 200, false, false,
                                  false};
constexpr run_facts caller_left{attempt_outcome::aborted, 0, false, false,
                                false};
constexpr run_facts silent{attempt_outcome::aborted, 0, false, true, false};

using enum run_follow_up;

const std::vector<run_row> run_rows{
    {"served whole", answered(200), count_clean_run, count_clean_run},
    {"served without a body", answered(204), count_clean_run, count_clean_run},
    {"redirected", answered(302), release, watch},
    {"its caller's error", answered(404), release, watch},
    {"an error", answered(500), watch, watch},
    {"a time-out of the runner's", answered(504), watch, watch},
    {"an unmarked refusal", unmarked, watch, watch},
    {"refused", refused, release, release},
    {"not connected", not_connected, release, release},
    {"broken off", broken_off, probe_at_once, probe_at_once},
    {"a stream broken off", broken_stream, probe_at_once, probe_at_once},
    {"no memory for the response", out_of_memory, release, watch},
    {"its caller left", caller_left, none, probe_meanwhile},
    {"silent", silent, probe_meanwhile, probe_meanwhile},
};

struct end_row
{
    const char* m_name;
    end_facts m_end;
    std::uint32_t m_weight;
};

const std::vector<end_row> end_rows{
    {"never served", {false, false, 0}, certain_end_weight},
    {"served once", {false, false, 1}, certain_end_weight},
    {"served twice", {false, false, 2}, doubtful_end_weight},
    {"served often", {false, false, 900}, doubtful_end_weight},
    {"an outage", {true, true, 0}, 0},
    {"an outage, served", {true, true, 9}, 0},
    {"one outage too many", {true, false, 0}, doubtful_end_weight},
};

constexpr instant begun_at{std::chrono::seconds(10)};
constexpr instant before = begun_at - alive_before_span;
constexpr instant long_before = before - milliseconds(1);

struct outage_row
{
    const char* m_name;
    std::vector<other_runner> m_others;
    bool m_outage;
};

constexpr other_runner heard{true, begun_at, {}};
constexpr other_runner heard_before{true, before, {}};
constexpr other_runner unheard{true, {}, {}};
constexpr other_runner heard_long_before{true, long_before, {}};
constexpr other_runner fails_with_it{true, before, begun_at};
constexpr other_runner failed_before{true, before, before + milliseconds(1)};
constexpr other_runner long_down{true, begun_at - long_down_span * 2, before};
constexpr other_runner lives{false, begun_at, {}};

const std::vector<outage_row> outage_rows{
    {"no other runner", {}, false},
    {"one lives", {heard, heard, heard, lives}, false},
    {"all ended", {heard, heard_before, unheard, heard_long_before}, true},
    {"all end with it", {fails_with_it, fails_with_it, heard, heard}, true},
    {"few others", {heard, heard, heard}, false},
    {"none was heard", {unheard, unheard, unheard, unheard}, false},
    {"one was heard", {heard, heard_long_before, unheard, unheard}, false},
    {"half had failed before",
     {heard, heard, failed_before, failed_before},
     true},
    {"others are down for long",
     {heard, heard, heard, fails_with_it, long_down, long_down, long_down,
      long_down, long_down},
     true},
    {"few but those down for long",
     {heard, heard, heard, long_down, long_down, long_down},
     false},
    {"most had failed before",
     {heard, heard, failed_before, failed_before, failed_before},
     false},
};

struct admission_row
{
    const char* m_name;
    request_record m_known;
    run_admission m_admission;
};

const std::vector<admission_row> admission_rows{
    {"no end", {0, 0, false, 0}, run_admission::send},
    {"an end", {1, 0, false, 0}, run_admission::claim},
    {"an end, served", {1, 3, true, 0}, run_admission::claim},
    {"an end, trusted", {1, 4, false, 0}, run_admission::send},
    {"two ends", {2, 0, true, 0}, run_admission::claim},
    {"three ends, as told", {3, 0, false, 0}, run_admission::ask},
    {"three ends", {3, 0, true, 0}, run_admission::refuse},
    {"three ends, served once", {3, 1, true, 0}, run_admission::trial},
    {"three ends, on trial", {3, 1, true, 1}, run_admission::refuse},
    {"three ends, served twice", {3, 2, true, 1}, run_admission::trial},
    {"three ends, trusted", {3, 4, true, 0}, run_admission::send},
    {"four ends, trusted", {4, 4, true, 0}, run_admission::trial},
    {"six ends, served once", {6, 1, true, 0}, run_admission::trial},
    {"many ends, served often", {7, 900, true, 0}, run_admission::refuse},
};

} // namespace

// An error that is taken for a success clears a request that ends runners.
TEST_CASE("only a request that was served whole gains by its answer",
          "[run_evidence]")
{
    for (const auto& row : run_rows)
    {
        INFO(row.m_name);
        auto run = row.m_run;
        CHECK(follow_up_of(run) == row.m_follow_up);
        run.m_claimed = true;
        CHECK(follow_up_of(run) == row.m_claimed);
    }
}

TEST_CASE("an end counts by what else explains it", "[run_evidence]")
{
    for (const auto& row : end_rows)
    {
        INFO(row.m_name);
        CHECK(weigh_end(row.m_end) == row.m_weight);
    }
}

// The first runner that is back from an outage ends under a request while all
// others are down.
TEST_CASE("an outage ends runners that were alive when the attempt began",
          "[run_evidence]")
{
    for (const auto& row : outage_rows)
    {
        INFO(row.m_name);
        CHECK(is_outage(row.m_others, begun_at) == row.m_outage);
    }
}

TEST_CASE("a request is sent by its ends and by how often it was served since",
          "[run_evidence]")
{
    for (const auto& row : admission_rows)
    {
        INFO(row.m_name);
        CHECK(admit_run(row.m_known) == row.m_admission);
    }
}

TEST_CASE("the records of requests are bounded and keep those in use",
          "[run_evidence]")
{
    run_record_table table;
    constexpr std::uint64_t in_use = 1;
    constexpr std::uint64_t first = 10;
    constexpr std::uint64_t last = first + 10 * run_record_table::max_rows;
    table.at(in_use).m_clean_runs = 7;
    table.at(first).m_clean_runs = 8;
    for (auto i = first + 1; i < last; ++i)
    {
        table.at(i).m_clean_runs = 1;
        CHECK(table.at(in_use).m_clean_runs == 7);
    }
    CHECK(table.size() <= run_record_table::max_rows);
    CHECK(table.find(first).m_clean_runs == 0);
    CHECK(table.find(last - 1).m_clean_runs == 1);
}
