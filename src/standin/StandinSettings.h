#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Settings of a stand-in are wrong; the text names the member and the fault. */
struct StandinSettingsError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** \brief Reads members of a JSON object; each function throws StandinSettingsError. */
class StandinSettings
{
public:
    /** \param path name of the object in error texts. */
    StandinSettings(const boost::json::value &value, std::string path);

    /** \returns the settings in the JSON file that the arguments `--settings FILE` name. */
    [[nodiscard]] static boost::json::value load(std::span<const std::string> arguments);

    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] Endpoint endpoint(std::string_view name) const;
    [[nodiscard]] std::optional<Endpoint> optionalEndpoint(std::string_view name) const;
    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
    [[nodiscard]] double share(std::string_view name) const; //!< 0 to 1; 0 if absent.
    [[nodiscard]] Duration milliseconds(std::string_view name, Duration fallback) const;
    [[nodiscard]] std::vector<Endpoint> endpoints(std::string_view name) const;
    [[nodiscard]] std::vector<StandinSettings> objects(std::string_view name) const;
    [[nodiscard]] std::optional<bool> flag(std::string_view name) const;

private:
    [[nodiscard]] const boost::json::value *find(std::string_view name) const;
    [[noreturn]] void fail(std::string_view name, std::string_view fault) const;

    boost::json::object object;
    std::string path;
};

} // namespace bulrushgap
