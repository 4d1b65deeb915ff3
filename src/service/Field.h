#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap {

enum class FieldType {
    Name,         //!< Letters, digits, '-', '_' and '.'; bounds are its length.
    Text,         //!< Any text; bounds are its length.
    Integer,      //!< Bounds are its value.
    Number,       //!< A number with or without a fraction; bounds are its value.
    Flag,         //!< true or false.
    Endpoint,     //!< "a.b.c.d:port".
    EndpointList, //!< Bounds are the number of entries.
    Secret,       //!< Hexadecimal digits, never printed; bounds are the number of digits.
    Choice,       //!< One of a comma-separated list.
    Object,       //!< JSON object that another check looks into.
    ObjectList,   //!< List of such objects; bounds are the number of entries.
};

/** \brief Row of the table from which settings are checked and documented. */
struct Field
{
    std::string_view path; //!< Members separated by dots.
    FieldType type;
    std::string_view unit;
    std::string_view defaultValue; //!< JSON text of the default; empty if the field is required.
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view choices; //!< Only for FieldType::Choice.
    std::string_view help;

    [[nodiscard]] bool required() const { return this->defaultValue.empty(); }
};

/** \returns what \a field expects, for messages and the reference. */
[[nodiscard]] std::string describe(const Field &field);

/** \returns what was found instead of a valid value, or nothing if \a value is valid. */
[[nodiscard]] std::optional<std::string> findFault(const Field &field,
                                                   const boost::json::value &value);

/** \returns a Markdown table of \a fields. */
[[nodiscard]] std::string fieldReference(std::span<const Field> fields);

} // namespace bulrushgap
