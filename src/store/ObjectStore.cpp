#include "store/ObjectStore.h"

namespace bulrushgap {

std::string_view toString(PlatformResult result)
{
    switch (result) {
    case PlatformResult::Ok:
        return "ok";
    case PlatformResult::Conflict:
        return "conflict";
    case PlatformResult::NotFound:
        return "not_found";
    case PlatformResult::Gone:
        return "gone";
    case PlatformResult::TooMany:
        return "too_many";
    case PlatformResult::TooLarge:
        return "too_large";
    case PlatformResult::Busy:
        return "busy";
    case PlatformResult::Unavailable:
        return "unavailable";
    case PlatformResult::LostAnswer:
        return "lost_answer";
    }
    return "unknown";
}

} // namespace bulrushgap
