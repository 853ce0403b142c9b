// The questionnaire of `savoryrelayctl init`. Its answers, given in the user's own
// terms, become the settings of each entry host and the configuration.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace savoryrelay::protocol {

/// Endpoints with consecutive IPv4 addresses in one availability zone.
struct endpoint_range {
    state::availability_zone_id availability_zone;
    std::string first_address; ///< IPv4; each further endpoint adds 1 to the last byte
    std::uint16_t port = 8000;
    std::uint32_t count = 1;
    std::uint32_t capacity = 16; ///< concurrent requests of each endpoint
};

/// The answers about a model or a service and its endpoints.
struct deployment_answer {
    state::deployment_config config;
    std::vector<endpoint_range> endpoints;
};

/// The answers about an entry host.
struct entry_host_answer {
    std::string name;
    std::string address; ///< IP address
    state::availability_zone_id availability_zone;
};

/// All answers to the questionnaire.
struct questionnaire_answers {
    std::string business; ///< what the organisation does; shown in comments of the generated files
    std::vector<state::availability_zone_config> availability_zones;
    std::vector<entry_host_answer> entry_hosts;
    std::string platform_address;
    std::uint16_t platform_port = 7000;
    std::vector<state::customer_config> customers; ///< a token is generated if the digest is empty
    std::vector<deployment_answer> deployments;
    std::uint32_t retention_days = 3'650;
    std::uint32_t record_memory_mib = 16;
};

/// A generated file. `name` is its path below the output folder.
struct generated_file {
    std::string name;
    std::string text;
};

/// Functions that tests replace.
struct questionnaire_hooks {
    /// Generates a bearer token.
    std::function<state::result<std::string>()> make_token;
    /// Returns a text as a YAML scalar.
    std::function<std::string(std::string_view)> quote;
};

/// Returns hooks for tokens of 32 random bytes and double-quoted scalars.
[[nodiscard]] questionnaire_hooks default_questionnaire_hooks();

/// Reads a YAML answers file. Fails with `invalid_settings` and the name of the
/// invalid answer.
[[nodiscard]] state::result<questionnaire_answers> read_answers(const std::string& text);

/// A hook that asks one question and returns the answer, or `fallback` if it is empty.
using ask_hook =
    std::function<std::string(const std::string& question, const std::string& fallback)>;

/// Asks all questions and returns the text of an answers file for `read_answers`.
[[nodiscard]] std::string ask_answers(const ask_hook& ask);

/// Generates `configuration.yaml`, `settings/<host>.yaml` for each entry host,
/// and `customer-tokens.txt` if tokens were generated. Checks the configuration with
/// `read_configuration` and the settings with `read_daemon_settings`. Fails with
/// `invalid_settings` or `invalid_configuration`.
[[nodiscard]] state::result<std::vector<generated_file>>
generate_files(const questionnaire_answers& answers, const questionnaire_hooks& hooks);

} // namespace savoryrelay::protocol
