#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Validation error of a JSON value: its path, the expected value and the found one. */
struct Fault
{
    std::string path; //!< JSON path such as "limits.queuePerService"; empty for the whole value.
    std::string expected;
    std::string found;

    friend bool operator==(const Fault &, const Fault &) = default;

    /** \returns a message such as "name: expected ..., found 3". */
    [[nodiscard]] std::string toString() const;
};

/** \brief All faults of a settings file; the error object of functions that read settings. */
struct SettingsFaults
{
    std::vector<Fault> faults;
};

/** \returns the JSON text of \a value, truncated for use in a message. */
[[nodiscard]] std::string describeFound(const boost::json::value &value);

/** \returns the candidate closest to \a word, or an empty view if none is within two edits. */
[[nodiscard]] std::string_view closestMatch(std::string_view word,
                                            const std::vector<std::string_view> &candidates);

} // namespace bulrushgap
