#include "admin/LabelMatcher.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace bulrushgap {

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

std::optional<LabelMatcher> LabelMatcher::parse(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<LabelMatcher>> {
            BOOST_LEAF_AUTO(selector, Selector::parse(text));
            return LabelMatcher(std::move(selector));
        },
        [] { return std::optional<LabelMatcher>(); });
}

bool LabelMatcher::matches(const boost::json::value &value) const
{
    Labels labels;
    const auto *object = value.if_object();
    const auto *members = object == nullptr ? nullptr : object->if_contains("labels");
    if (members != nullptr && members->is_object()) {
        for (const auto &member : members->get_object()) {
            if (const auto *text = member.value().if_string())
                labels.set(member.key(), std::string_view(*text));
        }
    }
    return this->selector.matches(labels);
}

} // namespace bulrushgap
