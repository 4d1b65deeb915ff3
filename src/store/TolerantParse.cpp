#include "store/TolerantParse.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace bulrushgap {

namespace internal {

namespace json = boost::json;

/** Levels below the members of an answer at which values are split: the list, its events, their
 * objects and the metadata with the name and the revision. */
constexpr unsigned splitLevels = 4;

constexpr std::string_view whitespace = " \t\r\n";

/** \brief Member of an object or element of an array, as text. */
struct JsonPart
{
    std::string_view name; //!< With quotes; empty in an array.
    std::string_view value;
};

/** \brief Splits the text of an object or array into its parts by brackets and quotes alone. */
class JsonSplitter
{
public:
    explicit JsonSplitter(std::string_view text)
        : text(text)
    {}

    /** \returns the parts, or nothing if brackets, quotes or separators don't match. */
    std::optional<std::vector<JsonPart>> split()
    {
        std::vector<JsonPart> parts;
        const bool isObject = this->text.starts_with('{');
        const char closing = isObject ? '}' : ']';
        this->position = 1;
        if (this->takeIf(closing))
            return this->isAtEnd() ? std::optional(std::move(parts)) : std::nullopt;
        while (true) {
            const auto part = this->takePart(isObject);
            if (!part)
                return std::nullopt;
            parts.push_back(*part);
            if (this->takeIf(','))
                continue;
            if (!this->takeIf(closing) || !this->isAtEnd())
                return std::nullopt;
            return parts;
        }
    }

private:
    [[nodiscard]] bool isAtEnd() const { return this->position == this->text.size(); }

    void skipWhitespace()
    {
        this->position
            = std::min(this->text.find_first_not_of(whitespace, this->position), this->text.size());
    }

    bool takeIf(char expected)
    {
        this->skipWhitespace();
        if (this->isAtEnd() || this->text[this->position] != expected)
            return false;
        ++this->position;
        return true;
    }

    std::optional<JsonPart> takePart(bool named)
    {
        JsonPart part;
        if (named) {
            this->skipWhitespace();
            part.name = this->take(&JsonSplitter::skipString);
            if (part.name.empty() || !this->takeIf(':'))
                return std::nullopt;
        }
        this->skipWhitespace();
        part.value = this->take(&JsonSplitter::skipValue);
        return part.value.empty() ? std::nullopt : std::optional(part);
    }

    /** \returns the text that \a skip passes over, or nothing if it fails. */
    std::string_view take(bool (JsonSplitter::*skip)())
    {
        const std::size_t begin = this->position;
        return (this->*skip)() ? this->text.substr(begin, this->position - begin)
                               : std::string_view();
    }

    bool skipValue()
    {
        if (this->isAtEnd())
            return false;
        switch (this->text[this->position]) {
        case '"':
            return this->skipString();
        case '{':
        case '[':
            return this->skipContainer();
        default:
            this->position = std::min(this->text.find_first_of(" \t\r\n,:]}[{\"", this->position),
                                      this->text.size());
            return true;
        }
    }

    bool skipString()
    {
        if (this->isAtEnd() || this->text[this->position] != '"')
            return false;
        ++this->position;
        while (true) {
            this->position = this->text.find_first_of("\"\\", this->position);
            if (this->position == std::string_view::npos)
                return false;
            if (this->text[this->position++] == '"')
                return true;
            if (this->isAtEnd())
                return false;
            ++this->position; // The escaped character.
        }
    }

    bool skipContainer()
    {
        std::string open; // Closing brackets of the open containers.
        do {
            this->position = this->text.find_first_of("\"{}[]", this->position);
            if (this->position == std::string_view::npos)
                return false;
            if (!this->passBracketOrString(open))
                return false;
        } while (!open.empty());
        return true;
    }

    bool passBracketOrString(std::string &open)
    {
        const char character = this->text[this->position];
        if (character == '"')
            return this->skipString();
        ++this->position;
        if (character == '{' || character == '[') {
            open.push_back(character == '{' ? '}' : ']');
            return true;
        }
        if (open.empty() || open.back() != character)
            return false;
        open.pop_back();
        return true;
    }

