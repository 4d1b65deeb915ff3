#pragma once

#include "store/ObjectStore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bulrushgap {

/** \brief What became of a write, after a read-back if its answer was lost. */
struct WriteReport
{
    PlatformResult result = PlatformResult::Unavailable; //!< Ok also if the read-back shows it.
    std::uint64_t version = 0;                 //!< Version after the write, or the current one.
    bool readBack = false;                     //!< The object was read back after a lost answer.
    std::optional<boost::json::value> current; //!< Value found by an inconclusive read-back.
};

/** \brief Conditional writes that resolve a lost answer by reading back. */
class ObjectWriter
{
public:
    using Handler = std::function<void(const WriteReport &report)>;

    explicit ObjectWriter(ObjectStore &store)
        : store(store)
    {}

    /** \brief Writes \a value, or deletes the object if there is none.
     *
     * After a lost answer, the write counts as applied if the object has changed since
     * \a version and has the wanted value. Otherwise the result stays LostAnswer: the write may
     * be applied or overwritten.
     */
    void write(const std::string &key, std::optional<boost::json::value> value,
               std::uint64_t version, const Handler &handler);

private:
    void readBack(const std::string &key, const std::optional<boost::json::value> &value,
                  std::uint64_t version, const Handler &handler);

    ObjectStore &store;
};

} // namespace bulrushgap
