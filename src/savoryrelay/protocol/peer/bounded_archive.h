// Encodes and decodes single fields on cereal archives and checks their sizes. A
// cereal archive allocates whatever size it reads, so these classes replace its own
// support for strings and containers.
#pragma once

#include "savoryrelay/state/core/enum_names.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace savoryrelay::protocol {

/// Writes fields. Throws `cereal::Exception` when a field exceeds its size limit.
class bounded_writer {
public:
    template <typename Number>
    void number(Number value) {
        m_archive(value);
    }
    template <typename Enum>
    void enum_value(Enum value) {
        number(static_cast<std::uint8_t>(value));
    }
    template <typename Length = std::uint8_t>
    void text(const std::string& value, std::size_t limit) {
        count<Length>(value.size(), limit);
        m_archive(cereal::binary_data(value.data(), value.size()));
    }
    template <typename Length = std::uint8_t>
    void count(std::size_t value, std::size_t limit) {
        if (value > limit) {
            throw cereal::Exception("a field exceeds its size limit");
        }
        number(static_cast<Length>(value));
    }
    [[nodiscard]] std::string take() const { return m_stream.str(); }

private:
    std::ostringstream m_stream;
    cereal::PortableBinaryOutputArchive m_archive{
        m_stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian()};
};

/// Reads fields. Throws `cereal::Exception` when a field exceeds its size limit, has an
/// unknown value or extends beyond the end of the body.
class bounded_reader {
public:
    explicit bounded_reader(std::string_view body)
        : m_size(body.size()), m_stream(std::string(body)), m_archive(m_stream) {}

    template <typename Number>
    Number number() {
        Number value = 0;
        m_archive(value);
        return value;
    }
    template <typename Enum>
    Enum enum_value() {
        const auto value = number<std::uint8_t>();
        if (value >= state::enum_table<Enum>::rows.size()) {
            throw cereal::Exception("a field has an unknown value");
        }
        return static_cast<Enum>(value);
    }
    template <typename Length = std::uint8_t>
    std::string text(std::size_t limit) {
        std::string value(count<Length>(limit), '\0');
        m_archive(cereal::binary_data(value.data(), value.size()));
        return value;
    }
    /// Reads the number of elements that follow. Each element takes at least one byte,
    /// so a count above the size of the body is invalid whatever `limit` is.
    template <typename Length = std::uint8_t>
    std::size_t count(std::size_t limit) {
        const std::size_t value = number<Length>();
        if (value > limit || value > m_size) {
            throw cereal::Exception("a field exceeds its size limit");
        }
        return value;
    }
    void finish() {
        if (m_stream.peek() != std::istringstream::traits_type::eof()) {
            throw cereal::Exception("the message has trailing bytes");
        }
    }

private:
    std::size_t m_size;
    std::istringstream m_stream;
    cereal::PortableBinaryInputArchive m_archive;
};

} // namespace savoryrelay::protocol
