#pragma once

#include <map>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Key-value pairs that operators attach to objects for selection and control. */
class Labels
{
public:
    using Container = std::map<std::string, std::string, std::less<>>;

    void set(std::string_view key, std::string_view value)
    {
        this->entries.insert_or_assign(std::string(key), std::string(value));
    }

    [[nodiscard]] bool has(std::string_view key) const { return this->entries.contains(key); }

    [[nodiscard]] bool has(std::string_view key, std::string_view value) const
    {
        const auto found = this->entries.find(key);
        return found != this->entries.end() && found->second == value;
    }

    [[nodiscard]] bool empty() const { return this->entries.empty(); }
    [[nodiscard]] Container::const_iterator begin() const { return this->entries.begin(); }
    [[nodiscard]] Container::const_iterator end() const { return this->entries.end(); }

    friend bool operator==(const Labels &, const Labels &) = default;

    /** \returns whether \a text is a label key or value: letters, digits, '.', '_', '-', '/'. */
    [[nodiscard]] static bool isWord(std::string_view text);

private:
    Container entries;
};

/** \brief Label key for the state of an upstream or failure domain. */
constexpr std::string_view stateLabel = "state";
/** \brief Existing flows and requests continue; no new ones are assigned. */
constexpr std::string_view stateDraining = "draining";
/** \brief Receives no packets. */
constexpr std::string_view stateOut = "out";

} // namespace bulrushgap
