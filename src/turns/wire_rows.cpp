// SPDX-License-Identifier: BSL-1.0
#include "wire_rows.hpp"

namespace pepperturn::detail {

std::string text_of(capnp::Text::Reader reader)
{
    return {reader.begin(), reader.size()};
}

std::string data_of(capnp::Data::Reader reader)
{
    return {reinterpret_cast<const char*>(reader.begin()), reader.size()};
}

capnp::Data::Reader data_from(const std::string& text)
{
    return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

void fill(turns_wire::Key::Builder out, const id_key& key)
{
    out.setHigh(key.m_high);
    out.setLow(key.m_low);
}

id_key read(turns_wire::Key::Reader in)
{
    return {in.getHigh(), in.getLow()};
}

void fill(turns_wire::Reservation::Builder out, const reservation& row)
{
    fill(out.initProgram(), row.m_program);
    fill(out.initAttempt(), row.m_attempt);
    out.setTokens(row.m_tokens);
    out.setSettled(row.m_settled);
    out.setPromptPart(row.m_prompt_location.m_part);
    out.setPromptTokens(row.m_prompt_location.m_tokens);
    out.setPromptRunner(row.m_prompt_location.m_runner);
}

reservation read(turns_wire::Reservation::Reader in)
{
    return {read(in.getProgram()),
            read(in.getAttempt()),
            in.getTokens(),
            in.getSettled(),
            {in.getPromptPart(), in.getPromptTokens(), in.getPromptRunner()}};
}

void fill(turns_wire::Turn::Builder out, const turn_record& turn)
{
    out.setId(turn.m_id);
    out.setParent(turn.m_parent);
    out.setInput(data_from(turn.m_input));
    out.setOutput(data_from(turn.m_output));
    out.setRunner(turn.m_runner);
    fill(out.initProgram(), turn.m_program);
    fill(out.initAttempt(), turn.m_attempt);
    out.setTokens(turn.m_tokens);
    fill_all(out.initAncestors(turn.m_ancestors.size()), turn.m_ancestors);
}

turn_record read(turns_wire::Turn::Reader in)
{
    turn_record turn;
    turn.m_id = text_of(in.getId());
    turn.m_parent = text_of(in.getParent());
    turn.m_input = data_of(in.getInput());
    turn.m_output = data_of(in.getOutput());
    turn.m_runner = text_of(in.getRunner());
    turn.m_program = read(in.getProgram());
    turn.m_attempt = read(in.getAttempt());
    turn.m_tokens = in.getTokens();
    turn.m_ancestors = read_all<id_key>(in.getAncestors());
    return turn;
}

void fill(turns_wire::Entry::Builder out, const log_entry& entry)
{
    out.setRetentionMs(entry.m_retention_ms);
    if (const auto* turn = std::get_if<turn_record>(&entry.m_what))
        fill(out.initTurn(), *turn);
    else
        fill(out.initReservation(), std::get<reservation>(entry.m_what));
}

void fill(turns_wire::Kept::Builder out, const kept_reservation& kept)
{
    out.setRetentionMs(kept.m_retention_ms);
    fill(out.initReservation(), kept.m_row);
    out.setRemainingMs(kept.m_remaining_ms);
}

kept_reservation read(turns_wire::Kept::Reader in)
{
    return {in.getRetentionMs(), read(in.getReservation()),
            in.getRemainingMs()};
}

log_entry read(turns_wire::Entry::Reader in)
{
    log_entry entry;
    entry.m_retention_ms = in.getRetentionMs();
    if (in.isTurn())
        entry.m_what = read(in.getTurn());
    else
        entry.m_what = read(in.getReservation());
    return entry;
}

void fill(turns_wire::Member::Builder out, const member& row)
{
    out.setName(row.m_name);
    out.setAddress(row.m_address);
    out.setZone(row.m_availability_zone);
    out.setDisk(row.m_disk);
    out.setState(static_cast<std::uint8_t>(row.m_state));
    out.setIntact(row.m_intact);
}

void fill(turns_wire::Retirement::Builder out, const retirement& row)
{
    out.setVm(row.m_vm);
    out.setRevision(row.m_revision);
    out.setWithdrawn(row.m_withdrawn);
}

retirement read(turns_wire::Retirement::Reader in)
{
    return {text_of(in.getVm()), in.getRevision(), in.getWithdrawn()};
}

void fill(turns_wire::Evacuation::Builder out, const evacuation& row)
{
    out.setZone(row.m_availability_zone);
    out.setRevision(row.m_revision);
    out.setWithdrawn(row.m_withdrawn);
}

evacuation read(turns_wire::Evacuation::Reader in)
{
    return {text_of(in.getZone()), in.getRevision(), in.getWithdrawn()};
}

void fill(turns_wire::View::Builder out, const cluster_view& view)
{
    out.setEpoch(view.m_epoch);
    auto members = out.initMembers(view.m_members.size());
    for (unsigned i = 0; i < members.size(); ++i)
        fill(members[i], view.m_members[i]);
    out.setSet(view.m_set);
    out.setSetCount(view.m_set_count);
    out.setGapEpoch(view.m_gap_epoch);
    auto steps = out.initSteps(view.m_steps.size());
    for (unsigned i = 0; i < steps.size(); ++i)
    {
        const auto& step = view.m_steps[i];
        steps[i].setEpoch(step.m_epoch);
        auto toggled = steps[i].initToggled(step.m_toggled.size());
        for (unsigned j = 0; j < toggled.size(); ++j)
            toggled.set(j, step.m_toggled[j]);
    }
}

void fill(turns_wire::State::Builder out, const cluster_state& state)
{
    out.setConfigRevision(state.m_config_revision);
    out.setConfig(state.m_config);
    out.setRunnersRevision(state.m_runners_revision);
    out.setRunnersSince(state.m_runners_since);
    out.setExhaustive(state.m_exhaustive);
    out.setSettledEpoch(state.m_settled_epoch);
    out.setGoneKnownSince(state.m_tombstones_since);
    if (state.m_range)
    {
        auto part = out.initPart();
        part.setAfter(state.m_range->m_after);
        part.setUntil(state.m_range->m_until);
    }
    auto runners = out.initRunners(state.m_runners.size());
    for (unsigned i = 0; i < runners.size(); ++i)
    {
        runners[i].setName(state.m_runners[i].m_name);
        runners[i].setText(state.m_runners[i].m_text);
        runners[i].setRevision(state.m_runners[i].m_revision);
        runners[i].setGone(state.m_runners[i].m_removed);
    }
    fill_all(out.initViews(state.m_views.size()), state.m_views);
    fill_all(out.initRetirements(state.m_retirements.size()),
             state.m_retirements);
    fill_all(out.initEvacuations(state.m_evacuations.size()),
             state.m_evacuations);
}

member read(turns_wire::Member::Reader in)
{
    member row;
    row.m_name = text_of(in.getName());
    row.m_address = text_of(in.getAddress());
    row.m_availability_zone = text_of(in.getZone());
    row.m_disk = in.getDisk();
    row.m_state = static_cast<member_state>(in.getState());
    row.m_intact = in.getIntact();
    return row;
}

cluster_view read(turns_wire::View::Reader in)
{
    cluster_view view;
    view.m_epoch = in.getEpoch();
    for (const auto row : in.getMembers())
        view.m_members.push_back(read(row));
    view.m_set = in.getSet();
    view.m_set_count = in.getSetCount();
    view.m_gap_epoch = in.getGapEpoch();
    for (const auto row : in.getSteps())
    {
        view_step step{row.getEpoch()};
        for (const auto name : row.getToggled())
            step.m_toggled.push_back(text_of(name));
        view.m_steps.push_back(std::move(step));
    }
    return view;
}

cluster_state read(turns_wire::State::Reader in)
{
    cluster_state state;
    state.m_config_revision = in.getConfigRevision();
    state.m_config = text_of(in.getConfig());
    state.m_runners_revision = in.getRunnersRevision();
    state.m_runners_since = in.getRunnersSince();
    state.m_exhaustive = in.getExhaustive();
    state.m_settled_epoch = in.getSettledEpoch();
    state.m_tombstones_since = in.getGoneKnownSince();
    if (in.hasPart())
        state.m_range = runner_range{text_of(in.getPart().getAfter()),
                                     text_of(in.getPart().getUntil())};
    state.m_runners.reserve(in.getRunners().size());
    for (const auto row : in.getRunners())
        state.m_runners.push_back({text_of(row.getName()),
                                   text_of(row.getText()), row.getRevision(),
                                   row.getGone()});
    state.m_views = read_all<cluster_view>(in.getViews());
    state.m_retirements = read_all<retirement>(in.getRetirements());
    state.m_evacuations = read_all<evacuation>(in.getEvacuations());
    return state;
}

} // namespace pepperturn::detail
