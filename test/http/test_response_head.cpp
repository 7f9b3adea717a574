// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/http/response_status.hpp"

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
