// Decodes and encodes the bodies of the callers' HTTP interface.
#pragma once

#include "savoryrelay/state/configuration/configuration.h"
#include "savoryrelay/state/core/failure.h"
#include "savoryrelay/state/core/identifier.h"

#include <cstdint>
#include <string>

namespace savoryrelay::protocol {

/// The fields of a completion request that the system uses.
struct completion_body {
    std::string model;
    bool stream = false;
    std::uint32_t max_tokens = 256;
    std::string prompt; ///< text of the prompt or of all messages, for prefix affinity
};

/// Decodes the JSON body of a completion request. Fails with `invalid_request` and names
/// the field.
[[nodiscard]] state::result<completion_body> decode_completion_body(const std::string& text);

/// Encodes the JSON body of a refusal: kind, message, remedy, outcome and request id.
[[nodiscard]] std::string encode_refusal(const state::failure& error,
                                         const state::request_id& request);

/// Encodes the JSON body of GET /v1/models: the models that `customer` may use.
[[nodiscard]] std::string encode_models(const state::configuration& configuration,
                                        const state::customer_id& customer);

} // namespace savoryrelay::protocol
