#pragma once

/** \file
 * \brief Module simulation: the platform, its callers and its upstreams in virtual time.
 */
#include "simulation/CallerFlow.h"
#include "simulation/CallerPopulation.h"
#include "simulation/EventLoop.h"
#include "simulation/Experiment.h"
#include "simulation/Fabric.h"
#include "simulation/FaultInjector.h"
#include "simulation/FaultSettings.h"
#include "simulation/FlowEnd.h"
#include "simulation/HttpExchange.h"
#include "simulation/Links.h"
#include "simulation/Operators.h"
#include "simulation/PromiseChecks.h"
#include "simulation/RemoteCall.h"
#include "simulation/Run.h"
#include "simulation/RunReport.h"
#include "simulation/RunSettings.h"
#include "simulation/SimulatedInstance.h"
#include "simulation/SimulatedStore.h"
#include "simulation/StoreFaults.h"
#include "simulation/StoreModel.h"
#include "simulation/Surroundings.h"
#include "simulation/UpstreamFleet.h"
#include "simulation/UpstreamModel.h"
#include "simulation/WirePacket.h"
