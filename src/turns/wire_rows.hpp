// SPDX-License-Identifier: BSL-1.0
// Rows that several kinds of frames share, and their Cap'n Proto encoding.
#pragma once

#include "pepperturn/turns/messages.hpp"
#include "turns.capnp.h"

namespace pepperturn::detail {

[[nodiscard]] std::string text_of(capnp::Text::Reader reader);
[[nodiscard]] std::string data_of(capnp::Data::Reader reader);
[[nodiscard]] capnp::Data::Reader data_from(const std::string& text);
void fill(turns_wire::Key::Builder out, const id_key& key);
[[nodiscard]] id_key read(turns_wire::Key::Reader in);
void fill(turns_wire::Reservation::Builder out, const reservation& row);
[[nodiscard]] reservation read(turns_wire::Reservation::Reader in);
void fill(turns_wire::Turn::Builder out, const turn_record& turn);
[[nodiscard]] turn_record read(turns_wire::Turn::Reader in);
void fill(turns_wire::Entry::Builder out, const log_entry& entry);
void fill(turns_wire::Kept::Builder out, const kept_reservation& kept);
[[nodiscard]] kept_reservation read(turns_wire::Kept::Reader in);
[[nodiscard]] log_entry read(turns_wire::Entry::Reader in);
void fill(turns_wire::Member::Builder out, const member& row);
void fill(turns_wire::Retirement::Builder out, const retirement& row);
void fill(turns_wire::Evacuation::Builder out, const evacuation& row);
[[nodiscard]] retirement read(turns_wire::Retirement::Reader in);
[[nodiscard]] evacuation read(turns_wire::Evacuation::Reader in);
void fill(turns_wire::View::Builder out, const cluster_view& view);
void fill(turns_wire::State::Builder out, const cluster_state& state);
[[nodiscard]] member read(turns_wire::Member::Reader in);
[[nodiscard]] cluster_view read(turns_wire::View::Reader in);
[[nodiscard]] cluster_state read(turns_wire::State::Reader in);

template <class List, class Rows> void fill_all(List out, const Rows& rows)
{
    for (unsigned i = 0; i < out.size(); ++i)
        fill(out[i], rows[i]);
}

template <class Row, class List> std::vector<Row> read_all(List in)
{
    std::vector<Row> rows;
    rows.reserve(in.size());
    for (const auto row : in)
        rows.push_back(read(row));
    return rows;
}

} // namespace pepperturn::detail
