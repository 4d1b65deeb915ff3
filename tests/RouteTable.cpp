#include "directory/RouteTable.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace bulrushgap::balance;

namespace {

std::shared_ptr<const Configuration> configuration(std::uint64_t version,
                                                   std::initializer_list<const char *> addresses,
                                                   const std::string &service = "s1")
{
    auto result = std::make_shared<Configuration>();
    result->version = version;
    for (const char *address : addresses)
        result->routes.push_back({address, *Endpoint::parse(address), {{service, 1}}, {}});
    return result;
}

const Endpoint first = *Endpoint::parse("198.18.0.1:80");
const Endpoint second = *Endpoint::parse("198.18.0.2:80");

} // namespace

// Guards against reverting to an older configuration when a source lags behind.
TEST_CASE("only a greater version takes over", "[RouteTable]")
{
    RouteTable routes;
    CHECK_FALSE(routes.isLoaded());
    CHECK(routes.update(configuration(7, {"198.18.0.1:80"}), TimePoint{}));
    CHECK_FALSE(routes.update(configuration(7, {}), TimePoint{}));
    CHECK_FALSE(routes.update(configuration(6, {"198.18.0.2:80"}), TimePoint{}));
    CHECK(routes.version() == 7);
    CHECK(routes.find(first) != nullptr);
    CHECK(routes.find(second) == nullptr);
}

// Guards against resets of flows whose route is too new for this instance to know.
TEST_CASE("a removed route differs from one that never was", "[RouteTable]")
{
    RouteTable routes;
    routes.update(configuration(1, {"198.18.0.1:80"}), TimePoint{});
    routes.update(configuration(2, {}), TimePoint{});
    CHECK(routes.wasRemoved(first));
    CHECK_FALSE(routes.wasRemoved(second));
    routes.update(configuration(3, {"198.18.0.1:80"}), TimePoint{});
    CHECK_FALSE(routes.wasRemoved(first));
}

// Guards against loss of established flows when their route changes its service.
TEST_CASE("services that a route had are remembered", "[RouteTable]")
{
    RouteTable routes;
    routes.update(configuration(1, {"198.18.0.1:80"}, "s1"), TimePoint{});
    routes.update(configuration(2, {"198.18.0.1:80"}, "s2"), TimePoint{});
    CHECK(routes.everServed(first, "s1"));
    CHECK(routes.everServed(first, "s2"));
    CHECK_FALSE(routes.everServed(first, "s3"));
    CHECK_FALSE(routes.everServed(second, "s1"));
}
