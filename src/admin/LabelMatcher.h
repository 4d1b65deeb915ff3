#pragma once

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Selector over the labels of an object in JSON. */
class LabelMatcher
{
public:
    /** \returns the matcher of a text such as "app=gallery,!state", or nothing if malformed. */
    [[nodiscard]] static std::optional<LabelMatcher> parse(std::string_view text);

    /** \brief Whether the member "labels" of \a value meets all terms. */
    [[nodiscard]] bool matches(const boost::json::value &value) const;

private:
    enum class Operator { Equal, NotEqual, Present, Absent };

    struct Term
    {
        std::string key;
        Operator comparison = Operator::Present;
        std::string value;
    };

    [[nodiscard]] static std::optional<Term> parseTerm(std::string_view text);

    std::vector<Term> terms;
};

/** \returns the value of a label, or nothing. */
[[nodiscard]] std::optional<std::string> labelOf(const boost::json::value &value,
                                                 std::string_view label);

} // namespace bulrushgap
