// Errors of an endpoint's answer that the HTTP parser accepts.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <boost/system/error_code.hpp>

#include <array>
#include <type_traits>

namespace savoryrelay::transport {

/// Why an answer is not whole although its encoding has ended. 0 is no error.
enum class answer_error {
    unannounced_trailer = 1, ///< fields behind the last chunk that the answer does not announce
};

/// Returns the error code whose message is the name of `error`.
[[nodiscard]] boost::system::error_code make_error_code(answer_error error);

} // namespace savoryrelay::transport

template <>
struct savoryrelay::state::enum_table<savoryrelay::transport::answer_error> {
    using e = savoryrelay::transport::answer_error;
    static constexpr std::array rows{
        enum_name<e>{e::unannounced_trailer, "unannounced_trailer"},
    };
};

template <>
struct boost::system::is_error_code_enum<savoryrelay::transport::answer_error> : std::true_type {};
