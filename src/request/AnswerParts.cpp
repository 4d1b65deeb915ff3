#include "request/AnswerParts.h"

namespace bulrushgap {

AddPartResult AnswerParts::add(std::uint32_t number, bool last, std::span<const std::byte> bytes)
{
    if (this->parts.contains(number))
        return AddPartResult::Duplicate;
    if (this->conflicts(number, last))
        return AddPartResult::Conflict;
    if (number >= this->limits.parts || this->storedBytes + bytes.size() > this->limits.bytes)
        return AddPartResult::TooLarge;
    this->parts.emplace(number, Bytes(bytes.begin(), bytes.end()));
    this->storedBytes += bytes.size();
    if (last)
        this->lastNumber = number;
    return AddPartResult::Added;
}

std::vector<AnswerParts::Bytes> AnswerParts::ordered() const
{
    std::vector<Bytes> result;
    result.reserve(this->parts.size());
    for (const auto &[number, bytes] : this->parts)
        result.push_back(bytes);
    return result;
}

bool AnswerParts::conflicts(std::uint32_t number, bool last) const
{
    if (this->lastNumber && (last || number > *this->lastNumber))
        return true;
    return last && !this->parts.empty() && this->parts.rbegin()->first > number;
}

} // namespace bulrushgap
