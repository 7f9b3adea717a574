// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/codec/wire.hpp"
#include "pepperturn/store/log_store.hpp"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace pepperturn;

namespace {

class mock_store : public kv_store
{
public:
    MAKE_MOCK3(put_guarded,
               void(std::vector<kv_write>, std::vector<kv_guard>,
                    std::function<void(guarded_result)>),
               override);
    MAKE_MOCK3(put, void(std::string, std::string, std::function<void(bool)>),
               override);
    MAKE_MOCK5(range,
               void(std::string, std::string, range_order, std::uint32_t,
                    std::function<void(std::optional<std::vector<kv_entry>>)>),
               override);
    MAKE_MOCK3(remove,
               void(std::string, std::string, std::function<void(bool)>),
               override);
};

create_entry entry_of(std::uint32_t partition, std::uint64_t nonce)
{
    create_entry out;
    out.m_partition = partition;
    out.m_seq = 5;
    out.m_manifest_revision = 9;
    out.m_batch.m_nonce = nonce;
    return out;
}

std::vector<entry_write_completed> answers_in(const std::vector<event>& events)
{
    std::vector<entry_write_completed> out;
    out.reserve(events.size());
    for (const auto& entry : events)
        out.push_back(std::get<entry_write_completed>(entry));
    return out;
}

guarded_result refused_by(const std::optional<batch>& existing)
{
    guarded_result out;
    out.m_status = guarded_status::refused;
    if (existing)
        out.m_existing = kv_entry{"k", codec::encode_batch(*existing), 3};
    return out;
}

} // namespace

TEST_CASE("an entry is guarded by its own absence and the manifest", "[store]")
{
    const auto store = std::make_shared<mock_store>();
    std::vector<event> events;
    log_store logs(store, "p/",
                   [&events](const event& input) { events.push_back(input); });
    std::vector<kv_guard> seen;
    REQUIRE_CALL(*store,
                 put_guarded(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(seen = _2)
        .SIDE_EFFECT(_3({guarded_status::written, 4, {}}));
    logs.create({{entry_of(3, 1)}});
    REQUIRE(seen.size() == 2);
    CHECK(seen[0] == kv_guard{"p/log/0003/000000000005", 0});
    CHECK(seen[1] == kv_guard{"p/manifest/0003", 9});
    CHECK(answers_in(events).at(0).m_status == create_status::created);
}

TEST_CASE("one fenced partition does not fence the others", "[store]")
{
    const auto store = std::make_shared<mock_store>();
    std::vector<event> events;
    log_store logs(store, "p/",
                   [&events](const event& input) { events.push_back(input); });
    batch theirs;
    theirs.m_nonce = 77;
    REQUIRE_CALL(*store,
                 put_guarded(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .WITH(_1.size() == 2)
        .SIDE_EFFECT(_3(refused_by({})));
    REQUIRE_CALL(*store,
                 put_guarded(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .WITH(_1.size() == 1 && _1[0].m_key == "p/log/0001/000000000005")
        .LR_SIDE_EFFECT(_3(refused_by(theirs)));
    REQUIRE_CALL(*store,
                 put_guarded(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .WITH(_1.size() == 1 && _1[0].m_key == "p/log/0002/000000000005")
        .SIDE_EFFECT(_3({guarded_status::written, 4, {}}));
    logs.create({{entry_of(1, 1), entry_of(2, 2)}});
    const auto answers = answers_in(events);
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].m_status == create_status::exists);
    CHECK(answers[0].m_existing->m_nonce == 77);
    CHECK(answers[1].m_status == create_status::created);
}

TEST_CASE("no answer is unknown; a moved manifest is told apart", "[store]")
{
    const auto store = std::make_shared<mock_store>();
    std::vector<event> events;
    log_store logs(store, "p/",
                   [&events](const event& input) { events.push_back(input); });
    const auto row =
        GENERATE(std::pair{guarded_result{}, create_status::unknown},
                 std::pair{refused_by({}), create_status::stale_manifest});
    REQUIRE_CALL(*store,
                 put_guarded(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(_3(row.first));
    logs.create({{entry_of(1, 1)}});
    CHECK(answers_in(events).at(0).m_status == row.second);
}

TEST_CASE("a lost answer to a configuration is read back", "[store]")
{
    const auto store = std::make_shared<mock_store>();
    config_store configs(store, "p/");
    const config_revision mine{2, "x", "", "me"};
    const config_revision theirs{2, "y", "", "you"};
    const auto row = GENERATE_COPY(
        std::pair{std::vector{kv_entry{"k", encode_revision(mine), 1}},
                  guarded_status::written},
        std::pair{std::vector{kv_entry{"k", encode_revision(theirs), 1}},
                  guarded_status::refused},
        std::pair{std::vector<kv_entry>{}, guarded_status::no_answer});
    REQUIRE_CALL(*store,
                 put_guarded(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .SIDE_EFFECT(_3({}));
    REQUIRE_CALL(*store, range(trompeloeil::_, trompeloeil::_, trompeloeil::_,
                               trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(_5(row.first));
    auto status = guarded_status::no_answer;
    configs.put(mine, [&status](guarded_status got) { status = got; });
    CHECK(status == row.second);
}
