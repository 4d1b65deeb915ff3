#pragma once

#include "admin/AdminTypes.h"
#include "admin/LabelChanger.h"
#include "admin/ObjectWriter.h"
#include "service/HttpServer.h"
#include "store/ObjectStore.h"

#include <optional>
#include <string>

namespace bulrushgap {

/** \brief Administration API: routes on an HTTP server over an object store.
 *
 * Every change is a conditional update, so racing operators never overwrite each other unseen.
 * Server and store must outlive this object, and the I/O context must not run after it is gone.
 */
class AdminApi
{
public:
    AdminApi(HttpServer &server, ObjectStore &store, AdminHooks hooks);
    AdminApi(const AdminApi &) = delete;
    AdminApi &operator=(const AdminApi &) = delete;

private:
    void addObjectRoutes(ObjectKind kind);
    void addLabelRoutes(ObjectKind kind);
    void addActionRoutes();
    void addStatusRoutes();
    void list(ObjectKind kind, const HttpRequestView &request, const HttpResponder &respond);
    void get(const std::string &key, const HttpResponder &respond);
    void put(ObjectKind kind, const HttpRequestView &request, const HttpResponder &respond);
    void remove(const std::string &key, const HttpRequestView &request,
                const HttpResponder &respond);
    void patchLabels(ObjectKind kind, const HttpRequestView &request, const HttpResponder &respond);
    void changeSelected(const HttpRequestView &request, const LabelChange &change,
                        const HttpResponder &respond);
    void changeDomain(const std::string &name, const LabelChange &change,
                      const HttpResponder &respond);
    void configVersion(const HttpResponder &respond);
    void replace(const StoredObject &object, std::optional<boost::json::value> value,
                 const HttpResponder &respond);

    HttpServer &server;
    ObjectStore &store;
    AdminHooks hooks;
    ObjectWriter writer;
    LabelChanger changer;
};

} // namespace bulrushgap
