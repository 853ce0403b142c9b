// Typed failures. Each kind has a name, an HTTP status, what is known about
// the request's execution, and a remedy that its message ends with.
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

/// What is known about the execution of a refused or failed request.
enum class execution_outcome {
    not_run, ///< it is certain that no endpoint runs or ran the request
    unknown, ///< an endpoint may have run it
    ran,     ///< an endpoint ran it
};

template <>
struct enum_table<execution_outcome> {
    static constexpr std::array rows{
        enum_name<execution_outcome>{execution_outcome::not_run, "not-run"},
        enum_name<execution_outcome>{execution_outcome::unknown, "unknown"},
        enum_name<execution_outcome>{execution_outcome::ran, "ran"},
    };
};

/// The kinds of failure of the whole system.
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
    int http_status;           ///< status of the refusal sent to a caller
    execution_outcome outcome; ///< outcome when nothing more precise is known
    std::string_view remedy;   ///< what the reader of the message should do
};

/// The properties of `kind`.
[[nodiscard]] const failure_properties& properties_of(failure_kind kind);

/// A failure with the detail of one case.
struct failure {
    failure_kind kind = failure_kind::internal;
    std::string detail;
    /// Overrides the outcome of the kind where the case is known more precisely.
    std::optional<execution_outcome> outcome = std::nullopt;

    /// The outcome to report to the caller.
    [[nodiscard]] execution_outcome reported_outcome() const {
        return outcome.value_or(properties_of(kind).outcome);
    }
    /// "name: detail; remedy", for logs and refusals.
    [[nodiscard]] std::string message() const;
};

/// Result of a synchronous operation. Its error object is a `failure`.
template <typename T>
using result = boost::leaf::result<T>;

/// Makes the error of a `result`.
[[nodiscard]] inline boost::leaf::error_id
fail(failure_kind kind, std::string detail,
     std::optional<execution_outcome> outcome = std::nullopt) {
    return boost::leaf::new_error(failure{kind, std::move(detail), outcome});
}

/// Raises a failure that was taken from an `attempt`.
[[nodiscard]] inline boost::leaf::error_id fail(failure error) {
    return boost::leaf::new_error(std::move(error));
}

/// A value or a failure that can be stored and passed between threads. LEAF
/// keeps error objects in the context of the calling thread, so a `result` must
/// not cross threads or suspension points; an `attempt` may.
template <typename T>
class attempt {
public:
    /// An attempt without a result yet, which counts as an internal failure.
    attempt() : attempt(failure{failure_kind::internal, "no result", std::nullopt}) {}
    attempt(T value) : m_content(std::in_place_index<0>, std::move(value)) {}
    attempt(failure error) : m_content(std::in_place_index<1>, std::move(error)) {}

    [[nodiscard]] bool has_value() const { return m_content.index() == 0; }
    explicit operator bool() const { return has_value(); }

    /// Requires `has_value()`.
    [[nodiscard]] T& value() { return std::get<0>(m_content); }
    [[nodiscard]] const T& value() const { return std::get<0>(m_content); }

    /// Requires `!has_value()`.
    [[nodiscard]] const failure& error() const { return std::get<1>(m_content); }

private:
    std::variant<T, failure> m_content;
};

/// The value type of an `attempt` at an operation that returns nothing.
using done = std::monostate;

/// The value type of a `result`, which LEAF keeps private.
template <typename Result>
struct result_value;
template <typename T>
struct result_value<result<T>> {
    using type = T;
};

/// Runs `operation`, which returns `result<T>`, and keeps its value or failure.
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
