#pragma once

#include "plan/Selector.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bulrushgap {

/** \brief Applies a selector to the labels of an object in JSON. \sa Selector */
class LabelMatcher
{
public:
    /** \returns the matcher of a text such as "app=gallery,!state", or nothing if malformed. */
    [[nodiscard]] static std::optional<LabelMatcher> parse(std::string_view text);

    /** \brief Whether the member "labels" of \a value meets all terms. */
    [[nodiscard]] bool matches(const boost::json::value &value) const;

private:
    explicit LabelMatcher(Selector selector)
        : selector(std::move(selector))
    {}

    Selector selector;
};

/** \returns the value of a label, or nothing. */
[[nodiscard]] std::optional<std::string> labelOf(const boost::json::value &value,
                                                 std::string_view label);

} // namespace bulrushgap
