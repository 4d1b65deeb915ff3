#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrushgap {

struct AnswerPartsLimits
{
    std::size_t bytes = 256UL * 1024;
    std::uint32_t parts = 1024;
};

enum class AddPartResult {
    Added,
    Duplicate, //!< The part was added before; the first copy is kept.
    Conflict,  //!< The number is above that of the last part, or two parts are marked as the last.
    TooLarge,  //!< The answer exceeds the limits.
};

/** \brief Collects the parts of one answer, which may be duplicated and reordered. */
class AnswerParts
{
public:
    using Bytes = std::vector<std::byte>;

    explicit AnswerParts(const AnswerPartsLimits &limits = {})
        : limits(limits)
    {}

    /** \brief Adds part \a number, counted from 0; \a last is set for the highest number. */
    AddPartResult add(std::uint32_t number, bool last, std::span<const std::byte> bytes);

    /** \returns whether all parts from 0 to the last have been added. */
    [[nodiscard]] bool complete() const
    {
        return this->lastNumber && this->parts.size() == std::size_t{*this->lastNumber} + 1;
    }
    [[nodiscard]] std::size_t size() const { return this->storedBytes; }

    /** \returns the parts added so far, in order of their numbers. */
    [[nodiscard]] std::vector<Bytes> ordered() const;

private:
    [[nodiscard]] bool conflicts(std::uint32_t number, bool last) const;

    AnswerPartsLimits limits;
    std::map<std::uint32_t, Bytes> parts;
    std::optional<std::uint32_t> lastNumber;
    std::size_t storedBytes = 0;
};

} // namespace bulrushgap