    std::string_view text;
    std::size_t position = 0;
};

/** \brief First part of a value that could not be parsed. */
struct JsonFault
{
    std::string member; //!< Empty for the value itself.
    std::string reason;
};

/** \brief A value without its unreadable parts; none if all of it is unreadable. */
struct TolerantValue
{
    std::optional<json::value> value;
    std::optional<JsonFault> fault;
};

TolerantValue parseValue(std::string_view text, unsigned levels);

/** \returns options by which the levels that were split count, so that a value which is too deep
 * stays so in each part of an answer. */
json::parse_options optionsFor(unsigned levels)
{
    json::parse_options options;
    options.max_depth -= splitLevels + 1 - levels;
    return options;
}

json::object describe(const JsonFault &fault)
{
    return {{fault.member, fault.reason}};
}

/** \brief Parses a member and adds it to \a object. \returns its fault */
std::optional<JsonFault> addMember(json::object &object, const JsonPart &part, unsigned levels)
{
    const TolerantValue name = parseValue(part.name, 0);
    if (!name.value)
        return name.fault;
    TolerantValue parsed = parseValue(part.value, levels);
    const json::string &key = name.value->get_string();
    if (parsed.value)
        object.insert_or_assign(key, *std::move(parsed.value));
    if (parsed.fault && parsed.fault->member.empty())
        parsed.fault->member = std::string(std::string_view(key));
    return std::move(parsed.fault);
}

TolerantValue parseMembers(const std::vector<JsonPart> &parts, unsigned levels)
{
    json::object object;
    std::optional<JsonFault> first;
    for (const JsonPart &part : parts) {
        auto fault = addMember(object, part, levels);
        if (fault && !first)
            first = std::move(fault);
    }
    if (first)
        object.insert_or_assign(unreadableMember, describe(*first));
    return {std::move(object), std::move(first)};
}

TolerantValue parseElements(const std::vector<JsonPart> &parts, unsigned levels)
{
    json::array array;
    std::optional<JsonFault> first;
    for (const JsonPart &part : parts) {
        TolerantValue parsed = parseValue(part.value, levels);
        if (parsed.value)
            array.push_back(*std::move(parsed.value));
        else
            array.push_back(json::object{{unreadableMember, describe(*parsed.fault)}});
        if (parsed.fault && !first)
            first = std::move(parsed.fault);
    }
    return {std::move(array), std::move(first)};
}

TolerantValue parseParts(std::string_view text, const std::vector<JsonPart> &parts, unsigned levels)
{
    return text.starts_with('{') ? parseMembers(parts, levels) : parseElements(parts, levels);
}

TolerantValue parseValue(std::string_view text, unsigned levels)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error, {}, optionsFor(levels));
    if (!error)
        return {std::move(value), {}};
    const bool isContainer = text.starts_with('{') || text.starts_with('[');
    if (levels > 0 && isContainer) {
        if (const auto parts = JsonSplitter(text).split())
            return parseParts(text, *parts, levels - 1);
    }
    return {std::nullopt, JsonFault{{}, error.message()}};
}

/** \returns the text without leading and trailing whitespace. */
std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = std::min(text.find_first_not_of(whitespace), text.size());
    text.remove_prefix(begin);
    return text.substr(0, text.find_last_not_of(whitespace) + 1);
}

/** \returns whether each member of an answer was read, if only in part: without its revision or the
 * mark that more follows, an answer would be misread. */
bool hasAllMembers(const std::vector<JsonPart> &parts, const json::object &body)
{
    for (const JsonPart &part : parts) {
        const TolerantValue name = parseValue(part.name, 0);
        if (!name.value || !body.contains(name.value->get_string()))
            return false;
    }
    return true;
}

std::optional<json::object> parseAnswerParts(std::string_view text)
{
    if (!text.starts_with('{'))
        return std::nullopt;
    const auto parts = JsonSplitter(text).split();
    if (!parts)
        return std::nullopt;
    TolerantValue body = parseMembers(*parts, splitLevels);
    json::object object = std::move(body.value->get_object());
    if (!hasAllMembers(*parts, object))
        return std::nullopt;
    return object;
}

} // namespace internal

std::optional<boost::json::object> parseTolerantly(std::string_view text)
{
    boost::system::error_code error;
    boost::json::value body = boost::json::parse(text, error);
    if (error)
        return internal::parseAnswerParts(internal::trimmed(text));
    if (!body.is_object())
        return std::nullopt;
    return std::move(body.get_object());
}

} // namespace bulrushgap
