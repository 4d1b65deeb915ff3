#include "service/BalancerSettings.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace bulrushgap;

/** \brief The settings file of `bulrushgap balancer`. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const SettingsReader reader = BalancerSettings::reader();
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    static_cast<void>(reader.read(text));
    return 0;
}
