#pragma once

#include <string_view>

namespace bulrushgap {

/** \brief What is known about the execution of a request. */
enum class Verdict {
    NotRun,     //!< No copy of the request reached an upstream, and none will.
    MayHaveRun, //!< A copy may have reached an upstream.
    Answered,   //!< An upstream ran the request and its answer is known.
};

[[nodiscard]] constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Answered:
        return "answered";
    }
    return "unknown";
}

} // namespace bulrushgap
