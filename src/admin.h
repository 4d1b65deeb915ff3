#pragma once

/** \file
 * \brief Module admin: administration API and the operators' command.
 */
#include "admin/AdminApi.h"
#include "admin/AdminConnection.h"
#include "admin/AdminTypes.h"
#include "admin/LabelChanger.h"
#include "admin/LabelMatcher.h"
#include "admin/ObjectWriter.h"
#include "admin/OperateCommand.h"
#include "admin/WaitCommand.h"
