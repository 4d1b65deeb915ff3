#pragma once

#include "service/Fault.h"
#include "service/Field.h"
#include "service/SettingsView.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Parses JSON settings, validates them against a table of fields and reports all faults. */
class SettingsReader
{
public:
    /** \brief Adds faults for fields that are valid individually but inconsistent together. */
    using CrossCheck
        = std::function<void(const SettingsView &settings, std::vector<Fault> &faults)>;

    explicit SettingsReader(std::span<const Field> fields, CrossCheck crossCheck = {})
        : fields(fields)
        , crossCheck(std::move(crossCheck))
    {}

    /** \returns the settings, or the error SettingsFaults. */
    [[nodiscard]] boost::leaf::result<SettingsView> read(std::string_view text) const;

    /** \returns the settings of the file, or the error SettingsFaults. */
    [[nodiscard]] boost::leaf::result<SettingsView> readFile(const std::string &path) const;

    [[nodiscard]] std::span<const Field> table() const { return this->fields; }

private:
    void checkGroup(boost::json::object &group, const std::string &prefix,
                    std::vector<Fault> &faults) const;
    void checkMember(boost::json::value &value, const std::string &path,
                     std::vector<Fault> &faults) const;

    /** \brief Adds missing members with their defaults, and faults for missing required ones. */
    void addDefaults(boost::json::object &group, const std::string &prefix,
                     std::vector<Fault> &faults) const;

    /** \returns the names of the members whose path starts with \a prefix. */
    [[nodiscard]] std::vector<std::string_view> memberNames(std::string_view prefix) const;

    std::span<const Field> fields;
    CrossCheck crossCheck;
};

} // namespace bulrushgap
