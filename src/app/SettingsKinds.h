#pragma once

#include "service/SettingsReader.h"

#include <functional>
#include <span>
#include <string_view>

namespace bulrushgap {

/** \brief A kind of settings file that `bulrushgap check --kind` knows. */
struct SettingsKind
{
    std::string_view name;
    std::function<SettingsReader()> reader;
};

[[nodiscard]] std::span<const SettingsKind> settingsKinds();

} // namespace bulrushgap
