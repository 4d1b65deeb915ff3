#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap {

enum class FieldType {
    Name,         //!< Letters, digits, '-', '_' and '.'; the bounds limit its length.
    Text,         //!< Any text; the bounds limit its length.
    Integer,      //!< The bounds limit its value.
    Number,       //!< Integer or floating-point number; the bounds limit its value.
    Flag,         //!< true or false.
    Endpoint,     //!< "a.b.c.d:port".
    EndpointList, //!< The bounds limit the number of entries.
    TextList,     //!< List of texts; the bounds limit the number of entries.
    Secret,       //!< Hexadecimal digits, never printed; the bounds limit their number.
    Choice,       //!< One of the values in Field::choices.
    Object,       //!< JSON object whose members are validated elsewhere.
    ObjectList,   //!< List of such objects; the bounds limit the number of entries.
};

/** \brief Description of a setting, used to validate and to document it. */
struct Field
{
    std::string_view path; //!< Member names separated by dots, for example "log.level".
    FieldType type;
    std::string_view unit;
    std::string_view defaultValue; //!< JSON text of the default; empty if the field is required.
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view choices; //!< Comma-separated values; only for FieldType::Choice.
    std::string_view help;

    [[nodiscard]] bool required() const { return this->defaultValue.empty(); }
};

/** \returns a description of the values that \a field accepts, for messages and documentation. */
[[nodiscard]] std::string describe(const Field &field);

/** \returns a description of \a value if it is invalid, otherwise nothing. */
[[nodiscard]] std::optional<std::string> findFault(const Field &field,
                                                   const boost::json::value &value);

/** \returns the documentation of \a fields as a Markdown table. */
[[nodiscard]] std::string fieldReference(std::span<const Field> fields);

} // namespace bulrushgap
