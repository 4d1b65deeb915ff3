#include "plan/Selector.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

boost::leaf::error_id selectorFault(std::size_t position, std::string_view expected)
{
    return boost::leaf::new_error(SelectorFault{position, std::string(expected)});
}

/** \brief Parses one term that starts at \a position of the selector's text. */
boost::leaf::result<Selector::Term> parseTerm(std::string_view text, std::size_t position)
{
    Selector::Term term;
    const bool negated = text.starts_with('!');
    const std::size_t keyStart = negated ? 1 : 0;
    const std::size_t equals = text.find('=', keyStart);
    std::size_t keyEnd = std::min(equals, text.size());
    const bool unequal
        = equals != std::string_view::npos && equals > keyStart && text[equals - 1] == '!';
    if (unequal)
        --keyEnd;
    term.key = text.substr(keyStart, keyEnd - keyStart);
    if (!Labels::isWord(term.key))
        return selectorFault(position + keyStart, "a label key");
    if (equals == std::string_view::npos) {
        term.operation = negated ? Selector::Operation::HasNot : Selector::Operation::Has;
        return term;
    }
    if (negated)
        return selectorFault(position + keyEnd, "',' or the end after a negated key");
    term.value = text.substr(equals + 1);
    if (!Labels::isWord(term.value))
        return selectorFault(position + equals + 1, "a label value");
    term.operation = unequal ? Selector::Operation::NotEquals : Selector::Operation::Equals;
    return term;
}

bool holds(const Selector::Term &term, const Labels &labels)
{
    switch (term.operation) {
    case Selector::Operation::Equals:
        return labels.has(term.key, term.value);
    case Selector::Operation::NotEquals:
        return !labels.has(term.key, term.value);
    case Selector::Operation::Has:
        return labels.has(term.key);
    case Selector::Operation::HasNot:
        return !labels.has(term.key);
    }
    return false;
}

std::string termText(const Selector::Term &term)
{
    switch (term.operation) {
    case Selector::Operation::Equals:
        return term.key + '=' + term.value;
    case Selector::Operation::NotEquals:
        return term.key + "!=" + term.value;
    case Selector::Operation::Has:
        return term.key;
    case Selector::Operation::HasNot:
        return '!' + term.key;
    }
    return {};
}

} // namespace internal

boost::leaf::result<Selector> Selector::parse(std::string_view text)
{
    Selector selector;
    std::size_t position = 0;
    while (true) {
        const std::size_t end = std::min(text.find(',', position), text.size());
        BOOST_LEAF_AUTO(term, internal::parseTerm(text.substr(position, end - position), position));
        selector.terms.push_back(std::move(term));
        if (end == text.size())
            return selector;
        position = end + 1;
    }
}

bool Selector::matches(const Labels &labels) const
{
    return std::ranges::all_of(this->terms,
                               [&](const Term &term) { return internal::holds(term, labels); });
}

std::string Selector::toString() const
{
    std::string text;
    for (const Term &term : this->terms) {
        if (!text.empty())
            text += ',';
        text += internal::termText(term);
    }
    return text;
}

} // namespace bulrushgap
