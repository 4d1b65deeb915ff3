#pragma once

namespace bulrushgap {

/** \brief Exit codes of all commands. */
enum class ExitCode : int {
    Success = 0,
    Failed = 1,
    Usage = 2,
    InvalidSettings = 3,
    Conflict = 4,
    Unreachable = 5,
};

[[nodiscard]] constexpr int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

} // namespace bulrushgap
