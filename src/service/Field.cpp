#include "service/Field.h"

#include "base/Endpoint.h"
#include "service/Fault.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '-' || character == '_'
           || character == '.';
}

bool isHexadecimal(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f')
           || (character >= 'A' && character <= 'F');
}

bool isWithinBounds(const Field &field, std::size_t size)
{
    return std::cmp_greater_equal(size, field.minimum) && std::cmp_less_equal(size, field.maximum);
}

bool isChoice(std::string_view choices, std::string_view text)
{
    while (!choices.empty()) {
        const std::string_view choice = choices.substr(0, choices.find(','));
        if (choice == text)
            return true;
        choices.remove_prefix(std::min(choices.size(), choice.size() + 1));
    }
    return false;
}

bool isEndpoint(const boost::json::value &value)
{
    const auto *text = value.if_string();
    return text != nullptr && Endpoint::parse(std::string_view(*text)).has_value();
}

constexpr std::size_t maxListedTextLength = 128;

bool isListedText(const boost::json::value &value)
{
    const auto *text = value.if_string();
    return text != nullptr && text->size() <= maxListedTextLength;
}

bool isValidText(const Field &field, std::string_view text)
{
    switch (field.type) {
    case FieldType::Name:
        return isWithinBounds(field, text.size()) && std::ranges::all_of(text, isNameCharacter);
    case FieldType::Secret:
        return isWithinBounds(field, text.size()) && std::ranges::all_of(text, isHexadecimal);
    case FieldType::Choice:
        return isChoice(field.choices, text);
    default:
        return isWithinBounds(field, text.size());
    }
}

bool isValidInteger(const Field &field, const boost::json::value &value)
{
    if (const auto *number = value.if_int64())
        return *number >= field.minimum && *number <= field.maximum;
    return false;
}

bool isValidNumber(const Field &field, const boost::json::value &value)
{
    if (!value.is_number())
        return false;
    const double number = value.to_number<double>();
    return number >= static_cast<double>(field.minimum)
           && number <= static_cast<double>(field.maximum);
}

bool isValid(const Field &field, const boost::json::value &value)
{
    const auto *list = value.if_array();
    switch (field.type) {
    case FieldType::Integer:
        return isValidInteger(field, value);
    case FieldType::Number:
        return isValidNumber(field, value);
    case FieldType::Flag:
        return value.is_bool();
    case FieldType::Endpoint:
        return isEndpoint(value);
    case FieldType::EndpointList:
        return list != nullptr && isWithinBounds(field, list->size())
               && std::ranges::all_of(*list, isEndpoint);
    case FieldType::TextList:
        return list != nullptr && isWithinBounds(field, list->size())
               && std::ranges::all_of(*list, isListedText);
    case FieldType::Object:
        return value.is_object();
    case FieldType::ObjectList:
        return list != nullptr && isWithinBounds(field, list->size())
               && std::ranges::all_of(*list, [](const auto &entry) { return entry.is_object(); });
    default:
        return value.is_string() && isValidText(field, std::string_view(*value.if_string()));
    }
}

/** \returns "MINIMUM to MAXIMUM", or a single number if both are equal. */
std::string formatBounds(const Field &field)
{
    if (field.minimum == field.maximum)
        return std::to_string(field.minimum);
    return std::to_string(field.minimum) + " to " + std::to_string(field.maximum);
}

std::string formatChoices(std::string_view choices)
{
    std::string text;
    for (const char character : choices)
        text += character == ',' ? std::string(", ") : std::string(1, character);
    return text;
}

} // namespace internal

std::string describe(const Field &field)
{
    const std::string unit = field.unit.empty() ? "" : " " + std::string(field.unit);
    switch (field.type) {
    case FieldType::Name:
        return "text of " + internal::formatBounds(field) + " letters, digits, '-', '_' or '.'";
    case FieldType::Text:
        return "text of " + internal::formatBounds(field) + " characters";
    case FieldType::Integer:
        return "integer from " + internal::formatBounds(field) + unit;
    case FieldType::Number:
        return "number from " + internal::formatBounds(field) + unit;
    case FieldType::Flag:
        return "true or false";
    case FieldType::Endpoint:
        return "IPv4 address and port";
    case FieldType::EndpointList:
        return "list of " + internal::formatBounds(field) + " IPv4 addresses with port";
    case FieldType::TextList:
        return "list of " + internal::formatBounds(field) + " texts of at most "
               + std::to_string(internal::maxListedTextLength) + " characters";
    case FieldType::Secret:
        return "text of " + internal::formatBounds(field) + " hexadecimal digits";
    case FieldType::Choice:
        return "one of " + internal::formatChoices(field.choices);
    case FieldType::Object:
        return "object";
    case FieldType::ObjectList:
        return "list of " + internal::formatBounds(field) + " objects";
    }
    return "";
}

std::optional<std::string> findFault(const Field &field, const boost::json::value &value)
{
    if (internal::isValid(field, value))
        return std::nullopt;
    // Secret keys must not appear in logs or on terminals.
    if (field.type == FieldType::Secret && value.is_string())
        return "other text of " + std::to_string(value.if_string()->size()) + " characters";
    return describeFound(value);
}

std::string fieldReference(std::span<const Field> fields)
{
    std::string text = "| field | expected | default | meaning |\n|---|---|---|---|\n";
    for (const Field &field : fields) {
        const std::string defaultValue
            = field.required() ? "required" : "`" + std::string(field.defaultValue) + "`";
        text += "| `" + std::string(field.path) + "` | " + describe(field) + " | " + defaultValue
                + " | " + std::string(field.help) + " |\n";
    }
    return text;
}

} // namespace bulrushgap
