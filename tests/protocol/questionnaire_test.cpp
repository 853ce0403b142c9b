// Tests the settings and configurations that the questionnaire generates.
#include "savoryrelay/protocol/questionnaire/questionnaire.h"

#include "savoryrelay/protocol/configuration/configuration_document.h"
#include "savoryrelay/protocol/settings/yaml_fields.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace savoryrelay;
using state::collect;

namespace {

// Returns a random text that YAML could misread without quotes.
std::string text_that_needs_quotes() {
    const std::vector<std::string> pieces{"a: b", "#",   "- x", "\"", "\\", "'",   "\n", "null",
                                          "true", "{a}", "[",   "&a", "*a", "@",   "%",  "vane",
                                          "é",    "\t",  "! b", "|",  ">",  "012", " ",  "\x01"};
    std::string text = "x";
    for (const auto i : *rc::gen::container<std::vector<std::size_t>>(
             rc::gen::inRange<std::size_t>(0, pieces.size()))) {
        text += pieces[i];
    }
    return text;
}

protocol::questionnaire_answers random_answers() {
    protocol::questionnaire_answers answers;
    answers.business = text_that_needs_quotes();
    const auto zones = *rc::gen::inRange<std::size_t>(1, 5);
    for (std::size_t i = 0; i < zones; ++i) {
        answers.availability_zones.push_back(
            {state::availability_zone_id(text_that_needs_quotes() + std::to_string(i)),
             text_that_needs_quotes(), false});
        answers.entry_hosts.push_back({"entry-" + std::to_string(i), "10.0.0." + std::to_string(i),
                                       answers.availability_zones.back().id});
    }
    answers.platform_address = text_that_needs_quotes();
    answers.customers.push_back({state::customer_id(text_that_needs_quotes()), "",
                                 *rc::gen::inRange(1, 1'000'000) / 1000.0});
    const auto deployments = *rc::gen::inRange<std::size_t>(0, 4);
    for (std::size_t i = 0; i < deployments; ++i) {
        protocol::deployment_answer answer;
        answer.config.id = state::deployment_id(text_that_needs_quotes() + std::to_string(i));
        answer.config.kind =
            *rc::gen::element(state::deployment_kind::model, state::deployment_kind::service);
        answer.config.repeat =
            *rc::gen::element(state::repeat_rule::repeatable, state::repeat_rule::at_most_once);
        answer.config.model = text_that_needs_quotes();
        answer.config.adapters = {text_that_needs_quotes()};
        answer.config.customers = {answers.customers[0].id};
        answer.endpoints.push_back({answers.availability_zones[0].id, "10.1.0.1", 8000,
                                    *rc::gen::inRange<std::uint32_t>(1, 9), 16});
        answers.deployments.push_back(std::move(answer));
    }
    return answers;
}

} // namespace

// Guards against answers that produce a configuration that the daemon refuses or
// reads with other values.
TEST_CASE("generated configurations pass the validator and keep the answers", "[questionnaire]") {
    CHECK(rc::check("generated configuration", [] {
        const auto answers = random_answers();
        const auto files = collect([&] {
            return protocol::generate_files(answers, protocol::default_questionnaire_hooks());
        });
        RC_ASSERT(files.has_value());
        RC_ASSERT(files.value()[0].name == "configuration.yaml");
        const auto read =
            collect([&] { return protocol::read_configuration(files.value()[0].text, 1); });
        RC_ASSERT(read.has_value());
        const auto& document = read.value();
        RC_ASSERT(document.availability_zones.size() == answers.availability_zones.size());
        RC_ASSERT(document.availability_zones[0].id == answers.availability_zones[0].id);
        RC_ASSERT(document.customers[0].id == answers.customers[0].id);
        RC_ASSERT(document.customers[0].token_digest.size() == 64);
        RC_ASSERT(document.deployments.size() == answers.deployments.size());
        for (std::size_t i = 0; i < document.deployments.size(); ++i) {
            RC_ASSERT(document.deployments[i].id == answers.deployments[i].config.id);
            RC_ASSERT(document.deployments[i].repeat == answers.deployments[i].config.repeat);
        }
        for (const auto& file : files.value()) {
            if (file.name.starts_with("settings/")) {
                RC_ASSERT(collect([&] {
                              return protocol::parse_yaml(file.text,
                                                          state::failure_kind::invalid_settings);
                          }).has_value());
            }
        }
    }));
}

// Shows that the property above depends on the quotes: the validator refuses a
// configuration generated without them.
TEST_CASE("the validator refuses a configuration generated without quotes", "[questionnaire]") {
    protocol::questionnaire_answers answers;
    answers.availability_zones.push_back({state::availability_zone_id("a: b"), "r", false});
    answers.entry_hosts.push_back({"entry-1", "10.0.0.1", answers.availability_zones[0].id});
    auto hooks = protocol::default_questionnaire_hooks();
    CHECK(collect([&] { return protocol::generate_files(answers, hooks); }).has_value());
    hooks.quote = [](std::string_view text) { return std::string(text); };
    const auto refused = collect([&] { return protocol::generate_files(answers, hooks); });
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().kind == state::failure_kind::invalid_configuration);
}

// Guards against interactive answers that `read_answers` refuses.
TEST_CASE("the defaults of the interactive questions give a valid answers file",
          "[questionnaire]") {
    const auto text = protocol::ask_answers([](const auto& question, const auto& fallback) {
        if (question.find("How many plain services") != std::string::npos) {
            return std::string("1");
        }
        if (question.find("Endpoints in zone-1") != std::string::npos) {
            return std::string("2");
        }
        return fallback.empty() ? std::string("10.0.0.1") : fallback;
    });
    const auto answers = collect([&] { return protocol::read_answers(text); });
    REQUIRE(answers.has_value());
    CHECK(answers.value().deployments.size() == 2);
    CHECK(answers.value().deployments[1].config.repeat == state::repeat_rule::at_most_once);
    const auto files = collect([&] {
        return protocol::generate_files(answers.value(), protocol::default_questionnaire_hooks());
    });
    REQUIRE(files.has_value());
    CHECK(files.value().size() == 5);
}

// Guards against error messages that do not name the invalid answer.
TEST_CASE("the error message names the invalid answer", "[questionnaire]") {
    const std::string start = "platform: {address: 10.0.0.1}\n";
    const auto misspelt = collect([&] { return protocol::read_answers(start + "modles: []\n"); });
    REQUIRE_FALSE(misspelt.has_value());
    CHECK(misspelt.error().detail.find("models") != std::string::npos);

    protocol::questionnaire_answers answers;
    answers.availability_zones.push_back({state::availability_zone_id("z"), "r", false});
    answers.entry_hosts.push_back({"../entry", "10.0.0.1", answers.availability_zones[0].id});
    const auto hooks = protocol::default_questionnaire_hooks();
    CHECK_FALSE(collect([&] { return protocol::generate_files(answers, hooks); }).has_value());
    answers.entry_hosts[0].name = "entry-1";
    protocol::deployment_answer answer;
    answer.config.id = state::deployment_id("m");
    answer.config.kind = state::deployment_kind::service;
    answer.endpoints.push_back({answers.availability_zones[0].id, "10.1.0.250", 8000, 9, 16});
    answers.deployments.push_back(answer);
    const auto refused = collect([&] { return protocol::generate_files(answers, hooks); });
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().detail.find("10.1.0.250") != std::string::npos);
}
