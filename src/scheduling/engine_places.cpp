// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_places.hpp"

namespace pepperturn {

struct engine_places::state
{};

engine_places::engine_places() : m_state(std::make_unique<state>()) {}

engine_places::~engine_places() = default;

const char* to_string(place_outcome outcome)
{
    switch (outcome)
    {
    case place_outcome::placed:
        return "placed";
    case place_outcome::waiting:
        return "waiting";
    case place_outcome::no_room:
        return "no_room";
    case place_outcome::not_placing:
        return "not_placing";
    }
    return "unknown";
}

const char* to_string(place_end end)
{
    switch (end)
    {
    case place_end::whole:
        return "whole";
    case place_end::broken:
        return "broken";
    case place_end::not_run:
        return "not_run";
    }
    return "unknown";
}

} // namespace pepperturn
