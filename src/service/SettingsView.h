#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Validated settings, including defaults; fields are accessed by their path.
 *
 * The path must be in the table of fields, and the field must have the requested type.
 * \sa SettingsReader
 */
class SettingsView
{
public:
    explicit SettingsView(boost::json::object values)
        : values(std::move(values))
    {}

    [[nodiscard]] std::string text(std::string_view path) const;
    [[nodiscard]] std::int64_t integer(std::string_view path) const;
    [[nodiscard]] double number(std::string_view path) const;
    [[nodiscard]] bool flag(std::string_view path) const;
    [[nodiscard]] Endpoint endpoint(std::string_view path) const;
    [[nodiscard]] std::vector<Endpoint> endpoints(std::string_view path) const;
    [[nodiscard]] std::vector<std::string> texts(std::string_view path) const;
    [[nodiscard]] const boost::json::object &object(std::string_view path) const;
    [[nodiscard]] const boost::json::array &list(std::string_view path) const;

    /** \returns the value of an integer field in ms as a Duration. */
    [[nodiscard]] Duration milliseconds(std::string_view path) const;

private:
    [[nodiscard]] const boost::json::value &at(std::string_view path) const;

    boost::json::object values;
};

} // namespace bulrushgap
