#pragma once

#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief One fault of a JSON value: where it is, what is expected there and what was found. */
struct Fault
{
    std::string path; //!< JSON path such as "limits.queuePerService"; empty for the whole value.
    std::string expected;
    std::string found;

    friend bool operator==(const Fault &, const Fault &) = default;

    /** \returns one line for people, for example "name: expected ..., found 3". */
    [[nodiscard]] std::string toString() const;
};

/** \brief All faults of a settings file; error object of functions that read settings. */
struct SettingsFaults
{
    std::vector<Fault> faults;
};

/** \returns the JSON text of \a value, shortened to fit a message. */
[[nodiscard]] std::string describeFound(const boost::json::value &value);

/** \returns the candidate that is at most two edits away from \a word, or an empty view. */
[[nodiscard]] std::string_view closest(std::string_view word,
                                       const std::vector<std::string_view> &candidates);

} // namespace bulrushgap
