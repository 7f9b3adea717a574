// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/http/response_head.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

TEST_CASE("a final status lies in 200 to 599", "[http]")
{
    for (const int status : {200, 204, 299, 304, 418, 500, 599})
        CHECK(is_final_status(status));
    for (const int status : {-200, 0, 1, 99, 100, 101, 199, 600, 999, 2000})
        CHECK_FALSE(is_final_status(status));
    for (const int status : {100, 102, 103, 199})
        CHECK(is_interim_status(status));
    for (const int status : {0, 99, 101, 200, 600})
        CHECK_FALSE(is_interim_status(status));
}

TEST_CASE("a field's name is a token and its value has no control bytes",
          "[http]")
{
    for (int byte = 0; byte <= UINT8_MAX; ++byte)
    {
        INFO(byte);
        const char c = static_cast<char>(byte);
        const std::string text{'a', c, 'b'};
        const bool alphanumeric = (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'z') ||
                                  (c >= 'A' && c <= 'Z');
        const bool mark = byte != 0 && std::string("!#$%&'*+-.^_`|~").find(c) !=
                                           std::string::npos;
        CHECK(is_token(text) == (alphanumeric || mark));
        CHECK(is_field_value(text) ==
              (byte == '\t' || (byte >= 0x20 && byte != 0x7f)));
    }
    CHECK_FALSE(is_token(""));
    CHECK(is_field_value(""));
}

TEST_CASE("no broken line is written into a head", "[http]")
{
    std::string out;
    append_status_line(out, 200);
    append_field(out, "X-Name", "v");
    append_field(out, "X Name", "v");
    append_field(out, "X-Name", "v\r\nX-Other: w");
    append_field(out, "", "v");
    CHECK(out == "HTTP/1.1 200 OK\r\nX-Name: v\r\n");
    for (const int status : {-1, 0, 99, 100, 101, 600, 1000})
    {
        std::string replaced;
        append_status_line(replaced, status);
        CHECK(replaced == "HTTP/1.1 502 Bad Gateway\r\n");
    }
}
