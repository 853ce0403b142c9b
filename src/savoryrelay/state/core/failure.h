// Defines typed failures. Each kind has a name, an HTTP status, an execution
// outcome of the request, and a remedy, which is the last part of its message.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <boost/leaf.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace savoryrelay::state {

/// Whether a refused or failed request was executed.
enum class execution_outcome {
    not_run, ///< no endpoint runs or ran the request
    unknown, ///< an endpoint may have run the request
    ran,     ///< an endpoint ran the request
};

template <>
struct enum_table<execution_outcome> {
    static constexpr std::array rows{
        enum_name<execution_outcome>{execution_outcome::not_run, "not-run"},
        enum_name<execution_outcome>{execution_outcome::unknown, "unknown"},
        enum_name<execution_outcome>{execution_outcome::ran, "ran"},
    };
};

/// The failure kinds of all parts of the system.
enum class failure_kind {
    invalid_request,
    unauthenticated,
    forbidden,
    not_found,
    request_too_large,
    idempotency_key_required,
    idempotency_key_reused,
    call_in_progress,
    customer_limit,
    overloaded,
    deadline_exceeded,
    no_endpoint,
    request_quarantined,
    isolated,
    shutting_down,
    store_unavailable,
    store_conflict,
    store_result_unknown,
    booking_unknown,
    endpoint_unreachable,
    endpoint_failed,
    stream_interrupted,
    record_unavailable,
    record_damaged,
    revision_conflict,
    invalid_configuration,
    invalid_settings,
    lease_not_held,
    message_damaged,
    message_unauthenticated,
    internal,
};

/// Constant properties of a failure kind.
struct failure_properties {
    failure_kind kind;
    std::string_view name;
    int http_status;           ///< status of the response to the caller
    execution_outcome outcome; ///< default outcome, which a failure may override
    std::string_view remedy;   ///< what the recipient of the message should do
};

/// Returns the properties of `kind`.
[[nodiscard]] const failure_properties& properties_of(failure_kind kind);

/// A failure with its kind and the details of the case.
struct failure {
    failure_kind kind = failure_kind::internal;
    std::string detail;
    /// Overrides the outcome of the kind when the outcome of this case is known.
    std::optional<execution_outcome> outcome = std::nullopt;

    /// Returns the outcome to report to the caller.
    [[nodiscard]] execution_outcome reported_outcome() const {
        return outcome.value_or(properties_of(kind).outcome);
    }
    /// Returns the text "name: detail; remedy" for logs and responses.
    [[nodiscard]] std::string message() const;
};

/// The result of a synchronous operation. Its error object is a `failure`.
template <typename T>
using result = boost::leaf::result<T>;

/// Creates the error of a `result` from its parts.
[[nodiscard]] inline boost::leaf::error_id
fail(failure_kind kind, std::string detail,
     std::optional<execution_outcome> outcome = std::nullopt) {
    return boost::leaf::new_error(failure{kind, std::move(detail), outcome});
}

/// Creates the error of a `result` from a failure, for example the failure of an
/// `attempt`.
[[nodiscard]] inline boost::leaf::error_id fail(failure error) {
    return boost::leaf::new_error(std::move(error));
}

/// A value or a failure that can be stored and passed between threads. LEAF
/// keeps error objects in the context of the calling thread, so a `result` must
/// not be passed to another thread or across a suspension point. An `attempt`
/// may.
template <typename T>
class attempt {
public:
    /// Creates an attempt without a result, which is an internal failure.
    attempt() : attempt(failure{failure_kind::internal, "no result", std::nullopt}) {}
    attempt(T value) : m_content(std::in_place_index<0>, std::move(value)) {}
    attempt(failure error) : m_content(std::in_place_index<1>, std::move(error)) {}

    /// Returns true for a value and false for a failure.
    [[nodiscard]] bool has_value() const { return m_content.index() == 0; }
    explicit operator bool() const { return has_value(); }

    /// Returns the value. Requires `has_value()`.
    [[nodiscard]] T& value() { return std::get<0>(m_content); }
    [[nodiscard]] const T& value() const { return std::get<0>(m_content); }

    /// Returns the failure. Requires `!has_value()`.
    [[nodiscard]] const failure& error() const { return std::get<1>(m_content); }

private:
    std::variant<T, failure> m_content;
};

/// The value type of an `attempt` for an operation that returns no value.
using done = std::monostate;

/// Provides the value type of a `result`, which LEAF does not make public.
template <typename Result>
struct result_value;
template <typename T>
struct result_value<result<T>> {
    using type = T;
};

/// Runs `operation`, which returns `result<T>`, and returns its value or failure as
/// an `attempt<T>`.
template <typename Operation>
[[nodiscard]] auto collect(Operation&& operation) {
    using value_type = typename result_value<std::decay_t<decltype(operation())>>::type;
    if constexpr (std::is_void_v<value_type>) {
        return boost::leaf::try_handle_all(
            [&]() -> result<attempt<done>> {
                BOOST_LEAF_CHECK(operation());
                return attempt<done>(done{});
            },
            [](const failure& error) { return attempt<done>(error); },
            [] {
                return attempt<done>(failure{failure_kind::internal, "untyped error"});
            });
    } else {
        return boost::leaf::try_handle_all(
            [&]() -> result<attempt<value_type>> {
                BOOST_LEAF_AUTO(value, operation());
                return attempt<value_type>(std::move(value));
            },
            [](const failure& error) { return attempt<value_type>(error); },
            [] {
                return attempt<value_type>(failure{failure_kind::internal, "untyped error"});
            });
    }
}

} // namespace savoryrelay::state
