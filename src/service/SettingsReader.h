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

/** \brief Reads JSON settings against a table of fields and reports every fault at once. */
class SettingsReader
{
public:
    /** \brief Adds faults of fields that are each valid but do not fit together. */
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
    void complete(boost::json::object &group, const std::string &prefix,
                  std::vector<Fault> &faults) const;
    [[nodiscard]] std::vector<std::string_view> members(std::string_view prefix) const;

    std::span<const Field> fields;
    CrossCheck crossCheck;
};

} // namespace bulrushgap
