#pragma once

#include "plan/Labels.h"

#include <boost/leaf.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Syntax error in a selector. */
struct SelectorFault
{
    std::size_t position = 0; //!< Offset in bytes.
    std::string expected;

    friend bool operator==(const SelectorFault &, const SelectorFault &) = default;
};

/** \brief Condition on labels that holds if all terms hold. */
class Selector
{
public:
    enum class Operation : std::uint8_t {
        Equals,    //!< key=value
        NotEquals, //!< key!=value; also true without the key.
        Has,       //!< key
        HasNot,    //!< !key
    };

    struct Term
    {
        Operation operation = Operation::Has;
        std::string key;
        std::string value;

        friend bool operator==(const Term &, const Term &) = default;
    };

    /** \brief Parses comma-separated terms.
     *
     * An empty text is malformed, since it would select the upstreams of every service.
     * \returns the selector, or an error with a SelectorFault.
     */
    [[nodiscard]] static boost::leaf::result<Selector> parse(std::string_view text);

    [[nodiscard]] bool matches(const Labels &labels) const;
    [[nodiscard]] std::string toString() const;

    friend bool operator==(const Selector &, const Selector &) = default;

private:
    std::vector<Term> terms;
};

} // namespace bulrushgap
