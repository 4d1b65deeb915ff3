#pragma once

/** \file
 * \brief Module view: reads the deployment's state from the store or from other instances.
 */
#include "store/ObjectWatch.h"
#include "view/HedgedList.h"
#include "view/MalformedObjects.h"
#include "view/Member.h"
#include "view/MemberRegistration.h"
#include "view/MemberSweeper.h"
#include "view/ObjectMirror.h"
#include "view/ObjectSource.h"
#include "view/ReplyCompression.h"
#include "view/SourcedStore.h"
#include "view/ViewFollower.h"
#include "view/ViewRequest.h"
#include "view/ViewSource.h"
#include "view/ViewSources.h"
