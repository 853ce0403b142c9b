// The configuration document that operators submit: deployments, endpoints,
// customers and availability zones, under one revision.
#pragma once

#include "savoryrelay/state/core/enum_names.h"
#include "savoryrelay/state/core/identifier.h"
#include "savoryrelay/state/core/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace savoryrelay::state {

/// What the endpoints of a deployment run.
enum class deployment_kind { model, service };

template <>
struct enum_table<deployment_kind> {
    static constexpr std::array rows{
        enum_name<deployment_kind>{deployment_kind::model, "model"},
        enum_name<deployment_kind>{deployment_kind::service, "service"},
    };
};

/// Whether a call may be sent again after a failure.
enum class repeat_rule { repeatable, at_most_once };

template <>
struct enum_table<repeat_rule> {
    static constexpr std::array rows{
        enum_name<repeat_rule>{repeat_rule::repeatable, "repeatable"},
        enum_name<repeat_rule>{repeat_rule::at_most_once, "at_most_once"},
    };
};

/// Whether a deployment's engines refuse an order with an old fencing number.
enum class fencing_rule { enforced, ignored };

template <>
struct enum_table<fencing_rule> {
    static constexpr std::array rows{
        enum_name<fencing_rule>{fencing_rule::enforced, "enforced"},
        enum_name<fencing_rule>{fencing_rule::ignored, "ignored"},
    };
};

/// How the record stores requests and answers: not at all, as a digest, or with their content.
enum class record_rule { none, digest, content };

template <>
struct enum_table<record_rule> {
    static constexpr std::array rows{
        enum_name<record_rule>{record_rule::none, "none"},
        enum_name<record_rule>{record_rule::digest, "digest"},
        enum_name<record_rule>{record_rule::content, "content"},
    };
};

/// An availability zone and whether it is in service.
struct availability_zone_config {
    availability_zone_id id;
    std::string region;
    bool drained = false; ///< true while operators have taken the zone out of service
};

/// A customer, its token and its share of the capacity.
struct customer_config {
    customer_id id;
    std::string token_digest; ///< SHA-256 of the bearer token, 64 hex digits
    double weight = 1.0;      ///< share relative to other customers, > 0
};

/// A deployment of a model or of a plain service.
struct deployment_config {
    deployment_id id;
    deployment_kind kind = deployment_kind::model;
    std::string model;                 ///< model name, empty for a service
    std::string version;               ///< model or service version
    std::vector<std::string> adapters; ///< names of the adapters that callers may request
    repeat_rule repeat = repeat_rule::repeatable;
    fencing_rule fencing = fencing_rule::ignored;
    record_rule record = record_rule::digest;
    std::vector<customer_id> customers; ///< empty: every customer
    std::uint32_t hosts_per_replica = 1;
    std::uint32_t replicas = 1;
    std::uint32_t max_surge = 1;       ///< maximum number of groups above `replicas` in a roll-out
    std::uint32_t max_unavailable = 0; ///< maximum number of groups below `replicas` in a roll-out
    /// Maximum concurrent requests to a cold endpoint, over all entry hosts.
    std::uint32_t cold_allowance = 2;
    milliseconds first_token_timeout{10'000};
    milliseconds token_timeout{5'000};
};

/// An endpoint: the head of a replica's group, or one instance of a service.
struct endpoint_config {
    endpoint_id id;
    deployment_id deployment;
    availability_zone_id availability_zone;
    host_id host;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    std::uint32_t capacity = 16; ///< maximum concurrent requests when warm
    bool drained = false;
};

/// A complete configuration. `revision` 0 means that none has been submitted.
struct configuration {
    std::uint64_t revision = 0;
    std::vector<availability_zone_config> availability_zones;
    std::vector<customer_config> customers;
    std::vector<deployment_config> deployments;
    std::vector<endpoint_config> endpoints;

    /// Returns the deployment with identifier `id`, or null.
    [[nodiscard]] const deployment_config* find_deployment(const deployment_id& id) const;
    /// Returns the deployment that serves `model`, or null.
    [[nodiscard]] const deployment_config* find_deployment_by_model(const std::string& model) const;
    /// Returns the customer whose token has `token_digest`, or null.
    [[nodiscard]] const customer_config* find_customer(const std::string& token_digest) const;
    /// Returns whether operators have taken `zone` out of service.
    [[nodiscard]] bool is_drained(const availability_zone_id& zone) const;
};

} // namespace savoryrelay::state
