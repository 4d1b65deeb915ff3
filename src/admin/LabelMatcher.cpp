#include "admin/LabelMatcher.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

bool isLabelText(std::string_view text)
{
    return !text.empty() && text.find_first_of("=!, \t") == std::string_view::npos;
}

} // namespace internal

std::optional<std::string> labelOf(const boost::json::value &value, std::string_view label)
{
    const auto *object = value.if_object();
    const auto *labels = object == nullptr ? nullptr : object->if_contains("labels");
    if (labels == nullptr || !labels->is_object())
        return std::nullopt;
    const auto *found = labels->if_object()->if_contains(label);
    if (found == nullptr || !found->is_string())
        return std::nullopt;
    return std::string(std::string_view(*found->if_string()));
}

std::optional<LabelMatcher::Term> LabelMatcher::parseTerm(std::string_view text)
{
    Term term;
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos) {
        const bool negated = equals > 0 && text[equals - 1] == '!';
        term.comparison = negated ? Operator::NotEqual : Operator::Equal;
        term.key = text.substr(0, negated ? equals - 1 : equals);
        term.value = text.substr(equals + 1);
        if (!internal::isLabelText(term.value))
            return std::nullopt;
    } else if (text.starts_with('!')) {
        term.comparison = Operator::Absent;
        term.key = text.substr(1);
    } else {
        term.key = text;
    }
    return internal::isLabelText(term.key) ? std::optional<Term>(std::move(term)) : std::nullopt;
}

std::optional<LabelMatcher> LabelMatcher::parse(std::string_view text)
{
    LabelMatcher matcher;
    while (true) {
        const std::size_t comma = text.find(',');
        auto term = parseTerm(text.substr(0, comma));
        if (!term)
            return std::nullopt;
        matcher.terms.push_back(std::move(*term));
        if (comma == std::string_view::npos)
            return matcher;
        text.remove_prefix(comma + 1);
    }
}

bool LabelMatcher::matches(const boost::json::value &value) const
{
    return std::ranges::all_of(this->terms, [&](const Term &term) {
        const auto label = labelOf(value, term.key);
        switch (term.comparison) {
        case Operator::Equal:
            return label == term.value;
        case Operator::NotEqual:
            return label != term.value;
        case Operator::Present:
            return label.has_value();
        case Operator::Absent:
            return !label.has_value();
        }
        return false;
    });
}

} // namespace bulrushgap
