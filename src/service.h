#pragma once

/** \file
 * \brief Module service: settings and their validation, logs, metrics, HTTP server and client.
 */
#include "service/AsioScheduler.h"
#include "service/Backoff.h"
#include "service/CommandOptions.h"
#include "service/ExitCode.h"
#include "service/Fault.h"
#include "service/Field.h"
#include "service/FileWatch.h"
#include "service/FrameReader.h"
#include "service/HttpClient.h"
#include "service/HttpMessage.h"
#include "service/HttpServer.h"
#include "service/InstanceSettings.h"
#include "service/Log.h"
#include "service/LogPipe.h"
#include "service/Metrics.h"
#include "service/SettingsReader.h"
#include "service/SettingsView.h"
