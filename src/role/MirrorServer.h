#pragma once

#include "service/HttpServer.h"
#include "view/ObjectMirror.h"

namespace bulrushgap {

/** \brief Serves an ObjectMirror over HTTP with the store's calls. */
class MirrorServer
{
public:
    MirrorServer(HttpServer &server, balance::ObjectMirror &mirror);

private:
    void onRequest(const HttpRequestView &request, const HttpResponder &respond);

    balance::ObjectMirror &mirror;
};

} // namespace bulrushgap
