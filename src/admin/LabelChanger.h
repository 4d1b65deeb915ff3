#pragma once

#include "admin/ObjectWriter.h"
#include "store/ObjectStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Sets a label, or removes it if there is no value. */
struct LabelChange
{
    std::string label;
    std::optional<std::string> value;

    /** If given, the label is only changed while it has this value. */
    std::optional<std::string> onlyFrom;
};

/** \brief What became of one object. */
struct LabelReport
{
    std::string key;
    bool changed = false; //!< False with Ok: the label was as wanted already.
    PlatformResult result = PlatformResult::Unavailable;
    std::uint64_t version = 0;
};

/** \brief Changes one label of objects without touching what others write at the same time.
 *
 * A write that conflicts is repeated after reading again, but only while the label itself has the
 * value that it had at first; otherwise another operator decided on it and the report says
 * Conflict.
 */
class LabelChanger
{
public:
    using Handler = std::function<void(const LabelReport &report)>;
    using ListHandler = std::function<void(const std::vector<LabelReport> &reports)>;

    explicit LabelChanger(ObjectStore &store)
        : store(store)
        , writer(store)
    {}

    void change(const std::string &key, const LabelChange &change, const Handler &handler);

    /** \brief Changes the objects one after the other; stops at the first without a platform. */
    void changeAll(std::vector<std::string> keys, const LabelChange &change,
                   const ListHandler &handler);

private:
    struct Attempt;
    struct Series;

    void read(const std::shared_ptr<Attempt> &attempt);
    void write(const std::shared_ptr<Attempt> &attempt, StoredObject object);
    void changeNext(const std::shared_ptr<Series> &series);

    ObjectStore &store;
    ObjectWriter writer;
};

/** \brief Sets or removes a label of \a value and leaves all else as it is. */
void applyLabel(boost::json::value &value, const std::string &label,
                const std::optional<std::string> &wanted);

} // namespace bulrushgap
