#include "base/Endpoint.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;

// Guards against truncated or out-of-range addresses that are accepted in settings.
TEST_CASE("endpoints are parsed strictly", "[Endpoint]")
{
    const auto [text, valid] = GENERATE(table<std::string, bool>({
        {"127.0.0.1:80", true},
        {"255.255.255.255:65535", true},
        {"127.0.0.1", false},
        {"127.0.0.1:", false},
        {"127.0.0.1:65536", false},
        {"256.0.0.1:1", false},
        {"1.2.3:4", false},
        {"1.2.3.4:5x", false},
        {"", false},
    }));
    const auto endpoint = Endpoint::parse(text);
    REQUIRE(endpoint.has_value() == valid);
    if (valid)
        REQUIRE(endpoint->toString() == text);
}
