#include "view/ViewObject.h"

namespace bulrushgap::balance {

std::string_view toString(ViewKind kind)
{
    switch (kind) {
    case ViewKind::Upstreams:
        return "upstreams";
    case ViewKind::Configurations:
        return "configurations";
    case ViewKind::Evacuations:
        return "evacuations";
    case ViewKind::Members:
        return "members";
    }
    return "unknown";
}

} // namespace bulrushgap::balance
