// Tests the look-ups of routes and keys.
#include "savoryrelay/state/serving/serving_configuration.h"

#include <catch2/catch.hpp>

using namespace savoryrelay::state;

namespace {

serving_configuration make_configuration() {
    serving_configuration configuration;
    configuration.version = 1;
    for (const auto* prefix : {"/a/", "/a/b/", "/c/"}) {
        route_rule route;
        route.name = prefix;
        route.host = "Shop.Example";
        route.path_prefix = prefix;
        configuration.routes.push_back(route);
    }
    configuration.customers.push_back({customer_id("workshop"), {"k1", "k2"}, std::nullopt});
    configuration.index();
    return configuration;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix is found") {
    const auto configuration = make_configuration();
    const auto name_of = [&](const char* host, const char* path) {
        const auto* route = configuration.find_route(host, path);
        return route == nullptr ? std::string("none") : route->name;
    };
    CHECK(name_of("shop.example", "/a/x") == "/a/");
    CHECK(name_of("shop.example", "/a/b/x") == "/a/b/");
    CHECK(name_of("SHOP.EXAMPLE:8080", "/a/b/x?y=/c/") == "/a/b/");
    CHECK(name_of("shop.example", "/a") == "none");
    CHECK(name_of("shop.example", "/d/") == "none");
    CHECK(name_of("other.example", "/a/x") == "none");
}

TEST_CASE("a customer is found by each of its keys") {
    const auto configuration = make_configuration();
    REQUIRE(configuration.find_customer("k2") != nullptr);
    CHECK(configuration.find_customer("k2")->id.value() == "workshop");
    CHECK(configuration.find_customer("K2") == nullptr);
    CHECK(configuration.find_customer("") == nullptr);
}
