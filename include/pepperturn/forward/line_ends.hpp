// SPDX-License-Identifier: BSL-1.0
/// \file
/// Finds the line ends of a text that arrives in pieces.
#pragma once

#include <cstdint>
#include <utility>

namespace pepperturn {

/// The first line end of a text tells how its lines end: with a line feed, with
/// a carriage return and a line feed, or with a carriage return alone. Later,
/// half of a line end of two bytes ends no line: its sender was cut off.
class line_ends
{
public:
    enum class byte_kind : std::uint8_t
    {
        text,
        line_end,
        /// The other half of a line end.
        ignored
    };

    [[nodiscard]] byte_kind next(char byte)
    {
        const bool after_return = std::exchange(m_after_return, byte == '\r');
        if (m_style == style::unknown)
            learn(byte, after_return);
        if (byte != '\n' && byte != '\r')
            return byte_kind::text;
        switch (m_style)
        {
        case style::unknown:
            return byte_kind::line_end;
        case style::first_line_feed:
            m_style = style::line_feed;
            return after_return ? byte_kind::ignored : byte_kind::line_end;
        case style::line_feed:
            return byte == '\n' ? byte_kind::line_end : byte_kind::ignored;
        case style::carriage_return:
            return byte == '\r' ? byte_kind::line_end : byte_kind::ignored;
        }
        return byte_kind::ignored;
    }

private:
    enum class style : std::uint8_t
    {
        unknown,
        /// The first line feed is being read; its line may have ended before.
        first_line_feed,
        line_feed,
        carriage_return
    };

    void learn(char byte, bool after_return)
    {
        if (byte == '\n')
            m_style = style::first_line_feed;
        else if (after_return)
            m_style = style::carriage_return;
    }

    style m_style = style::unknown;
    bool m_after_return = false;
};

} // namespace pepperturn
