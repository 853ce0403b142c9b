// The callers' front end of one daemon with its coordinator, in front of the endpoints
// of a test.
#pragma once

#include "support/test_http_client.h"

#include "savoryrelay/coordination/call/call_coordinator.h"
#include "savoryrelay/state/digest/digest.h"
#include "savoryrelay/transport/caller/caller_front.h"
#include "savoryrelay/transport/http/http_server.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace savoryrelay::tests {

/// A model and two services with the same endpoints, of which one may be called at most once.
struct front_fixture {
    static constexpr state::milliseconds short_timeout{150};

    /// `timeout` is the limit for the first token and for pauses.
    explicit front_fixture(const std::vector<std::uint16_t>& ports,
                           state::milliseconds timeout = short_timeout) {
        auto first = make_configuration(ports, timeout);
        catalog.rebuild(first, now());
        configuration.replace_if(std::move(first), [](const auto&, const auto&) { return true; });
        for (const auto& routes : catalog.all()) {
            for (std::uint32_t slot = 0; slot < routes->endpoints.size(); ++slot) {
                catalog.apply_report(*routes, slot, {{}, false});
            }
        }
    }
    front_fixture(const front_fixture&) = delete;
    front_fixture& operator=(const front_fixture&) = delete;
    ~front_fixture() {
        server.stop_accepting();
        threads.stop();
    }

    static state::time_point now() { return std::chrono::steady_clock::now(); }

    [[nodiscard]] test_exchange begin_stream(const std::string& deadline_ms) const {
        return {port,
                http::verb::post,
                "/v1/completions",
                R"({"model":"gilding","stream":true,"prompt":"p","max_tokens":8})",
                {{"Savoryrelay-Deadline-Ms", deadline_ms}}};
    }
    [[nodiscard]] test_answer stream(const std::string& deadline_ms) const {
        return begin_stream(deadline_ms).finish();
    }
    /// Calls the service that may be called again.
    [[nodiscard]] test_answer look(const std::string& deadline_ms) const {
        return fetch(port, http::verb::get, "/v1/services/lookups/1", "",
                     {{"Savoryrelay-Deadline-Ms", deadline_ms}});
    }
    /// Calls the service that may be called at most once.
    [[nodiscard]] test_answer book(const std::string& deadline_ms) const {
        return fetch(port, http::verb::post, "/v1/services/orders/1", "{}",
                     {{"Savoryrelay-Deadline-Ms", deadline_ms}, {"Idempotency-Key", "k"}});
    }

    /// A port may occur more than once, for endpoints with the same address.
    static state::configuration make_configuration(const std::vector<std::uint16_t>& ports,
                                                   state::milliseconds timeout) {
        state::configuration made;
        made.revision = 1;
        made.availability_zones = {{state::availability_zone_id("a"), "r", false}};
        made.customers = {{state::customer_id("c"), state::sha256_hex("demo-token"), 1.0}};
        state::deployment_config model;
        model.id = state::deployment_id("model");
        model.model = "gilding";
        model.first_token_timeout = timeout;
        model.token_timeout = timeout;
        auto lookups = model;
        lookups.id = state::deployment_id("lookups");
        lookups.kind = state::deployment_kind::service;
        lookups.model = "";
        auto orders = lookups;
        orders.id = state::deployment_id("orders");
        orders.repeat = state::repeat_rule::at_most_once;
        made.deployments = {model, lookups, orders};
        for (const auto& deployment : made.deployments) {
            for (const auto endpoint_port : ports) {
                state::endpoint_config row;
                row.id = state::endpoint_id(deployment.id.value() + '-' +
                                            std::to_string(made.endpoints.size()));
                row.deployment = deployment.id;
                row.availability_zone = state::availability_zone_id("a");
                row.address = "127.0.0.1";
                row.port = endpoint_port;
                made.endpoints.push_back(row);
            }
        }
        return made;
    }

    transport::caller_front_hooks hooks{
        .bookings = {
            .begin = [](const auto&, auto,
                        auto completion) { completion(std::optional<transport::stored_answer>()); },
            .finish = [](const auto&, auto, const auto&, auto,
                         auto completion) { completion(state::done{}); }},
        .ready = [](auto) { return true; },
        .now = now};

    state::snapshot_cell<state::configuration> configuration{state::configuration{}};
    state::metrics metrics;
    coordination::endpoint_catalog catalog{
        {.local_zone = state::availability_zone_id("a"), .lanes = 1, .weights = {}}};
    coordination::call_queue queue{{}, [](const auto&, const auto& s) { return s.quantum; }};
    coordination::retry_budget budget{{}};
    coordination::crash_suspects suspects{{}, coordination::default_crash_hooks()};
    coordination::broken_attempts broken{std::chrono::seconds(3)};
    coordination::call_coordinator coordinator{
        {.id_prefix = "t", .retries = {}},
        configuration,
        {catalog, queue, budget, suspects, broken},
        metrics,
        {.check_eligibility = [](auto) { return state::result<void>{}; },
         .admit = [](const auto&, auto) { return state::result<void>{}; },
         .may_use_endpoint = [](const auto&, const auto&, auto) { return true; },
         .finished = [](const auto&, auto, auto) {}}};
    // Outlives the front, whose idle connections use the threads' contexts.
    transport::io_threads threads{1};
    transport::caller_front front{
        coordinator,
        configuration,
        metrics,
        {},
        {{[this](const auto& call, auto at, auto done) { hooks.bookings.begin(call, at, done); },
          [this](const auto& call, auto end, const auto& answer, auto at, auto done) {
              hooks.bookings.finish(call, end, answer, at, done);
          }},
         [this](auto at) { return hooks.ready(at); },
         [this] { return hooks.now(); }}};
    transport::http_server server{threads, "127.0.0.1", 0, {}, [this](auto request, auto& writer) {
                                      return front.handle(std::move(request), writer);
                                  }};
    std::string port = std::to_string(server.port());
};

} // namespace savoryrelay::tests
