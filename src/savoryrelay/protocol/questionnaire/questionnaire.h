// The questionnaire behind `savoryrelayctl init`: answers in the terms of the
// user's trade become the settings of each entry host and the configuration.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// A run of endpoints with consecutive IPv4 addresses in one availability zone.
struct endpoint_range {
    state::availability_zone_id availability_zone;
    std::string first_address; ///< IPv4; the last byte grows by one for each endpoint
    std::uint16_t port = 8000;
    std::uint32_t count = 1;
    std::uint32_t capacity = 16; ///< concurrent requests of each endpoint
};

/// A model or a service, with its endpoints.
struct deployment_answer {
    state::deployment_config config;
    std::vector<endpoint_range> endpoints;
};

/// An entry host.
struct entry_host_answer {
    std::string name;
    std::string address; ///< IP address
    state::availability_zone_id availability_zone;
};

/// All answers.
struct questionnaire_answers {
    std::string trade; ///< what the organisation does, for the comments
    std::vector<state::availability_zone_config> availability_zones;
    std::vector<entry_host_answer> entry_hosts;
    std::string platform_address;
    std::uint16_t platform_port = 7000;
    std::vector<state::customer_config> customers; ///< without a digest: a token is made
    std::vector<deployment_answer> deployments;
    std::uint32_t retention_days = 3'650;
    std::uint32_t record_memory_mib = 16;
};

/// A file to be written, with its path below the output folder.
struct generated_file {
    std::string name;
    std::string text;
};

/// Behaviour that tests replace.
struct questionnaire_hooks {
    /// A new bearer token.
    std::function<state::result<std::string>()> make_token;
    /// A text as a YAML scalar.
    std::function<std::string(std::string_view)> quote;
};

/// Tokens of 32 random bytes and double-quoted scalars.
[[nodiscard]] questionnaire_hooks default_questionnaire_hooks();

/// Reads a YAML answers file. Fails with `invalid_settings`, naming the answer.
[[nodiscard]] state::result<questionnaire_answers> read_answers(const std::string& text);

/// Asks one question and returns the answer, or `fallback` for an empty one.
using ask_hook =
    std::function<std::string(const std::string& question, const std::string& fallback)>;

/// Asks all questions and returns the answers file, for `read_answers`.
[[nodiscard]] std::string ask_answers(const ask_hook& ask);

/// Generates `configuration.yaml`, `settings/<host>.yaml` for each entry host,
/// and `customer-tokens.txt` when tokens were made. The configuration has
/// passed `read_configuration`. Fails with `invalid_settings` or
/// `invalid_configuration`.
[[nodiscard]] state::result<std::vector<generated_file>>
generate_files(const questionnaire_answers& answers, const questionnaire_hooks& hooks);

} // namespace savoryrelay::protocol
